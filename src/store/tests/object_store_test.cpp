#include "http/tests/test_loop.h"
#include "standin/store_service.h"
#include "store/object_store.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    class object_store_test : public testing::Test {
    protected:
        object_store_test()
        {
            service = startObjectService(loop.base(), {}).value();
            http_object_store_settings settings;
            settings.servers = { service->address() };
            settings.objectBytes = 8 << 20;
            store = makeHttpObjectStore(loop.base(), settings);
        }

        template <typename Value>
        result<Value> wait(const std::function<void(std::function<void(result<Value>)>)>& call)
        {
            std::optional<result<Value>> outcome;
            call([&](result<Value> value) { outcome = std::move(value); });
            EXPECT_FALSE(outcome.has_value());
            loop.runUntil([&] { return outcome.has_value(); });
            return *outcome;
        }

        result<void> put(const std::string& name, const std::string& content)
        {
            return wait<void>([&](auto done) { store->put(name, content, test_loop::farDeadline(), done); });
        }

        result<std::optional<std::string>> get(const std::string& name)
        {
            return wait<std::optional<std::string>>(
                [&](auto done) { store->get(name, test_loop::farDeadline(), done); });
        }

        test_loop loop;
        std::unique_ptr<store_service> service;
        std::unique_ptr<object_store> store;
    };

    TEST_F(object_store_test, KeepsLargeBinaryObjects)
    {
        std::string content(5 << 20, '\0');
        for (std::size_t i = 0; i < content.size(); ++i)
            content[i] = static_cast<char>(i * 7);
        EXPECT_EQ(get("a/b c").value(), std::nullopt);
        EXPECT_TRUE(put("a/b c", content).has_value());
        EXPECT_EQ(get("a/b c").value(), content);
        EXPECT_TRUE(put("a/b c", "").has_value());
        EXPECT_EQ(get("a/b c").value(), "");
        EXPECT_EQ(put("large", std::string(9 << 20, 'x')).error().code, error_code::too_large);
    }

    // Guards against one version of a document read as another, and against damage that goes unnoticed.
    TEST_F(object_store_test, VersionsAreFoundByTheirHash)
    {
        const auto getVersion = [this](const std::string& hash) {
            return wait<std::optional<std::string>>(
                [&](auto done) { heatherdrift::getVersion(*store, "doc", hash, test_loop::farDeadline(), done); });
        };
        std::vector<std::string> hashes;
        for (const auto* content : { "one", "two" }) {
            const auto hash = wait<std::string>(
                [&](auto done) { putVersion(*store, "doc", content, test_loop::farDeadline(), done); });
            hashes.push_back(hash.value());
        }
        EXPECT_EQ(getVersion(hashes[0]).value(), "one");
        EXPECT_EQ(getVersion(hashes[1]).value(), "two");
        EXPECT_EQ(getVersion(contentHash("three")).value(), std::nullopt);
        EXPECT_TRUE(put("doc/" + hashes[0], "0ne").has_value());
        EXPECT_EQ(getVersion(hashes[0]).error().code, error_code::internal);
    }

    struct object_fault_case {
        const char* faults;
        verdict expected; ///< Of a put.
    };

    TEST_F(object_store_test, FaultsHaveTheirVerdict)
    {
        const object_fault_case cases[] = {
            { R"({"rules":[{"reject_share":1}]})", verdict::not_run },
            { R"({"rules":[{"lose_answers":1}]})", verdict::may_have_run },
            { R"({"outage":"refuse"})", verdict::not_run },
        };
        for (const auto& entry : cases) {
            loop.putFaults(service->controlAddress(), entry.faults);
            loop.runReady();
            const auto outcome = put("a", "x");
            ASSERT_TRUE(outcome.has_error()) << entry.faults;
            EXPECT_EQ(outcome.error().code, error_code::store_unavailable);
            EXPECT_EQ(outcome.error().outcome, entry.expected) << entry.faults;
            loop.putFaults(service->controlAddress(), "{}");
        }
    }

    // Guards against a missing service taken for a missing object.
    TEST_F(object_store_test, OnlyTheStoreCanSayThatAnObjectIsAbsent)
    {
        const auto other = loop.listen([](const http_exchange_ptr& exchange) {
            exchange->respond({ { 404, {} }, "<html>not found</html>" });
        });
        http_object_store_settings settings;
        settings.servers = { other->address() };
        store = makeHttpObjectStore(loop.base(), settings);
        EXPECT_EQ(get("a").error().code, error_code::store_unavailable);
    }

} // namespace
} // namespace heatherdrift
