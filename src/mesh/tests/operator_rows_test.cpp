#include "mesh/internal/operator_rows.h"

#include "mesh/tests/simulated_store.h"
#include "mesh/tests/test_port.h"
#include "telemetry/log_event.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using std::chrono::seconds;

    /// A node of the zone "z1" without a backend server; another node is in the zone "z2".
    class OperatorRowsTest : public testing::Test {
    protected:
        OperatorRowsTest()
        {
            settings.node = "n1";
            settings.zone = "z1";
            settings.service = "s";
            settings.backend = { "127.0.0.1", 1 };
            settings.scheduling.evacuationTime = seconds(5);
            port.configurationRow = { "op", "config" };
            port.decodeConfiguration = [](std::string_view text) -> result<route_configuration> {
                route_configuration out;
                out.version = std::stoul(std::string(text));
                return out;
            };
            mesh_member other;
            other.node = "n2";
            other.zone = "z2";
            directory.update(other, boot_clock::now());
            gate.setBackend({ "i@1", "i", 1 });
            restart();
        }

        void restart()
        {
            rows.reset();
            rows = std::make_unique<operator_rows>(operator_context { base.get(), settings, port, routes, directory,
                gate, keys, metrics, [this] { ++configurations; }, [] { return boot_clock::now(); } });
            rows->start();
        }

        void set(const std::string& key, std::optional<std::string> value)
        {
            rows->onRowChanged({ { "op", key }, ++version, std::move(value) });
        }

        void read()
        {
            rows->onTableRead();
            rows->onMembersRead();
        }

        bool isOpen(std::optional<key_number> key)
        {
            routed_request request;
            request.service = settings.service;
            request.key = key;
            request.deadline = boot_clock::now() + seconds(60);
            error_code reason = error_code::internal;
            gate.cancel(gate.execute(request, [&](const gate_answer& answer) { reason = answer.reason; }));
            return reason != error_code::draining;
        }

        bool isEvacuated(const std::string& zone) const
        {
            mesh_member member;
            member.zone = zone;
            return directory.isEvacuated(member);
        }

        event_base_handle base { event_base_new() };
        mesh_settings settings;
        platform_port port = makeTestPort();
        route_table routes;
        simulated_store_client store;
        mesh_directory directory { base.get(), settings };
        gate_service gate { base.get(), settings, port,
            gate_hooks { [](key_number) { return key_access::serve; }, [] { return std::int64_t { 0 }; },
                [] { return std::optional<table_statements>(); }, [](const backend_question&) {}, nullptr, nullptr,
                nullptr, nullptr, nullptr, [this] { ++reopened; } } };
        ownership keys { base.get(), settings, store, { "ranges", "s" },
            ownership_hooks { boot_clock::now, [] { return std::vector<owner_candidate>(); },
                [](const range_map& map, fencing_token, time_point) { return map; }, [] {}, [] {}, [] { return false; },
                [](const std::set<life_name>&) {}, [](const life_name&) { return true; } } };
        mesh_metrics metrics;
        std::unique_ptr<operator_rows> rows;
        row_version version = 0;
        int configurations = 0;
        int reopened = 0;
    };

    // Guards against an evacuation without effect, and against a gate that does not reopen.
    TEST_F(OperatorRowsTest, EvacuationOfTheOwnZoneClosesTheGateUntilItsEnd)
    {
        read();
        EXPECT_TRUE(isOpen(std::nullopt));
        set("evacuate/z1", "");
        EXPECT_FALSE(isOpen(std::nullopt));
        EXPECT_TRUE(isOpen(key_number { 1 }));
        EXPECT_TRUE(isEvacuated("z1"));
        EXPECT_NE(metrics.text().find("heatherdrift_evacuated 1"), std::string::npos);
        set("evacuate/z1", "again");
        set("evacuate/z2", "");
        EXPECT_TRUE(isOpen(key_number { 1 }));
        set("evacuate/z1", std::nullopt);
        EXPECT_TRUE(isOpen(std::nullopt));
        EXPECT_EQ(reopened, 1);
        EXPECT_TRUE(isEvacuated("z2"));
    }

    // Guards against a node that starts during an evacuation and sends requests before it knows of it, or serves its
    // keys as if the evacuation had just begun.
    TEST_F(OperatorRowsTest, GateOfANewNodeOpensOnlyWithoutAnEvacuation)
    {
        EXPECT_FALSE(isOpen(key_number { 1 }));
        set("evacuate/z1", "");
        read();
        EXPECT_FALSE(isOpen(key_number { 1 }));
        set("evacuate/z1", std::nullopt);
        EXPECT_TRUE(isOpen(key_number { 1 }));
        restart();
        EXPECT_FALSE(isOpen(std::nullopt));
        read();
        EXPECT_TRUE(isOpen(std::nullopt));
    }

    // Guards against an effect on deployments that do not follow evacuations.
    TEST_F(OperatorRowsTest, EvacuationsAreIgnoredWhenDisabled)
    {
        settings.scheduling.evacuationTime = {};
        gate.endEvacuation();
        restart();
        EXPECT_TRUE(isOpen(std::nullopt));
        set("evacuate/z1", "");
        read();
        EXPECT_TRUE(isOpen(std::nullopt));
        EXPECT_FALSE(isEvacuated("z1"));
    }

    // Guards against rows of the operator that are neither a configuration nor an evacuation and change something.
    TEST_F(OperatorRowsTest, OtherRowsAreIgnored)
    {
        read();
        set("config", "3");
        set("other", "4");
        set("xevacuate/z1", "");
        set("config", std::nullopt);
        EXPECT_EQ(routes.version(), 3u);
        EXPECT_EQ(configurations, 1);
        EXPECT_TRUE(isOpen(std::nullopt));
    }

    // Guards against an evacuation of an unknown zone that goes unnoticed, that is logged for a zone whose nodes are
    // not known yet, or that has an effect.
    TEST_F(OperatorRowsTest, EvacuationOfAnUnknownZoneIsLoggedOnce)
    {
        const auto count = [] {
            const auto recorded = recordedEvents(0);
            return std::ranges::count(recorded.events, log_event::evacuation_without_effect, &recorded_event::event);
        };
        const auto before = count();
        set("evacuate/z2", "");
        set("evacuate/nowhere", "");
        EXPECT_EQ(count(), before);
        read();
        EXPECT_EQ(count(), before + 1);
        set("evacuate/nowhere", "");
        read();
        EXPECT_EQ(count(), before + 1);
        EXPECT_TRUE(isOpen(std::nullopt));
    }

} // namespace
} // namespace heatherdrift
