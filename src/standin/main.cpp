#include "base/event_handle.h"
#include "base/signal_block.h"
#include "standin/backend_server.h"
#include "standin/store_service.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <charconv>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <vector>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address of the service; port 0 takes a free port");
ABSL_FLAG(std::string, control, "127.0.0.1:0", "address of /faults, /stats and /journal");
ABSL_FLAG(double, reads_per_second, 2000, "stores: reads above are refused; 0: no limit");
ABSL_FLAG(double, writes_per_second, 300, "stores: written rows above are refused; 0: no limit");
ABSL_FLAG(std::uint64_t, seed, 1, "stores: seed of faults that affect a share of the requests");
ABSL_FLAG(std::string, announce_to, "", "backend: admin address of the process beside it");
ABSL_FLAG(std::string, labels, "", "backend: announced labels, name=value,...");
ABSL_FLAG(int, slots, 12, "backend: requests that run at once");
ABSL_FLAG(int, queue_bound, 100, "backend: requests that wait; more are refused");
ABSL_FLAG(int, connection_cost_ms, 1, "backend: delay of the first answer on each connection");
ABSL_FLAG(int, service_ms, 5, "backend: service time of requests that give none");
ABSL_FLAG(std::string, service_ms_by_kind, "", "backend: service times by the label kind, value=milliseconds,...");
ABSL_FLAG(bool, checks_grants, false, "backend: refuse requests whose grant is not valid");
ABSL_FLAG(int, cold_start_ms, 0, "backend: time after a start in which service times are longer");
ABSL_FLAG(double, cold_factor, 3, "backend: by how much they are longer");
ABSL_FLAG(std::string, crash_word, "", "backend: a request with this value of standin-crash ends the process");

namespace {

using namespace heatherdrift;

constexpr int usageStatus = 2;
constexpr int crashStatus = 70;
constexpr auto stopSignals = { SIGTERM, SIGINT, SIGHUP };

/// Ends the process with the usage status.
[[noreturn]] void fail(const std::string& message)
{
    std::cerr << "heatherdrift-standin: " << message << std::endl;
    std::exit(usageStatus);
}

/// Like parseEndpoint(), but takes port 0 too.
endpoint listenAddress(const std::string& text)
{
    constexpr std::string_view freePort = ":0";
    const bool isFreePort = text.ends_with(freePort);
    auto address = parseEndpoint(isFreePort ? text.substr(0, text.size() - 1) + "1" : text);
    if (!address)
        fail(text + ": expected an IP address and port");
    if (isFreePort)
        address->port = 0;
    return *address;
}

/// Parses "name=value,...".
std::map<std::string, std::string> parsePairs(const std::string& text)
{
    std::map<std::string, std::string> pairs;
    for (std::size_t start = 0; start < text.size();) {
        const auto end = std::min(text.find(',', start), text.size());
        const auto equals = text.find('=', start);
        if (equals >= end)
            fail(text + ": expected name=value,...");
        pairs.emplace(text.substr(start, equals - start), text.substr(equals + 1, end - equals - 1));
        start = end + 1;
    }
    return pairs;
}

std::map<std::string, duration> parseServiceTimes(const std::string& text)
{
    std::map<std::string, duration> times;
    for (const auto& [kind, value] : parsePairs(text)) {
        int milliseconds = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), milliseconds);
        if (error != std::errc() || end != value.data() + value.size() || milliseconds < 0)
            fail(text + ": expected value=milliseconds,...");
        times.emplace(kind, std::chrono::milliseconds(milliseconds));
    }
    return times;
}

store_service_settings storeSettings()
{
    return { listenAddress(absl::GetFlag(FLAGS_listen)), listenAddress(absl::GetFlag(FLAGS_control)),
        absl::GetFlag(FLAGS_reads_per_second), absl::GetFlag(FLAGS_writes_per_second), absl::GetFlag(FLAGS_seed) };
}

backend_server_settings backendSettings()
{
    backend_server_settings settings;
    settings.listen = listenAddress(absl::GetFlag(FLAGS_listen));
    settings.control = listenAddress(absl::GetFlag(FLAGS_control));
    if (const auto text = absl::GetFlag(FLAGS_announce_to); !text.empty()) {
        settings.announceTo = parseEndpoint(text);
        if (!settings.announceTo)
            fail(text + ": expected an IP address and port");
    }
    settings.labels = parsePairs(absl::GetFlag(FLAGS_labels));
    settings.slots = absl::GetFlag(FLAGS_slots);
    settings.queueBound = static_cast<std::size_t>(std::max(absl::GetFlag(FLAGS_queue_bound), 0));
    settings.connectionCost = std::chrono::milliseconds(absl::GetFlag(FLAGS_connection_cost_ms));
    settings.serviceTime = std::chrono::milliseconds(absl::GetFlag(FLAGS_service_ms));
    settings.serviceTimeByKind = parseServiceTimes(absl::GetFlag(FLAGS_service_ms_by_kind));
    settings.checksGrants = absl::GetFlag(FLAGS_checks_grants);
    settings.coldStart = std::chrono::milliseconds(absl::GetFlag(FLAGS_cold_start_ms));
    settings.coldFactor = absl::GetFlag(FLAGS_cold_factor);
    settings.crashWord = absl::GetFlag(FLAGS_crash_word);
    settings.onCrash = [] { std::_Exit(crashStatus); };
    return settings;
}

/// Serves until SIGTERM, SIGINT or SIGHUP.
template <typename Service> int run(event_base* base, const result<std::unique_ptr<Service>>& service)
{
    if (service.has_error())
        fail(service.error().message);
    std::cout << "service " << toString(service.value()->address()) << "\ncontrol "
              << toString(service.value()->controlAddress()) << std::endl;
    const auto stop
        = [](evutil_socket_t, short, void* argument) { event_base_loopbreak(static_cast<event_base*>(argument)); };
    const event_handle onTerminate(evsignal_new(base, SIGTERM, stop, base));
    const event_handle onInterrupt(evsignal_new(base, SIGINT, stop, base));
    const event_handle onHangUp(evsignal_new(base, SIGHUP, stop, base));
    for (const auto* watch : { &onTerminate, &onInterrupt, &onHangUp })
        event_add(watch->get(), nullptr);
    unblockSignals(stopSignals);
    event_base_dispatch(base);
    // Removing a handler restores the default action.
    blockSignals(stopSignals);
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    blockSignals(stopSignals);
    std::signal(SIGPIPE, SIG_IGN);
    absl::SetProgramUsageMessage(
        "stand-ins of the platform: heatherdrift-standin table-store|object-store|backend [flags]");
    const auto arguments = absl::ParseCommandLine(argc, argv);
    if (arguments.size() != 2)
        fail("expected one of table-store, object-store, backend");
    const std::string_view kind = arguments[1];
    const event_base_handle base(event_base_new());
    if (kind == "table-store")
        return run(base.get(), startTableService(base.get(), storeSettings()));
    if (kind == "object-store")
        return run(base.get(), startObjectService(base.get(), storeSettings()));
    if (kind == "backend")
        return run(base.get(), backend_server::start(base.get(), backendSettings()));
    fail(std::string(kind) + ": expected one of table-store, object-store, backend");
}
