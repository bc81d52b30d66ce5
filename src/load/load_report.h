#pragma once

#include "base/clock.h"
#include "base/json_reader.h"
#include "base/verdict.h"
#include "load/answer_check.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heatherdrift {

/// How one request of the plan ended, with all its resends.
struct request_outcome {
    duration intended {}; ///< Since the start of the run.
    duration latency {}; ///< From the intended send time.
    verdict outcome = verdict::not_run;
    bool isAnswered = false; ///< The right answer was received.
    bool isCut = false; ///< The connection was lost within the answer's body.
    std::string error; ///< Empty if answered.
    answer_finding finding = answer_finding::right;
    int resends = 0; ///< With the same token.
    bool hasToken = false;
    std::string key;
};

/// Nearest-rank quantile of sorted values; zero without values.
duration quantile(const std::vector<duration>& sorted, double share);

/// Outcomes of one kind of request.
class kind_report {
public:
    void add(const request_outcome&);

    json summary(duration length) const;
    /// One object per second: requests by the second in which they were to be sent.
    json seconds() const;
    /// Per key the longest time between two right answers: how long at most the key was not served.
    json gaps() const;
    /// Answers that were wrong, foreign, truncated or duplicate.
    std::uint64_t badAnswers() const;
    std::uint64_t errorCount(const std::string&) const;

private:
    struct second_counts {
        std::uint64_t sent = 0;
        std::uint64_t answered = 0;
        std::uint64_t completed = 0; ///< Right answers received in this second.
        std::uint64_t notRun = 0;
        std::uint64_t mayHaveRun = 0;
        std::vector<duration> latencies;
    };

    struct key_times {
        duration lastAnswer {};
        duration longestGap {};
        duration gapStart {};
        std::uint64_t answers = 0;
        std::uint64_t failures = 0;
    };

    void addToKey(const request_outcome&);

    std::uint64_t m_requests = 0;
    std::uint64_t m_cut = 0;
    std::uint64_t m_resends = 0;
    std::uint64_t m_tokens = 0;
    std::map<std::string, std::uint64_t> m_verdicts;
    std::map<std::string, std::uint64_t> m_errors;
    std::map<std::string, std::uint64_t> m_findings;
    std::vector<duration> m_latencies; ///< Of right answers.
    std::map<std::int64_t, second_counts> m_seconds;
    std::map<std::string, key_times> m_keys;
};

using load_report = std::map<std::string, kind_report>; ///< By the kind's name.

/// Rows with a heading; one row per kind and second.
std::string toCsv(const load_report&);

} // namespace heatherdrift
