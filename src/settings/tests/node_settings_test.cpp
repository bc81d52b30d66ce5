#include "base/tests/field_table.h"
#include "settings/node_settings.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <unistd.h>

namespace heatherdrift {
namespace {

    const std::string sourceDirectory = HEATHERDRIFT_SOURCE_DIR;

    json smallestDocument()
    {
        return json::parse(R"({"instance_id": "records-1", "availability_zone": "a", "region": "r",
            "listeners": {"entry": "127.0.0.1:1", "forward": "127.0.0.1:2", "control": "127.0.0.1:3",
                "admin": "[::1]:4"},
            "table_service": ["127.0.0.1:5"]})");
    }

    // Guards against a node that starts with settings that nobody meant, or an error that does not say where it is.
    TEST(NodeSettings, NamesTheFieldOfEachError)
    {
        const std::string addressError = ": expected an IP address and port such as 127.0.0.1:8080";
        const std::string nameError = ": expected 1 to 63 of [a-z0-9._-], starting with a letter";
        // Merged into the valid document; null removes a field.
        const std::pair<const char*, std::string> cases[] = {
            { R"({"instance":"a"})", "instance: unknown field" },
            { R"({"instance_id":null})", "instance_id: missing" },
            { R"({"instance_id":7})", "instance_id: expected a string" },
            { R"({"instance_id":"a#1"})", "instance_id" + nameError },
            { R"({"availability_zone":""})", "availability_zone" + nameError },
            { R"({"region":"R"})", "region" + nameError },
            { R"({"listeners":[]})", "listeners: expected an object" },
            { R"({"listeners":{"entry":null}})", "listeners.entry: missing" },
            { R"({"listeners":{"entry":"localhost:1"}})", "listeners.entry" + addressError },
            { R"({"listeners":{"entry":"127.0.0.1:70000"}})", "listeners.entry" + addressError },
            { R"({"listeners":{"entry":"127.0.0.1:0"}})", "listeners.entry" + addressError },
            { R"({"listeners":{"metrics":"127.0.0.1:9"}})", "listeners.metrics: unknown field" },
            { R"({"listeners":{"entry":"0.0.0.0:1"}})", "listeners.entry: 0.0.0.0 is not the address of one machine" },
            { R"({"listeners":{"entry":"[0::0]:1"}})", "listeners.entry: :: is not the address of one machine" },
            { R"({"listeners":{"control":"127.0.0.1:1"}})",
                "listeners.control: 127.0.0.1:1 is already the address of listeners.entry" },
            { R"({"table_service":["127.0.0.1:5","[0:0::1]:4"]})",
                "table_service[1]: [::1]:4 is already the address of listeners.admin" },
            { R"({"object_store":"127.0.0.1:5"})",
                "object_store: 127.0.0.1:5 is already the address of table_service[0]" },
            { R"({"object_store":5})", "object_store: expected a string" },
            { R"({"table_service":[]})", "table_service: expected 1 to 16 addresses" },
            { R"({"table_service":"127.0.0.1:5"})", "table_service: expected an array" },
            { R"({"table_service":["127.0.0.1:5",6]})", "table_service[1]" + addressError },
            { R"({"trace":{"sampled_share":1}})", "trace.file: missing" },
            { R"({"trace":{"file":""}})", "trace.file: expected the path of a file" },
            { R"({"trace":{"file":"a","sampled_share":2}})",
                "trace.sampled_share: expected a number from 0.000000 to 1.000000" },
            { R"({"log_level":"debug"})", "log_level: expected one of info, warning, error" },
            { R"({"lease":{"ttl_ms":60001}})", "lease.ttl_ms: expected an integer from 150 to 60000" },
            { R"({"lease":{"ttl_ms":1499}})", "lease.renewal_interval_ms: more than a third of ttl_ms" },
            { R"({"lease":{"silence_limit_ms":999}})", "lease.silence_limit_ms: less than twice renewal_interval_ms" },
            { R"({"lease":{"silence_limit_ms":1501}})", "lease.silence_limit_ms: more than ttl_ms" },
            { R"({"lease":{"stale_configuration_limit_ms":999}})",
                "lease.stale_configuration_limit_ms: less than twice renewal_interval_ms" },
            { R"({"requests":{"maximum_body_bytes":-1}})",
                "requests.maximum_body_bytes: expected an integer from 0 to 67108864" },
            { R"({"requests":{"stream_buffer_bytes":16383}})",
                "requests.stream_buffer_bytes: less than maximum_header_bytes" },
            { R"({"requests":{"maximum_exchanges":4097}})",
                "requests.maximum_exchanges: times stream_buffer_bytes is more than 1073741824 bytes" },
            { R"({"drain_grace_ms":"5s"})", "drain_grace_ms: expected an integer" },
        };
        for (const auto& [patch, message] : cases) {
            auto document = smallestDocument();
            document.merge_patch(json::parse(patch));
            const auto settings = parseNodeSettings(document);
            ASSERT_TRUE(settings.has_error()) << patch;
            EXPECT_EQ(settings.error(), notRun(error_code::invalid_settings, message));
        }
    }

    // Guards against a field that the parser reads into the wrong place or drops.
    RC_GTEST_PROP(NodeSettings, ParseInvertsToJson, ())
    {
        auto settings = parseNodeSettings(smallestDocument()).value();
        const auto renewal = *rc::gen::inRange(50, 5000);
        const auto milliseconds
            = [](int least, int most) { return std::chrono::milliseconds(*rc::gen::inRange(least, most + 1)); };
        settings.lease.renewalInterval = std::chrono::milliseconds(renewal);
        settings.lease.timeToLive = milliseconds(3 * renewal, 60000);
        settings.lease.silenceLimit = milliseconds(2 * renewal, 3 * renewal);
        settings.lease.staleConfigurationLimit = milliseconds(2 * renewal, 60000);
        settings.drainGrace = milliseconds(0, 60000);
        settings.requests.maximumBodyBytes = *rc::gen::inRange(0u, 1u << 26);
        settings.requests.maximumHeaderBytes = *rc::gen::inRange(1u << 10, 1u << 20);
        settings.requests.streamBufferBytes = *rc::gen::inRange(1u << 20, 1u << 24);
        settings.requests.maximumExchanges = *rc::gen::inRange(1u, 64u);
        settings.leastLogLevel = *rc::gen::element(log_level::info, log_level::warning, log_level::error);
        if (*rc::gen::arbitrary<bool>())
            settings.objectStore = endpoint { "10.0.0.1", *rc::gen::inRange<std::uint16_t>(1, 65535) };
        if (*rc::gen::arbitrary<bool>())
            settings.trace = trace_settings { "spans", *rc::gen::inRange(0, 1001) / 1000.0 };
        RC_ASSERT(parseNodeSettings(toJson(settings)).value() == settings);
    }

    // Guards against a start failure that does not say which file is wrong, or a file that is read without bound.
    TEST(NodeSettings, NamesTheFileOfEachError)
    {
        const auto prefix = testing::TempDir() + "heatherdrift-" + std::to_string(getpid());
        const auto write = [&](const std::string& name, const std::string& text) {
            std::ofstream(prefix + name) << text;
            return prefix + name;
        };
        const auto large = write("-large", std::string(maximumSettingsBytes + 1, ' '));
        const auto cut = write("-cut", "{\"region\":");
        const auto empty = write("-empty", "{}");
        const std::pair<std::string, std::string> cases[] = {
            { prefix + "-none", ": cannot be opened: No such file or directory" },
            { testing::TempDir(), ": cannot be read: Is a directory" },
            { large, ": larger than 65536 bytes" },
            { cut, ": not valid JSON at byte 11" },
            { empty, ": instance_id: missing" },
        };
        for (const auto& [path, message] : cases)
            EXPECT_EQ(loadNodeSettings(path).error(), notRun(error_code::invalid_settings, path + message));
        for (const auto& path : { large, cut, empty })
            unlink(path.c_str());
    }

    // Guards against a page that lacks a field or states another default, and against an example that is rejected.
    TEST(NodeSettings, PageListsEveryField)
    {
        const auto example = loadNodeSettings(sourceDirectory + "/examples/indus/node-settings.json");
        ASSERT_TRUE(example.has_value()) << example.error().message;
        auto smallest = smallestDocument();
        smallest["trace"] = { { "file", "spans" } };
        EXPECT_EQ(documentedDefaults(sourceDirectory + "/docs/settings.md"),
            actualDefaults(fieldsOf(smallest), fieldsOf(toJson(parseNodeSettings(smallest).value())),
                fieldsOf(toJson(example.value()))));
    }

} // namespace
} // namespace heatherdrift
