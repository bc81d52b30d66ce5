#pragma once

#include "assignment/planned_move.h"
#include "control/internal/control_context.h"
#include "control/internal/page_writer.h"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace heatherdrift {

/// Hands partitions of this instance over to others. The request task stops each partition first and says when no call
/// needs it any more.
class move_driver {
public:
    struct hooks {
        std::function<void(const partition_id&)> stop;
        /// Called after the newest page is in the view.
        std::function<void(const partition_id&)> resume;
    };

    move_driver(control_context&, page_writer&, instance_ref self, hooks);

    /// Begins to move partitions of one page. Those that are being moved already are left out.
    void begin(const std::string& pool, std::vector<entry_assignment>, time_point requestsEndBy);
    void onQuiet(const partition_id&);
    void tick(time_point now);

    bool isMoving(const partition_id&) const;
    std::size_t size() const { return m_moves.size(); }

private:
    struct running_move {
        planned_move machine;
        std::string pool;
        std::uint32_t page = 0;
        std::vector<partition_id> partitions;
        std::set<partition_id> busy; ///< Not quiet yet.
        bool isWriting = false;
        std::optional<time_point> readAt;
        retry_delay delay;
    };

    void write(const std::shared_ptr<running_move>&);
    void perform(const std::shared_ptr<running_move>&, const move_action&);
    void on(const std::shared_ptr<running_move>&, const commit_edit&);
    void on(const std::shared_ptr<running_move>&, const read_page&);
    void on(const std::shared_ptr<running_move>&, const end_move&);
    void readBack(const std::shared_ptr<running_move>&);

    control_context& m_context;
    page_writer& m_pages;
    instance_ref m_self;
    hooks m_hooks;
    std::vector<std::shared_ptr<running_move>> m_moves;
    std::shared_ptr<char> m_alive;
};

} // namespace heatherdrift
