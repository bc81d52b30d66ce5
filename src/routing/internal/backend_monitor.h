#pragma once

#include "base/clock.h"
#include "base/event_handle.h"
#include "base/identifiers.h"
#include "http/http_client.h"

#include <functional>
#include <memory>

namespace heatherdrift {

/// Checks the backend server's health endpoint periodically, and immediately after a failed call. Several consecutive
/// failures mark the server as down, several consecutive successes as up.
class backend_monitor {
public:
    struct hooks {
        std::function<void(bool isAnswering)> onChanged;
        /// Called after each check; `isCrashed` if the connection was refused or lost.
        std::function<void(bool isCrashed)> onChecked;
    };

    backend_monitor(event_base*, const endpoint&, clock_function, hooks);

    /// Starts a check immediately, after a failed call.
    void checkNow();

private:
    void check();
    void handleResult(bool isAnswer);

    std::unique_ptr<http_client> m_client;
    clock_function m_now;
    hooks m_hooks;
    timer m_timer;
    bool m_isChecking = false;
    bool m_isAnswering = true;
    int m_differingResults = 0; ///< Consecutive results that differ from m_isAnswering.
};

} // namespace heatherdrift
