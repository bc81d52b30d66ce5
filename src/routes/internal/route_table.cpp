#include "routes/route_table.h"

#include <algorithm>
#include <numeric>

namespace heatherdrift {

bool route_table::apply(route_configuration configuration)
{
    if (configuration.version <= m_configuration.version)
        return false;
    m_configuration = std::move(configuration);
    m_byHost.clear();
    m_services.clear();
    for (const auto& entry : m_configuration.routes)
        m_byHost[entry.host].push_back(&entry);
    for (auto& [host, routes] : m_byHost) {
        std::ranges::stable_sort(
            routes, [](const route* a, const route* b) { return a->prefix.size() > b->prefix.size(); });
    }
    for (const auto& entry : m_configuration.services)
        m_services[entry.name] = &entry;
    return true;
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto found = m_byHost.find(std::string(host));
    if (found == m_byHost.end())
        return nullptr;
    const auto match
        = std::ranges::find_if(found->second, [&](const route* entry) { return path.starts_with(entry->prefix); });
    return match == found->second.end() ? nullptr : *match;
}

const service_definition* route_table::service(const std::string& name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
}

const std::string& route_table::pickService(const route& entry)
{
    if (entry.services.size() == 1)
        return entry.services.front().service;
    return entry.services[m_splits[entry.name].pickNext(entry.services)].service;
}

const std::string& route_table::nextService(const route& entry) const
{
    const auto found = m_splits.find(entry.name);
    auto copy = found == m_splits.end() ? split_state() : found->second;
    return entry.services[copy.pickNext(entry.services)].service;
}

// Smooth weighted round robin: a random choice would deviate from the weights over short sequences.
std::size_t route_table::split_state::pickNext(const std::vector<service_share>& present)
{
    if (services != present) {
        services = present;
        credits.assign(present.size(), 0);
    }
    double total = 0;
    for (std::size_t i = 0; i < credits.size(); ++i) {
        credits[i] += present[i].weight;
        total += present[i].weight;
    }
    const auto best = std::ranges::max_element(credits);
    *best -= total;
    return static_cast<std::size_t>(best - credits.begin());
}

} // namespace heatherdrift
