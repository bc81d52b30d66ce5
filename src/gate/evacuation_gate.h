#pragma once

#include "base/clock.h"

#include <optional>

namespace heatherdrift {

/// Which requests a gate refuses because its zone is evacuated.
class evacuation_gate {
public:
    /// Refuses all requests until then, unless begin() or end() is called before: the operator's table is not known.
    void awaitTable(time_point until) { m_unknownUntil = until; }
    /// Refuses requests without a key at once, and those with a key from the given time on.
    void begin(time_point keysUntil);
    void end();

    bool refuses(bool hasKey, time_point now) const;
    bool hasBegun() const { return m_keysUntil.has_value(); }
    /// End of the time for requests with a key; max() without an evacuation.
    time_point keysUntil() const { return m_keysUntil.value_or(time_point::max()); }

private:
    time_point m_unknownUntil = time_point::min();
    std::optional<time_point> m_keysUntil; ///< Set during an evacuation.
};

} // namespace heatherdrift
