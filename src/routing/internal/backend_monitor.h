#pragma once

#include "base/clock.h"
#include "base/event_handle.h"
#include "base/identifiers.h"
#include "http/http_client.h"

#include <functional>
#include <memory>

namespace heatherdrift {

/// Asks the backend server's health endpoint regularly, and at once after a failed call. A server that fails several
/// times in a row counts as gone, and as back after several answers in a row.
class backend_monitor {
public:
    struct hooks {
        std::function<void(bool isAnswering)> changed;
        /// Called after each check: whether the connection was refused or lost.
        std::function<void(bool isCrashed)> checked;
    };

    backend_monitor(event_base*, const endpoint&, clock_function, hooks);

    /// A call failed: the next check must not wait.
    void checkNow();

private:
    void check();
    void answered(bool isAnswer);

    std::unique_ptr<http_client> m_client;
    clock_function m_now;
    hooks m_hooks;
    timer m_timer;
    bool m_isChecking = false;
    bool m_isAnswering = true;
    int m_run = 0; ///< Outcomes in a row that speak against the present judgement.
};

} // namespace heatherdrift
