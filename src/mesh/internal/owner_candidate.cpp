#include "mesh/internal/owner_candidate.h"

namespace heatherdrift {

namespace {

    constexpr auto maxLoadAge = std::chrono::seconds(2); ///< Older loads are not used to place hot keys.

} // namespace

std::vector<owner_candidate> ownerCandidates(
    const mesh_directory& directory, const mesh_settings& settings, double ownDemand, time_point now)
{
    const bool mayBeEvacuated = directory.isWhollyEvacuated(settings.service);
    std::vector<owner_candidate> out;
    for (const auto* peer : directory.available(settings.service, now)) {
        if (!mayBeEvacuated && directory.isEvacuated(peer->member))
            continue;
        const bool isSelf = peer->member.node == settings.node;
        const double load = isSelf ? ownDemand : peer->load.demand;
        const bool isRecent = isSelf || (peer->loadAt != time_point::min() && now - peer->loadAt < maxLoadAge);
        out.push_back({ peer->member.node, { peer->member.life, load }, isRecent });
    }
    return out;
}

} // namespace heatherdrift
