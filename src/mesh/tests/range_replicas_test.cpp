#include "mesh/internal/range_replicas.h"
#include "mesh/internal/text_delta.h"

#include "http/tests/test_loop.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    mesh_settings makeSettings()
    {
        mesh_settings settings;
        settings.node = "self";
        return settings;
    }

    // Guards against an empty map that stands for one which could not be read, as when the asked node has none yet:
    // calls for a key were refused at once instead of waiting for the map.
    TEST(RangeReplicas, MalformedMapIsNotACopy)
    {
        const auto map = range_map().assign({ 0, lastKey }, "i@1", 3);
        const std::string unreadable[] = { encodeRanges({ 0, map }), encodeDelta("5\n{}", ""), "", "[]" };
        for (const auto& text : unreadable) {
            test_loop loop;
            std::string body = text;
            int requests = 0;
            const auto server = loop.listen([&](const http_exchange_ptr& exchange) {
                ++requests;
                exchange->respond({ { 200, {} }, body });
            });
            const auto settings = makeSettings();
            mesh_directory directory(loop.base(), settings);
            const auto now = boot_clock::now();
            directory.update({ "n1", "z", server->address(), "s", "i@1", "i", 4, false }, now);
            range_replicas replicas(settings, directory);
            const range_map* copy = nullptr;
            auto askedAt = now;
            const auto ask = [&] {
                askedAt += std::chrono::seconds(1); // Further fetches start if this one times out on a slow machine.
                copy = replicas.find("s", askedAt);
                loop.runReady();
            };
            while (requests == 0)
                ask();
            // The next fetch starts after the first answer was handled.
            body = encodeRanges({ 6, map });
            while (requests == 1) {
                ask();
                ASSERT_EQ(copy, nullptr) << text;
            }
            while (!copy)
                ask();
            EXPECT_EQ(*copy, map) << text;
        }
    }

} // namespace
} // namespace heatherdrift
