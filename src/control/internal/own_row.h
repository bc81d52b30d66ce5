#pragma once

#include "control/control_node.h"
#include "control/internal/control_context.h"
#include "lease/lease_holder.h"

#include <functional>
#include <memory>
#include <optional>

namespace heatherdrift {

/// Writes this instance's row in the table "members". Only one write is in progress at a time: the next one starts when
/// the outcome of the previous one is known.
class own_row {
public:
    struct hooks {
        /// The row of a new incarnation took effect.
        std::function<void(const versioned_member&)> onRegistered;
        /// A write after the registration ended; isApplied is its outcome.
        std::function<void(const versioned_member&, bool isApplied)> onWritten;
        /// According to the row, this process must not serve any more.
        std::function<void(lease_end)> onLost;
    };

    own_row(control_context&, node_identity, hooks);

    /// Registers a new incarnation. The process must listen on all its addresses and must have stopped serving as any
    /// older incarnation.
    void beginRegistration();
    bool isRegistered() const { return m_isRegistered; }
    const versioned_member& latest() const { return m_latest; }
    instance_ref self() const { return m_latest.row.self; }
    bool isWriting() const { return m_pending.has_value(); }

    /// Starts to replace the row. Returns false, without effect, before the registration or during another write.
    bool write(member_row);
    /// Handles a version of the row that came from the replica.
    void onRowUpdate(const versioned_member&);
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
    void registerIncarnation();
    void begin(member_row, row_version expected, bool isRegistration);
    void onCommitted(const result<commit_receipt>&);
    void readBack();
    void onReadBack(const result<std::optional<stored_row>>&);
    void completeWrite(const versioned_member&, bool isApplied);
    void retryLater(void (own_row::*)());

    control_context& m_context;
    node_identity m_identity;
    hooks m_hooks;
    bool m_isRegistered = false;
    versioned_member m_latest;
    std::optional<pending_write> m_pending;
    retry_delay m_delay;
    std::optional<time_point> m_retryAt;
    void (own_row::*m_retry)() = nullptr;
    std::shared_ptr<char> m_alive; ///< Store callbacks check it, since they may run after this object is destroyed.
};

} // namespace heatherdrift
