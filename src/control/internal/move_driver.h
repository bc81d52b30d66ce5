#pragma once

#include "assignment/planned_move.h"
#include "control/internal/control_context.h"
#include "control/internal/page_writer.h"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace heatherdrift {

/// Moves partitions of this instance to others. The request task first stops each partition and reports when none of
/// its calls are in progress any more.
class move_driver {
public:
    struct hooks {
        std::function<void(const partition_id&)> stop;
        /// Called after the latest version of the page is in the view.
        std::function<void(const partition_id&)> resume;
    };

    move_driver(control_context&, page_writer&, instance_ref self, hooks);

    /// Starts to move partitions of one page. Partitions that are already being moved are skipped.
    void begin(const std::string& pool, std::vector<entry_assignment>, time_point requestsEndBy);
    void onPartitionIdle(const partition_id&);
    void tick(time_point now);

    bool isMoving(const partition_id&) const;
    std::size_t size() const { return m_moves.size(); }

private:
    struct running_move {
        planned_move machine;
        std::string pool;
        std::uint32_t page = 0;
        std::vector<partition_id> partitions;
        std::set<partition_id> busy; ///< Partitions with calls still in progress.
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
