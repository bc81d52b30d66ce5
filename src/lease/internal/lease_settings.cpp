#include "lease/lease_settings.h"

#include <cmath>

namespace heatherdrift {

namespace {

    // With a larger share the grant at the holder is too short for a second renewal at any practical ttl.
    constexpr double maxDriftShare = 0.2;

    struct rule {
        bool isMet;
        const char* message;
    };

} // namespace

duration lease_settings::holderGrantTime() const
{
    return duration(static_cast<duration::rep>(std::floor(static_cast<double>(ttl.count()) * (1 - driftShare))));
}

duration lease_settings::witnessGrantTime() const
{
    return duration(static_cast<duration::rep>(std::ceil(static_cast<double>(ttl.count()) * (1 + driftShare))));
}

result<void> checkLeaseSettings(const lease_settings& settings)
{
    const auto lastRank = static_cast<duration::rep>(maxWitnesses - 1);
    const rule rules[] = {
        { settings.ttl > duration(0) && settings.renewalInterval > duration(0) && settings.rankDelay >= duration(0),
            "ttl and renewal interval must be positive and the rank delay not negative" },
        { settings.driftShare >= 0 && settings.driftShare <= maxDriftShare, "the drift share must be from 0 to 0.2" },
        // The loss of one renewal must not end the lease: the next one must arrive in time.
        { settings.renewalInterval * 2 < settings.holderGrantTime(),
            "two renewal intervals must be shorter than the ttl less the drift share" },
        // Otherwise the loss of one renewal is taken for the loss of the holder.
        { settings.silenceLimit >= settings.renewalInterval * 2,
            "the silence limit must be at least two renewal intervals" },
        // Detection then does not prolong the wait for the last grant, whichever witness detects the loss.
        { settings.silenceLimit + settings.rankDelay * lastRank <= settings.witnessGrantTime(),
            "the silence limit with the delay of the last rank must not exceed the ttl plus the drift share" },
        { settings.staleConfigurationLimit > settings.renewalInterval,
            "the stale configuration limit must be longer than the renewal interval" },
        { settings.replacementDelay > settings.silenceLimit,
            "the replacement delay must be longer than the silence limit" },
        { settings.rebalanceDelay >= settings.replacementDelay,
            "the rebalance delay must not be shorter than the replacement delay" },
        { settings.initialRetryDelay > duration(0) && settings.initialRetryDelay <= settings.maxRetryDelay,
            "the initial retry delay must be positive and not exceed the maximum retry delay" },
        { settings.blockedAfter > settings.witnessGrantTime(),
            "a takeover must not be reported as blocked before the last grant can have ended" },
        { settings.mutations == lease_mutations {}, "deliberate faults are for tests only" },
    };
    for (const auto& entry : rules) {
        if (!entry.isMet)
            return notRun(error_code::invalid_settings, std::string("lease: ") + entry.message);
    }
    return outcome::success();
}

} // namespace heatherdrift
