#include "configuration/configuration.h"

#include <algorithm>

namespace heatherdrift {

const pool_configuration* configuration::findPool(std::string_view name) const
{
    const auto found = std::ranges::find(pools, name, &pool_configuration::name);
    return found == pools.end() ? nullptr : &*found;
}

const request_selector* configuration::findSelector(const label_set& requestLabels) const
{
    const auto found
        = std::ranges::find_if(selectors, [&](const auto& entry) { return entry.requests.matches(requestLabels); });
    return found == selectors.end() ? nullptr : &*found;
}

label_set configuration::labelsOf(const instance_id& instance, const label_set& announced) const
{
    const auto given = instanceLabels.find(instance);
    if (given == instanceLabels.end())
        return announced;
    auto labels = given->second;
    // insert() keeps the labels that are there already: those of the operators.
    labels.insert(announced.begin(), announced.end());
    return labels;
}

const pool_configuration* configuration::poolFor(const label_set& labels) const
{
    const auto found = std::ranges::find_if(pools, [&](const auto& pool) { return pool.members.matches(labels); });
    return found == pools.end() ? nullptr : &*found;
}

} // namespace heatherdrift
