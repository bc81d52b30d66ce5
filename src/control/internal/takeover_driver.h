#pragma once

#include "control/internal/control_context.h"
#include "control/internal/page_writer.h"
#include "lease/takeover.h"
#include "lease/witness.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace heatherdrift {

/// Runs the takeovers that are due at this witness.
class takeover_driver {
public:
    takeover_driver(control_context&, page_writer&, witness&, instance_ref self);

    void tick(time_point now);
    /// Returns whether this class handles messages of this kind.
    bool onMessage(const wire::Message&);
    void onMember(const versioned_member&);
    void onHeartbeat(const instance_ref& holder);
    /// Starts a takeover after an operator confirmed that the process has stopped and will not resume.
    void declareLost(const instance_ref& holder);

    /// Whether a takeover is waiting until the instance's partitions have new owners.
    bool isReassigning(const instance_ref& holder) const;
    std::size_t size() const { return m_running.size(); }

private:
    struct running_takeover {
        std::unique_ptr<takeover> machine;
        std::optional<time_point> timer;
        bool isReassigning = false;
        std::optional<time_point> readPagesAt; ///< When to retry reading the pages.
    };

    void begin(const due_takeover&, time_point now);
    void handle(const instance_ref& holder, const takeover_input&);
    void perform(const instance_ref& holder, const std::vector<takeover_action>&);
    void on(const instance_ref& holder, const read_row&);
    void on(const instance_ref& holder, const commit_row&);
    void on(const instance_ref& holder, const promise_request&);
    void on(const instance_ref& holder, const silence_inquiry&);
    void on(const instance_ref& holder, const start_timer&);
    void on(const instance_ref& holder, const reassign_pages&);
    void on(const instance_ref& holder, const report_blocked&);
    void on(const instance_ref& holder, const finished&);
    bool hasPartitions(const instance_ref&) const;

    control_context& m_context;
    page_writer& m_pages;
    witness& m_witness;
    instance_ref m_self;
    std::map<instance_ref, running_takeover> m_running;
    std::vector<instance_ref> m_ended;
    std::uint64_t m_count = 0;
    std::shared_ptr<char> m_alive;
};

} // namespace heatherdrift
