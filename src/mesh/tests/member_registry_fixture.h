#pragma once

#include "http/tests/test_loop.h"
#include "mesh/internal/member_registry.h"

namespace heatherdrift {

/// Store that keeps the writes until the test answers them.
class writing_store : public watched_store {
public:
    void read(std::string, time_point, std::function<void(result<row_snapshot>)>) override { }
    void watch(std::string, row_version, duration, time_point, std::function<void(result<row_snapshot>)>) override { }
    void write(conditional_write write, time_point, std::function<void(result<write_outcome>)> done) override
    {
        writes.push_back(std::move(write));
        pending.push_back(std::move(done));
    }
    void answer(row_version version)
    {
        for (const auto& done : std::exchange(pending, {}))
            done(write_outcome { true, version, {} });
    }

    std::vector<conditional_write> writes;
    std::vector<std::function<void(result<write_outcome>)>> pending;
};

/// Node n1, whose backend server sends heartbeats when the test asks for it.
class MemberRegistryTest : public testing::Test {
protected:
    MemberRegistryTest()
    {
        settings.node = "n1";
        settings.zone = "z1";
        settings.service = "s";
        settings.forward = { "127.0.0.1", 1 };
        port.decodeDeparture = [](const http_request& request) {
            return request.method == "DELETE" ? std::optional(request.target.substr(1)) : std::nullopt;
        };
        port.decodeAnnouncement = [this](const http_request&) -> result<backend_announcement> {
            backend_announcement out;
            out.id = id;
            out.startedAt = startedAt;
            out.sequence = ++heartbeats;
            out.service = settings.service;
            out.isDraining = isDraining;
            return out;
        };
        port.encodeGrant = [](const hold_grant&) { return http_response { { 200, {} }, "" }; };
        server = loop.listen([this](http_exchange_ptr exchange) { announcements.handle(std::move(exchange)); });
    }

    void depart() { EXPECT_EQ(loop.fetch(server->address(), { "DELETE", "/i1", {}, "" }).value().head.status, 200); }

    /// Sends a message whose response the test awaits by itself; `status` is 0 until it arrives.
    void send(http_request request)
    {
        status = 0;
        client = http_client::create(loop.base(), server->address(), 1);
        fetch(*client, std::move(request), test_loop::farDeadline(), 1 << 20,
            [this](const result<http_response>& answer) { status = answer.value().head.status; });
    }

    int awaitStatus()
    {
        loop.runUntil([this] { return status != 0; });
        return status;
    }

    /// The heartbeat was handled, but its response may still wait.
    void awaitLeaving()
    {
        loop.runUntil([this] { return announcements.hasUnacknowledgedDeparture(); });
    }

    mesh_member ownRow(bool draining) const
    {
        auto out = member("n1", 1, "i1@5");
        out.backendId = "i1";
        out.isDraining = draining;
        return out;
    }

    void heartbeat() { EXPECT_EQ(loop.fetch(server->address(), { "PUT", "/", {}, "" }).value().head.status, 200); }

    static mesh_member member(const instance_id& node, std::uint16_t addressPort, const life_name& life)
    {
        mesh_member out;
        out.node = node;
        out.zone = "z1";
        out.address = { "127.0.0.1", addressPort };
        out.service = "s";
        out.life = life;
        return out;
    }

    static row_change row(const mesh_member& value, row_version version)
    {
        return { { member_registry::table, value.node }, version, toJson(value) };
    }
    static row_change missing(const instance_id& node, row_version version)
    {
        return { { member_registry::table, node }, version, std::nullopt };
    }

    /// What the last write made of this node's own row.
    row_change written(row_version version) const
    {
        auto out = store.writes.back().changes.at(0);
        out.version = version;
        return out;
    }

    test_loop loop;
    mesh_settings settings;
    platform_port port;
    writing_store store;
    std::vector<instance_id> probed;
    std::string id = "i1";
    std::int64_t heartbeats = 0;
    std::int64_t startedAt = 5;
    bool isDraining = false;
    std::unique_ptr<http_client> client;
    int status = 0;
    mesh_directory directory { loop.base(), settings };
    gate_service gate { loop.base(), settings, port,
        { [](key_number) { return key_access::refuse; }, [] { return std::int64_t { 0 }; },
            [] { return std::optional<table_statements>(); }, [](const backend_question&) {} } };
    ownership keys { loop.base(), settings, store, { "ranges", "s" },
        { boot_clock::now, [] { return std::vector<owner_candidate>(); },
            [](const range_map& map, fencing_token, time_point) { return map; }, [] {}, [] {}, [] { return true; },
            [](const std::set<life_name>&) {}, [](const life_name&) { return true; } } };
    announcement_service announcements { loop.base(), settings, port, gate, keys,
        { [] { return false; }, [this] { registry.publish(); },
            [this](const std::string& id) { return registry.isOfOtherNode(id); } } };
    member_registry registry { loop.base(), settings, store, directory, gate, keys, announcements,
        [this](const instance_id& node) { probed.push_back(node); } };
    std::unique_ptr<http_server> server;
};

} // namespace heatherdrift
