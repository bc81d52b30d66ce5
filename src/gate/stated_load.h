#pragma once

#include "admission/server_load.h"
#include "base/clock.h"

#include <optional>

namespace heatherdrift {

/// The load that a backend server stated last. Statements lose their meaning within a fraction of a second.
class stated_load {
public:
    void record(const server_load&, time_point now);
    void clear() { m_load.reset(); }

    const std::optional<server_load>& last() const { return m_load; }
    /// How long work takes now, relative to the usual time; fades to 1 as the statement becomes old.
    double slowdown(time_point now) const;

private:
    std::optional<server_load> m_load;
    time_point m_statedAt {};
};

} // namespace heatherdrift
