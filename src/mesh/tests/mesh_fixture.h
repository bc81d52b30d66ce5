#pragma once

#include "http/tests/test_loop.h"
#include "mesh/mesh_node.h"
#include "mesh/tests/loop_store.h"
#include "mesh/tests/test_port.h"

namespace heatherdrift {

/// Whole nodes on loopback with a simulated store. Announcements of backend servers are headers of a request.
class mesh_fixture : public testing::Test {
protected:
    mesh_fixture()
    {
        port.configurationRow = { "configuration", "current" };
        port.readinessPath = "/ready";
        port.decodeConfiguration = [this](std::string_view) -> result<route_configuration> { return current; };
        port.decodeDeparture = [](const http_request&) { return std::optional<std::string>(); };
        port.encodeGrant = [](const hold_grant&) { return http_response { { 200, {} }, "" }; };
        port.decodeAnnouncement = [this](const http_request& request) -> result<backend_announcement> {
            const auto field = [&](const char* name) { return std::string(request.headers.find(name).value_or("")); };
            const auto backendPort = static_cast<std::uint16_t>(std::stoi(field("backend-port")));
            return backend_announcement { field("backend"), std::stoll(field("started")), ++sequence, field("service"),
                { "127.0.0.1", backendPort }, 4, false, {}, {} };
        };
        current.version = 1;
    }

    void addService(const std::string& service, const std::string& host)
    {
        current.routes.push_back({ "r-" + service, host, "/", false, { { service, 1 } }, 1, std::chrono::seconds(60),
            std::chrono::seconds(1), 1 });
        current.services.push_back({ service, 64, false });
    }

    void storeConfiguration() { store.apply({ {}, { { port.configurationRow, 0, "" } } }); }

    std::unique_ptr<mesh_node> startNode(
        const std::string& name, const std::string& service, const endpoint& backendServer)
    {
        mesh_settings settings;
        settings.node = name;
        settings.zone = zone;
        settings.scheduling = scheduling;
        settings.service = service;
        settings.backend = backendServer;
        for (auto* address :
            { &settings.entry, &settings.forward, &settings.readiness, &settings.announcements, &settings.metrics })
            *address = { "127.0.0.1", 0 };
        settings.entry.ip = entryAddress;
        settings.heartbeatInterval = std::chrono::seconds(1);
        settings.drainTime = std::chrono::seconds(2);
        settings.stopTime = std::chrono::seconds(6);
        settings.longestHold = std::chrono::seconds(10);
        auto node
            = mesh_node::create(loop.base(), settings, port, std::make_unique<loop_store_client>(loop.base(), store));
        node.value()->start();
        return std::move(node).value();
    }

    /// The backend server beside the node announces itself. Returns the status of the answer.
    int announce(const mesh_node& node, const std::string& id, std::int64_t startedAt)
    {
        const auto& settings = node.settings();
        http_request request { "PUT", "/instances/" + id,
            { { "backend", id }, { "started", std::to_string(startedAt) }, { "service", settings.service },
                { "backend-port", std::to_string(settings.backend.port) } },
            "" };
        return loop.fetch(settings.announcements, std::move(request)).value().head.status;
    }

    http_response send(const mesh_node& node, const std::string& host, const std::string& target,
        const std::string& method = "POST", const http_headers& extra = {})
    {
        http_request request { method, target,
            { { "Host", host }, { "id", "r" + std::to_string(++lastId) }, { "timeout-ms", "60000" } }, "body" };
        for (const auto& [name, value] : extra.fields())
            request.headers.add(name, value);
        return loop.fetch(node.settings().entry, std::move(request)).value();
    }

    test_loop loop;
    std::string zone = "z"; ///< Of the nodes that are started next.
    std::string entryAddress = "127.0.0.1"; ///< With another address, callers are not on the own host.
    scheduling_settings scheduling {};
    platform_port port = makeTestPort();
    simulated_store store;
    route_configuration current;
    int lastId = 0;
    std::int64_t sequence = 0;
};

} // namespace heatherdrift
