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
    // Smooth weighted round robin: a random choice would deviate from the weights over short sequences.
    auto& state = m_splits[entry.name];
    if (state.services != entry.services) {
        state.services = entry.services;
        state.credits.assign(entry.services.size(), 0);
    }
    double total = 0;
    for (std::size_t i = 0; i < state.credits.size(); ++i) {
        state.credits[i] += entry.services[i].weight;
        total += entry.services[i].weight;
    }
    const auto best = std::ranges::max_element(state.credits);
    *best -= total;
    return entry.services[static_cast<std::size_t>(best - state.credits.begin())].service;
}

} // namespace heatherdrift
