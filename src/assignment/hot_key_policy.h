#pragma once

#include "assignment/heavy_hitters.h"
#include "assignment/partition_map.h"

#include <map>
#include <string>
#include <vector>

namespace heatherdrift {

/// Thresholds are fractions of the mean load of an instance of the pool.
struct hot_key_options {
    double hotShare = 0.2; ///< A key with at least this load is hot and gets a hot partition.
    double coldShare = 0.05; ///< A key below this load is cold and loses its hot partition.
    duration minHotDuration = std::chrono::seconds(5); ///< A key must be hot for this long without interruption.
    duration minColdDuration = std::chrono::minutes(3); ///< A key must be cold for this long without interruption.
};

struct hot_key_action {
    enum class kind {
        isolate, ///< Commit isolateKey().
        move_to_ordinary_owner, ///< Hand over the hot partition to the owner of the key's ordinary partition.
        return_key, ///< Commit returnKey().
    };

    kind what = kind::isolate;
    std::string key;
    partition_index partition = 0; ///< The hot partition; 0 for isolate.
    instance_id target; ///< New owner; this instance except for move_to_ordinary_owner.

    bool operator==(const hot_key_action&) const = default;
};

/// Decides for one instance and pool which of the instance's keys get or lose a hot partition. Moving hot partitions
/// between instances for balance is left to the balancer.
class hot_key_policy {
public:
    explicit hot_key_policy(hot_key_options options = {})
        : m_options(options)
    {
    }

    /// Called about once a second with the instance's own heavy hitters, hottest first, and the mean load of an
    /// instance in the same unit. Returns the actions to take now; an action is returned again until it has taken
    /// effect. A mean load of 0 means unknown and yields no action.
    std::vector<hot_key_action> decide(const pool_configuration&, const partition_map&, const instance_ref& self,
        const std::vector<heavy_hitter>&, double meanLoad, time_point now);

private:
    void decideIsolation(const pool_configuration&, const partition_map&, const instance_ref& self,
        const std::vector<heavy_hitter>&, double meanLoad, time_point now, std::vector<hot_key_action>&);
    void decideReturn(const pool_configuration&, const partition_map&, const instance_ref& self,
        const std::vector<heavy_hitter>&, double meanLoad, time_point now, std::vector<hot_key_action>&);

    hot_key_options m_options;
    std::map<std::string, time_point> m_isolateAt; ///< When to isolate each key that is hot.
    std::map<std::string, time_point> m_returnAt; ///< When to return each isolated key that is cold.
};

} // namespace heatherdrift
