#include "control/internal/store_reader.h"

#include "base/hash.h"
#include "configuration/configuration_store_rows.h"
#include "store/page_row.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    constexpr duration configurationInterval = std::chrono::seconds(1);
    /// With n members, each node scans every n seconds, so the store gets about one scan per second in total.
    constexpr duration scanSpacing = std::chrono::seconds(1);
    constexpr duration minScanInterval = std::chrono::seconds(2);

} // namespace

store_reader::store_reader(control_context& context)
    : m_context(context)
    , m_alive(std::make_shared<char>())
{
}

void store_reader::tick(time_point now, const instance_ref& self, const std::string& availabilityZone)
{
    if (now >= m_nextConfiguration) {
        m_nextConfiguration = now + configurationInterval;
        if (isConfigurationReader(self, availabilityZone))
            readConfiguration();
    }
    if (now >= m_nextScan) {
        const auto members = static_cast<duration::rep>(m_context.view.members().size());
        const auto interval = std::max(scanSpacing * members, minScanInterval);
        m_nextScan = now + std::chrono::duration_cast<duration>(interval * (0.75 + 0.5 * m_context.jitter()));
        scan(memberTable);
        scan(pageTable);
    }
}

bool store_reader::isConfigurationReader(const instance_ref& self, const std::string& availabilityZone) const
{
    const std::string subject = "configuration/" + availabilityZone;
    const auto weight = rendezvousWeight(subject, self.id);
    return std::ranges::none_of(m_context.view.members(), [&](const auto& entry) {
        const auto& row = entry.second.row;
        return row.self.id != self.id && row.availabilityZone == availabilityZone
            && (row.state == member_state::active || row.state == member_state::joining)
            && rendezvousWeight(subject, row.self.id) > weight;
    });
}

void store_reader::readConfiguration()
{
    m_context.store.read(currentConfigurationKey(), m_context.storeDeadline(),
        [this, alive = std::weak_ptr(m_alive)](const result<std::optional<stored_row>>& row) {
            if (!alive.expired() && row.has_value() && row.value())
                m_context.replica.add({ *row.value() });
        });
}

void store_reader::scan(const std::string& table)
{
    m_context.store.scan(table, m_context.storeDeadline(),
        [this, alive = std::weak_ptr(m_alive)](const result<std::vector<stored_row>>& rows) {
            if (!alive.expired() && rows.has_value())
                m_context.replica.add(rows.value());
        });
}

} // namespace heatherdrift
