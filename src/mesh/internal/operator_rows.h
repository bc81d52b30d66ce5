#pragma once

#include "base/event_handle.h"
#include "mesh/internal/gate_service.h"
#include "mesh/internal/mesh_directory.h"
#include "mesh/internal/mesh_metrics.h"
#include "mesh/internal/ownership.h"
#include "routes/evacuation_list.h"
#include "routes/route_table.h"

#include <set>

namespace heatherdrift {

/// The parts of the node that the operator's rows change.
struct operator_context {
    event_base* base = nullptr;
    const mesh_settings& settings;
    const platform_port& port;
    route_table& routes;
    mesh_directory& directory;
    gate_service& gate;
    ownership& keys;
    mesh_metrics& metrics;
    std::function<void()> onConfigurationApplied;
    /// Latest time at which the known rows are known to have matched the store.
    std::function<time_point()> matchedAt;
};

/// Puts the rows of the operator's table into force: the configuration and the evacuations of zones. All other rows are
/// ignored.
class operator_rows {
public:
    explicit operator_rows(operator_context);

    /// Closes the gate until the table is known.
    void start();
    void onRowChanged(const row_change&);
    void onTableRead();
    /// The instances of other nodes are known, so that a zone without any can be told.
    void onMembersRead();

private:
    void applyConfiguration(const row_change&);
    void setEvacuation(const std::string& zone, bool exists);
    void applyToOwnZone();
    void checkForInstances(const std::string& zone);
    void logKeysAtEnd();

    operator_context m_context;
    evacuation_list m_evacuations;
    bool m_areMembersRead = false;
    std::set<std::string> m_uncheckedZones; ///< Evacuated before the instances were known.
    timer m_closingTimer;
};

} // namespace heatherdrift
