#pragma once

#include "control/control_node.h"

#include <optional>

namespace heatherdrift {

/// A node with one pool "a" of 4 partitions, two members and a hot key, at configuration version 7.
class fake_control_node : public control_node {
public:
    fake_control_node()
    {
        const auto parsed = parseConfiguration(json::parse(R"({
            "pools": [{ "name": "a", "members": {}, "partitions": 4 }],
            "selectors": [{ "name": "s", "requests": {}, "pool": "a" }],
            "instance_labels": { "a-2": { "drain": "true" } } })"));
        current = parsed.value();
        current.version = 7;
        for (const char* id : { "a-1", "a-2" }) {
            versioned_member member;
            member.version = 3;
            member.row.self = { id, 2 };
            member.row.state = member_state::active;
            member.row.admin = { "127.0.0.1", 1000 };
            rows.push_back(member);
        }
        publish();
    }

    void publish()
    {
        page_row page;
        page.pool = "a";
        page.entries = std::vector<page_entry>(4, { { "a-1", 2 }, 5, {} });
        page.entries[3] = {};
        page_row hot;
        hot.pool = "a";
        hot.number = hotPageNumber;
        hot.entries = { { { "a-2", 2 }, 6, {} } };
        hot.hotKeys = { "hot" };
        const std::vector<versioned_page> pages { { 1, page }, { 1, hot } };
        routing_snapshot next;
        next.configuration = std::make_shared<configuration>(current);
        next.partitions = next.partitions.with(pages);
        view = std::make_shared<routing_snapshot>(next);
    }

    void start() override { }
    void tick() override { }
    void onRequestTask(const to_control_task&) override { }
    void onAnnouncement(const backend_description& backend) override { announced = backend; }
    void drain() override { ++drains; }
    void applyConfiguration(
        configuration next, std::int64_t baseVersion, std::function<void(result<std::int64_t>)> done) override
    {
        applied = next;
        base = baseVersion;
        pending = std::move(done);
    }
    void readConfiguration(std::int64_t version, std::function<void(result<configuration>)> done) override
    {
        if (version != 6)
            return done(notRun(error_code::not_found, "there is no such version"));
        auto old = current;
        old.version = 6;
        done(old);
    }
    result<void> declareLost(const instance_id& id) override
    {
        if (id != "a-2")
            return notRun(error_code::not_found, "no other member is named " + id);
        lost = id;
        return outcome::success();
    }
    node_status status() const override
    {
        node_status status;
        status.self = { "a-1", 2 };
        status.hasLease = true;
        status.leaseRemaining = std::chrono::milliseconds(900);
        status.witnesses = { { "a-2", 2 } };
        status.configurationVersion = 7;
        return status;
    }
    routing_snapshot_ptr snapshot() const override { return view; }
    std::vector<versioned_member> members() const override { return rows; }

    /// Whether anything was asked to change.
    bool isTouched() const { return applied || announced || !lost.empty() || drains > 0; }

    configuration current;
    routing_snapshot_ptr view;
    std::vector<versioned_member> rows;
    std::optional<backend_description> announced;
    std::optional<configuration> applied;
    std::int64_t base = -1;
    std::function<void(result<std::int64_t>)> pending;
    instance_id lost;
    int drains = 0;
};

} // namespace heatherdrift
