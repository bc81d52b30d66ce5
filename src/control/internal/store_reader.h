#pragma once

#include "control/internal/control_context.h"

#include <memory>

namespace heatherdrift {

/// Polls the store for changes whose writer failed before it could replicate them. The total read rate of all nodes is
/// bounded: one node per availability zone reads the configuration every second, and each node scans all rows at an
/// interval that grows with the number of members.
class store_reader {
public:
    explicit store_reader(control_context&);

    void tick(time_point now, const instance_ref& self, const std::string& availabilityZone);

private:
    void readConfiguration();
    void scan(const std::string& table);
    bool isConfigurationReader(const instance_ref& self, const std::string& availabilityZone) const;

    control_context& m_context;
    time_point m_nextConfiguration;
    time_point m_nextScan;
    std::shared_ptr<char> m_alive;
};

} // namespace heatherdrift
