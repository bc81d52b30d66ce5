#pragma once

#include "base/failure.h"
#include "load/arrival_schedule.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace heatherdrift {

/// How the keys of a kind are chosen.
struct key_choice {
    struct hot_key {
        std::string key;
        double share = 0; ///< Of the kind's requests.

        bool operator==(const hot_key&) const = default;
    };

    std::vector<hot_key> hot;
    std::uint64_t uniform = 0; ///< Number of other keys, "key-0" and so on, with equal shares of the rest.
    std::vector<std::string> cycle; ///< Used in turn; excludes the other two.

    bool operator==(const key_choice&) const = default;
};

/// One kind of request.
struct request_kind {
    std::string name;
    std::map<std::string, std::string> labels;
    std::string method = "GET";
    std::string target = "/";
    std::string customer;
    key_choice keys; ///< Empty: requests without a key.
    arrival_kind arrivals = arrival_kind::poisson;
    std::vector<rate_step> rate;
    duration serviceTime = std::chrono::milliseconds(5); ///< Asked of the backend server stand-in.
    std::size_t responseBytes = 200;
    std::int64_t bytesPerSecond = 0; ///< Pace of the answer; 0: as fast as it is read.
    std::size_t bodyBytes = 0; ///< Only with POST, PUT and PATCH.
    duration timeout = std::chrono::seconds(2);
    bool isOnce = false;

    bool operator==(const request_kind&) const = default;
};

/// What a run sends; docs/load.md describes the JSON form.
struct load_plan {
    duration length {};
    std::vector<request_kind> kinds;

    bool operator==(const load_plan&) const = default;
};

/// Fails with `invalid_settings`, naming the field.
result<load_plan> parseLoadPlan(std::string_view text);
/// Reads a file.
result<load_plan> loadPlanFile(const std::string& path);

/// Chooses the keys of one kind.
class key_chooser {
public:
    key_chooser(key_choice, std::uint64_t seed);

    std::string next();

private:
    key_choice m_choice;
    seeded_random m_random;
    std::size_t m_turn = 0;
};

} // namespace heatherdrift
