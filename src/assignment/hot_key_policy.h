#pragma once

#include "assignment/heavy_hitters.h"
#include "assignment/partition_map.h"

#include <map>
#include <string>
#include <vector>

namespace heatherdrift {

/// Loads are shares of the mean load of an instance of the pool.
struct hot_key_options {
    double hotShare = 0.2; ///< A key with at least this load gets a hot partition,
    double coldShare = 0.05; ///< and loses it below this load.
    duration hotFor = std::chrono::seconds(5); ///< A key must stay hot for this long;
    duration coldFor = std::chrono::minutes(3); ///< and cold for this long.
};

struct hot_key_action {
    enum class kind {
        isolate, ///< Commit isolateKey().
        move_home, ///< Hand the hot partition over to the owner of the key's ordinary partition.
        return_key, ///< Commit returnKey().
    };

    kind what = kind::isolate;
    std::string key;
    partition_index partition = 0; ///< Hot partition; 0 for isolate.
    instance_id target; ///< New owner; this instance except for move_home.

    bool operator==(const hot_key_action&) const = default;
};

/// Decides for one instance and pool which of its keys get or lose a hot partition. The balancer moves hot partitions.
class hot_key_policy {
public:
    explicit hot_key_policy(hot_key_options options = {})
        : m_options(options)
    {
    }

    /// Called about once a second with the instance's own heavy hitters, hottest first, and the mean load of an
    /// instance in the same unit. Returns what to do now; an action that does not take effect is returned again. A mean
    /// of 0 (not known) leads to no action.
    std::vector<hot_key_action> decide(const pool_configuration&, const partition_map&, const instance_ref& self,
        const std::vector<heavy_hitter>&, double meanLoad, time_point now);

private:
    void decideIsolation(const pool_configuration&, const partition_map&, const instance_ref& self,
        const std::vector<heavy_hitter>&, double meanLoad, time_point now, std::vector<hot_key_action>&);
    void decideReturn(const pool_configuration&, const partition_map&, const instance_ref& self,
        const std::vector<heavy_hitter>&, double meanLoad, time_point now, std::vector<hot_key_action>&);

    hot_key_options m_options;
    std::map<std::string, time_point> m_isolateAt; ///< By key that has been hot without a break.
    std::map<std::string, time_point> m_returnAt; ///< By key of a hot partition that has been cold without a break.
};

} // namespace heatherdrift
