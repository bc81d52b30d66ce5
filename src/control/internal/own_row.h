#pragma once

#include "control/control_node.h"
#include "control/internal/control_context.h"
#include "lease/lease_holder.h"

#include <functional>
#include <memory>
#include <optional>

namespace heatherdrift {

/// Writes this instance's row in the table "members", one write at a time; the next one begins when the outcome of the
/// last is known.
class own_row {
public:
    struct hooks {
        /// The row of a new incarnation took effect.
        std::function<void(const versioned_member&)> registered;
        /// A later write took effect, or did not.
        std::function<void(const versioned_member&, bool isApplied)> written;
        /// The row shows that this process may not serve any more.
        std::function<void(lease_end)> lost;
    };

    own_row(control_context&, node_identity, hooks);

    /// Registers a new incarnation. The process must listen on all its addresses and serve as no older incarnation.
    void beginRegistration();
    bool isRegistered() const { return m_isRegistered; }
    const versioned_member& known() const { return m_known; }
    instance_ref self() const { return m_known.row.self; }
    bool isWriting() const { return m_pending.has_value(); }

    /// Replaces the row; ignored while a write is under way or before the registration. True if it was begun.
    bool write(member_row);
    /// The row as replicated or read elsewhere.
    void onSeen(const versioned_member&);
    void tick(time_point now);

private:
    struct pending_write {
        member_row row;
        bool isRegistration = false;
    };

    void scan();
    void onScanned(const result<std::vector<stored_row>>&);
    void readPages();
    void readConfiguration();
    void registerOver();
    void begin(member_row, row_version expected, bool isRegistration);
    void onCommitted(const result<commit_receipt>&);
    void readBack();
    void onReadBack(const result<std::optional<stored_row>>&);
    void settle(const versioned_member&, bool isApplied);
    void waitThen(void (own_row::*)());

    control_context& m_context;
    node_identity m_identity;
    hooks m_hooks;
    bool m_isRegistered = false;
    versioned_member m_known;
    std::optional<pending_write> m_pending;
    retry_delay m_delay;
    std::optional<time_point> m_retryAt;
    void (own_row::*m_retry)() = nullptr;
    std::shared_ptr<char> m_alive; ///< Expires with this object; callbacks of the store look at it.
};

} // namespace heatherdrift
