#pragma once

#include "base/clock.h"
#include "gate/slot_queue.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace heatherdrift {

struct transfer_settings {
    double bytesPerSecond = 0; ///< Bandwidth of the instance's link; 0: unknown, every answer is sent at once.

    bool operator==(const transfer_settings&) const = default;
};

/// Schedules large answers on the network link of this instance.
///
/// Packets queue on the link in the order in which they were written, so on a slow link small answers would wait behind
/// all downloads written before them. Large answers are therefore written one after the other at the speed of the link,
/// and small ones at once.
class transfer_queue {
public:
    explicit transfer_queue(const transfer_settings&);

    /// Registers an accepted request whose answer will be sent over the link.
    void expect(request_number, const std::string& kind);
    /// Submits the answer to a request. True: write it now; false: takeNext() returns it later.
    bool submit(request_number, std::size_t bytes, time_point now);
    /// Removes a request that ended without an answer over the link.
    void drop(request_number);
    /// Removes and returns the next answer to write, if the link is free.
    std::optional<request_number> takeNext(time_point now);
    /// Earliest time at which takeNext() returns an answer; empty if none waits.
    std::optional<time_point> nextAt() const;

    /// Updates the mean answer size of a kind with the size of an answer.
    void recordResponseSize(const std::string& kind, std::size_t bytes);
    /// Time until all expected and waiting answers have been sent; zero for a kind with small answers.
    duration deliveryTime(const std::string& kind, time_point now) const;
    std::size_t waiting() const { return m_waiting.size(); }

private:
    struct transfer {
        request_number id = 0;
        std::size_t bytes = 0;
    };

    double meanBytes(const std::string& kind) const;
    duration transferTime(double bytes) const;
    void reserveLink(std::size_t bytes, time_point now);

    transfer_settings m_settings;
    std::unordered_map<std::string, double> m_meanBytes; ///< Mean answer size by kind.
    std::unordered_map<request_number, double> m_expected; ///< Estimated bytes of large answers not yet submitted.
    std::deque<transfer> m_waiting;
    time_point m_busyUntil {}; ///< Estimated time at which the link has sent everything written to it.
};

} // namespace heatherdrift
