#include "control/tests/fake_mesh.h"

#include <gtest/gtest.h>

namespace heatherdrift {

namespace {

    constexpr duration linkDelay = std::chrono::milliseconds(1);
    constexpr duration checkInterval = std::chrono::milliseconds(1);
    constexpr const char* poolName = "records";

    configuration testConfiguration()
    {
        pool_configuration pool;
        pool.name = poolName;
        pool.members.conditions = { { "pool", label_condition::kind::in, { poolName } } };
        pool.partitions = fake_mesh::partitions;
        request_selector selector;
        selector.name = "lookup";
        selector.pool = poolName;
        configuration value;
        value.pools = { pool };
        value.selectors = { selector };
        return value;
    }

} // namespace

class fake_process::links : public peer_transport {
public:
    links(fake_mesh& mesh, fake_process& process)
        : m_mesh(mesh)
        , m_process(process)
    {
    }

    void send(const peer_address& to, const wire::Message& message) override { m_mesh.deliver(m_process, to, message); }
    void onMessage(message_handler handler) override { receive = std::move(handler); }

    message_handler receive;

private:
    fake_mesh& m_mesh;
    fake_process& m_process;
};

/// The shared store as seen by one process, which can be cut off from it.
class fake_process::store_access : public table_store {
public:
    store_access(fake_mesh& mesh, fake_process& process)
        : m_mesh(mesh)
        , m_process(process)
    {
    }

    void read(row_key key, time_point deadline, std::function<void(result<std::optional<stored_row>>)> done) override
    {
        if (!refuse(done))
            m_mesh.store.read(std::move(key), deadline, guarded(std::move(done)));
    }
    void scan(
        std::string table, time_point deadline, std::function<void(result<std::vector<stored_row>>)> done) override
    {
        if (!refuse(done))
            m_mesh.store.scan(std::move(table), deadline, guarded(std::move(done)));
    }
    void commit(
        store_transaction transaction, time_point deadline, std::function<void(result<commit_receipt>)> done) override
    {
        if (!refuse(done))
            m_mesh.store.commit(std::move(transaction), deadline, guarded(std::move(done)));
    }

private:
    template <typename Value> bool refuse(const std::function<void(result<Value>)>& done)
    {
        if (!m_process.isCutFromStore)
            return false;
        m_mesh.time.after(
            linkDelay, [call = guarded(done)] { call(notRun(error_code::store_unavailable, "cut off")); });
        return true;
    }

    template <typename Value> std::function<void(result<Value>)> guarded(std::function<void(result<Value>)> done)
    {
        // The response may arrive after this object is destroyed; the process outlives it.
        return [&process = m_process, runId = m_process.m_runId, done = std::move(done)](result<Value> value) {
            if (runId == process.m_runId)
                process.whenRunning([done, value = std::move(value)] { done(value); });
        };
    }

    fake_mesh& m_mesh;
    fake_process& m_process;
};

fake_process::fake_process(fake_mesh& mesh, int number, std::string availabilityZone)
    : index(number)
    , zone(std::move(availabilityZone))
    , m_mesh(mesh)
{
}

fake_process::~fake_process() { kill(); }

void fake_process::start()
{
    kill();
    m_links = std::make_unique<links>(m_mesh, *this);
    m_store = std::make_unique<store_access>(m_mesh, *this);
    resolving_store_options options;
    options.now = m_mesh.time.clock();
    options.after = [this, runId = m_runId](duration delay, std::function<void()> call) {
        m_mesh.time.after(delay, [this, runId, call = std::move(call)] {
            if (runId == m_runId)
                whenRunning(call);
        });
    };
    options.random = [] { return 0.5; };
    m_resolving = std::make_unique<resolving_store>(*m_store, options);
    const auto port = static_cast<std::uint16_t>(1000 + index);
    const endpoint address { "127.0.0.1", port };
    control_ports ports;
    ports.now = m_mesh.time.clock();
    ports.store = m_store.get();
    ports.resolving = m_resolving.get();
    ports.transport = m_links.get();
    ports.identify = [this](const instance_ref& self) { m_identified = self; };
    ports.toRequestTask = [this, runId = m_runId](const to_request_task& message) {
        m_mesh.time.after({}, [this, runId, message] {
            if (runId == m_runId)
                whenRunning([this, message] { onControl(message); });
        });
    };
    ports.left = [this] { m_hasLeft = true; };
    ports.seed = static_cast<std::uint64_t>(index) * 1000 + m_runId + 1;
    m_node = control_node::create({ id(), "region", zone, address, address, address, address }, m_mesh.lease, ports);
    m_node->start();
    m_node->onAnnouncement({ address, { { "pool", poolName } }, 12, true });
    tick();
}

void fake_process::kill()
{
    ++m_runId;
    m_isPaused = false;
    m_deferred.clear();
    m_node.reset();
    m_resolving.reset();
    m_store.reset();
    m_links.reset();
    m_identified.reset();
    m_snapshot.reset();
    m_stoppedPartitions.clear();
    m_leaseEnd = {};
    m_serving = {};
}

void fake_process::pause() { m_isPaused = true; }

void fake_process::resume()
{
    m_isPaused = false;
    for (const auto& call : std::exchange(m_deferred, {}))
        call();
}

void fake_process::whenRunning(std::function<void()> call)
{
    if (m_isPaused)
        m_deferred.push_back(std::move(call));
    else
        call();
}

void fake_process::tick()
{
    m_mesh.time.after(tickInterval, [this, runId = m_runId] {
        if (runId != m_runId)
            return;
        whenRunning([this] {
            m_node->tick();
            tick();
        });
    });
}

void fake_process::receive(const instance_ref& sender, const wire::Message& message)
{
    whenRunning([this, sender, message] {
        if (m_links && m_links->receive)
            m_links->receive(sender, message);
    });
}

void fake_process::onControl(const to_request_task& message)
{
    if (const auto* become = std::get_if<start_incarnation>(&message)) {
        m_serving = become->self;
        m_isStopped = false;
        m_leaseEnd = {};
        m_snapshot.reset();
        m_stoppedPartitions.clear();
    } else if (const auto* stop = std::get_if<stop_serving>(&message)) {
        m_isStopped = m_isStopped || stop->self == m_serving;
        m_node->onRequestTask(serving_stopped { stop->self });
    } else if (const auto* use = std::get_if<use_snapshot>(&message)) {
        m_snapshot = use->snapshot;
    } else if (const auto* lease = std::get_if<lease_update>(&message)) {
        if (lease->self == m_serving)
            m_leaseEnd = lease->end;
    } else if (const auto* partition = std::get_if<stop_partition>(&message)) {
        m_stoppedPartitions.insert(partition->partition);
        m_node->onRequestTask(partition_idle { partition->partition });
    } else if (const auto* resumed = std::get_if<resume_partition>(&message)) {
        m_stoppedPartitions.erase(resumed->partition);
    }
}

bool fake_process::owns(partition_index partition) const
{
    if (!m_snapshot || m_snapshot->self != m_serving)
        return false;
    const auto found = m_snapshot->partitions.find(poolName, partition);
    return found && found->isOwnedBy(m_serving);
}

bool fake_process::canServe(partition_index partition) const
{
    return m_node && !m_isStopped && m_mesh.time.now() < m_leaseEnd && owns(partition)
        && !m_stoppedPartitions.contains({ poolName, partition });
}

fake_mesh::fake_mesh(int zones, int instancesPerZone, const lease_settings& settings)
    : lease(settings)
{
    store.chooseLatency = [] { return std::chrono::milliseconds(5); };
    for (int i = 0; i < zones * instancesPerZone; ++i)
        m_processes.push_back(std::make_unique<fake_process>(*this, i, "zone-" + std::to_string(i % zones)));
}

fake_mesh::~fake_mesh() = default;

void fake_mesh::startAll()
{
    for (const auto& process : m_processes)
        process->start();
}

void fake_mesh::applyConfiguration(const std::function<void(configuration&)>& change)
{
    for (int tries = 0; tries < 100; ++tries) {
        run(std::chrono::milliseconds(100));
        if (!at(0).node().status().isRegistered)
            continue;
        auto next = testConfiguration();
        if (change)
            change(next);
        std::optional<result<std::int64_t>> outcome;
        const auto base = at(0).node().status().configurationVersion;
        at(0).node().applyConfiguration(next, base, [&](const result<std::int64_t>& value) { outcome = value; });
        run(std::chrono::seconds(1));
        ASSERT_TRUE(outcome && outcome->has_value());
        return;
    }
    FAIL() << "the first node did not register";
}

void fake_mesh::run(duration length)
{
    const auto end = time.now() + length;
    while (time.now() < end) {
        time.runFor(std::min(checkInterval, end - time.now()));
        check();
    }
}

std::optional<duration> fake_mesh::runUntilServed(duration timeout)
{
    const auto start = time.now();
    while (time.now() < start + timeout) {
        if (unservedPartitions() == 0)
            return time.now() - start;
        run(checkInterval);
    }
    return std::nullopt;
}

int fake_mesh::unservedPartitions() const
{
    int count = 0;
    for (partition_index partition = 0; partition < partitions; ++partition) {
        bool isServed = false;
        for (const auto& process : m_processes)
            isServed = isServed || process->canServe(partition);
        count += !isServed;
    }
    return count;
}

int fake_mesh::anyOwner() const
{
    for (const auto& process : m_processes) {
        for (partition_index partition = 0; partition < partitions; ++partition) {
            if (process->canServe(partition))
                return process->index;
        }
    }
    return 0;
}

void fake_mesh::deliver(const fake_process& from, const peer_address& to, const wire::Message& message)
{
    if (!from.identified())
        return;
    for (const auto& process : m_processes) {
        if (process->id() != to.self.id || (m_isCut && m_isCut(from, *process)))
            continue;
        auto* target = process.get();
        time.after(linkDelay, [this, target, to, &from, sender = *from.identified(), message] {
            // A message is addressed to one process, and the link may have been cut during the delivery.
            if (target->identified() == to.self && !(m_isCut && m_isCut(from, *target)))
                target->receive(sender, message);
        });
    }
}

void fake_mesh::check()
{
    for (partition_index partition = 0; partition < partitions; ++partition) {
        std::vector<int> servers;
        for (const auto& process : m_processes) {
            if (process->canServe(partition))
                servers.push_back(process->index);
        }
        if (servers.size() < 2)
            continue;
        violations.push_back("partition " + std::to_string(partition) + " can be served by "
            + std::to_string(servers[0]) + " and " + std::to_string(servers[1]) + " at "
            + std::to_string(time.now().time_since_epoch().count()));
    }
}

} // namespace heatherdrift
