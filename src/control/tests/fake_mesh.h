#pragma once

#include "control/control_node.h"
#include "store/resolving_store.h"
#include "store/tests/fake_table_store.h"
#include "store/tests/virtual_time.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace heatherdrift {

class fake_process;

/// Runs several real control_nodes in virtual time, with fakes for the store, the links and the request tasks. Checks
/// at every step that no partition can be served by two processes.
class fake_mesh {
public:
    fake_mesh(int zones, int instancesPerZone, const lease_settings& = {});
    ~fake_mesh();

    virtual_time time;
    const lease_settings lease;
    fake_table_store store { time.delays() };
    std::vector<std::string> violations;

    fake_process& at(int index) { return *m_processes[static_cast<std::size_t>(index)]; }
    int size() const { return static_cast<int>(m_processes.size()); }
    void startAll();
    /// Applies a configuration with one pool of 16 partitions through the first node.
    void applyConfiguration(const std::function<void(configuration&)>& change = {});
    /// Runs until every partition can be served. Returns the time that took, or nothing after the timeout.
    std::optional<duration> runUntilServed(duration timeout);
    void run(duration);

    /// Number of partitions that no live process can serve now.
    int unservedPartitions() const;
    /// Index of a process that owns partitions.
    int anyOwner() const;
    void cutLinks(const std::function<bool(const fake_process&, const fake_process&)>& isCut) { m_isCut = isCut; }
    void deliver(const fake_process& from, const peer_address& to, const wire::Message&);

    static constexpr std::uint32_t partitions = 16;

private:
    void check();

    std::vector<std::unique_ptr<fake_process>> m_processes;
    std::function<bool(const fake_process&, const fake_process&)> m_isCut;
};

/// One instance: its control node and a fake of its request task.
class fake_process {
public:
    fake_process(fake_mesh&, int index, std::string zone);
    ~fake_process();

    const int index;
    const std::string zone;
    bool isCutFromStore = false;

    void start();
    void kill();
    /// Suspends the process until resume(); its clock continues to run.
    void pause();
    void resume();
    bool isAlive() const { return m_node != nullptr; }
    bool hasLeft() const { return m_hasLeft; }
    control_node& node() { return *m_node; }
    instance_id id() const { return "i" + std::to_string(index); }

    /// Whether the request task would start a call of the partition now.
    bool canServe(partition_index) const;
    bool owns(partition_index) const;
    void loseBackend() { m_node->onRequestTask(backend_health { false }); }

    /// Runs the function at once or, if the process is paused, on resume; not at all if it is killed before.
    void whenRunning(std::function<void()>);
    void receive(const instance_ref& sender, const wire::Message&);
    const std::optional<instance_ref>& identified() const { return m_identified; }

private:
    class links;
    class store_access;

    void onControl(const to_request_task&);
    void tick();

    fake_mesh& m_mesh;
    std::uint64_t m_runId = 0;
    bool m_isPaused = false;
    bool m_hasLeft = false;
    std::vector<std::function<void()>> m_deferred;
    std::unique_ptr<links> m_links;
    std::unique_ptr<store_access> m_store;
    std::unique_ptr<resolving_store> m_resolving;
    std::unique_ptr<control_node> m_node;
    std::optional<instance_ref> m_identified;
    // State of the fake request task.
    instance_ref m_serving;
    time_point m_leaseEnd;
    bool m_isStopped = false;
    routing_snapshot_ptr m_snapshot;
    std::set<partition_id> m_stoppedPartitions;
};

} // namespace heatherdrift
