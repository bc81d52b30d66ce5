#pragma once

#include "base/clock.h"
#include "gate/slot_queue.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace heatherdrift {

struct transfer_settings {
    double bytesPerSecond = 0; ///< Of the instance's link; 0: not known, and every answer is sent at once.

    bool operator==(const transfer_settings&) const = default;
};

/// Decides when large answers are written to the link of this instance.
///
/// Pattern "downloads on a narrow link": the packets of all answers queue on the link in the order in which they were
/// written, so that small answers would wait behind every download that is ready. Large answers are therefore written
/// one after the other at the speed of the link, and small ones at once.
class transfer_queue {
public:
    explicit transfer_queue(const transfer_settings&);

    /// A request of this kind was accepted; its answer will cross the link.
    void expect(request_number, const std::string& kind);
    /// The answer is there. True: it is to be written now; false: takeNext() returns it later.
    bool submit(request_number, std::size_t bytes, time_point now);
    /// The request ends without an answer that crosses the link.
    void drop(request_number);
    /// Next answer to be written, if the link has room.
    std::optional<request_number> takeNext(time_point now);
    /// When takeNext() may return an answer; empty if none waits.
    std::optional<time_point> nextAt() const;

    /// Answers of this kind have about this size.
    void learn(const std::string& kind, std::size_t bytes);
    /// Time until all answers that are expected will have crossed the link; zero for a kind with small answers.
    duration deliveryTime(const std::string& kind, time_point now) const;
    std::size_t waiting() const { return m_waiting.size(); }

private:
    struct transfer {
        request_number id = 0;
        std::size_t bytes = 0;
    };

    double sizeOf(const std::string& kind) const;
    duration timeOf(double bytes) const;
    void occupy(std::size_t bytes, time_point now);

    transfer_settings m_settings;
    std::unordered_map<std::string, double> m_sizes; ///< Mean bytes by kind.
    std::unordered_map<request_number, double> m_expected; ///< Large answers that are not there yet, in bytes.
    std::deque<transfer> m_waiting;
    time_point m_busyUntil {}; ///< When the link will have sent what was written to it.
};

} // namespace heatherdrift
