#pragma once

#include "admission/lru_map.h"
#include "admission/request_fingerprint.h"
#include "base/clock.h"

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace heatherdrift {

/// A backend server that ended without notice, and the requests that were at work there.
struct backend_crash {
    std::string life; ///< Identical on all nodes for the same crash.
    std::vector<request_fingerprint> suspects;

    bool operator==(const backend_crash&) const = default;
};

struct crash_suspect_settings {
    /// A request that was at work in so many crashes, with no answer to it in between, is refused.
    std::size_t refusedCrashes = 3;
    duration memory = std::chrono::minutes(10); ///< Crashes are forgotten after this time without another one.
    duration firstTrialDelay = std::chrono::seconds(30); ///< From the last crash to the first trial.
    int trialDelayFactor = 4; ///< Each further trial waits so many times longer, at most until crashes are forgotten.
    /// Part of half the delay by which this node tries later, so that the nodes do not all try at the same time.
    double trialPosition = 0; ///< 0 to 1.
    std::size_t maxSuspects = 1024;
    std::size_t maxCrashes = 64; ///< Crashes told to other nodes.

    bool operator==(const crash_suspect_settings&) const = default;
};

/// Detects requests that crash each backend server that begins to run them. An answer ends the suspicion of the crashes
/// before it, so that popular requests are not refused when many backend servers end; it does not exempt a request from
/// later crashes. A refused request is tried again once in a while, since it may not crash backend servers any more.
class crash_suspects {
public:
    explicit crash_suspects(const crash_suspect_settings& = {});

    /// Records that the backend server beside this node has answered the request. Returns whether the other nodes have
    /// to know now, because they refuse the request or will do so after its next crash.
    bool recordAnswer(request_fingerprint);
    /// Records a crash here or at another node. Returns those suspects that were answered here since their previous
    /// crash, which therefore no longer counts.
    std::vector<request_fingerprint> recordCrash(const backend_crash&, time_point now);
    /// Another node has answered the request between this crash and the one before. Returns whether crashes were
    /// dropped.
    bool dropCrashesBefore(request_fingerprint, const std::string& life);
    /// Another node has answered the request after its last crash.
    void clear(request_fingerprint);

    std::size_t crashCount(request_fingerprint) const;
    /// The end of the refusal; empty if the request may run.
    std::optional<time_point> refusedUntil(request_fingerprint, time_point now);
    /// Whether a run at this time is a trial, which counts as a crash until the request is answered.
    bool isTrial(request_fingerprint, time_point now) const;
    /// Crashes with suspects, oldest first, for nodes that have missed them.
    std::vector<backend_crash> crashes() const;

private:
    struct suspect {
        std::vector<std::string> lives; ///< Lives that ended while the request was at work, oldest first.
        time_point lastCrashAt = time_point::min();
        int failedTrials = 0;
        bool isAnswered = false; ///< By the backend server beside this node, since the last crash.
    };

    struct known_crash {
        std::string life;
        std::set<request_fingerprint> suspects;
        std::set<request_fingerprint> cleared; ///< A late report of the crash does not make them suspects again.
    };

    known_crash& findOrAdd(const std::string& life);
    bool isForgotten(const suspect&, time_point now) const;
    duration trialDelay(const suspect&) const;
    void addCrash(suspect&, const std::string& life, time_point now);
    void markCleared(request_fingerprint, const std::string& life);

    crash_suspect_settings m_settings;
    lru_map<request_fingerprint, suspect> m_suspects;
    std::deque<known_crash> m_crashes;
};

} // namespace heatherdrift
