#include "store/resolving_store.h"
#include "store/tests/fake_table_store.h"
#include "store/tests/virtual_time.h"

#include <array>
#include <gtest/gtest.h>
#include <iostream>
#include <random>
#include <rapidcheck/gtest.h>

namespace heatherdrift {

namespace {

    /// The histories are divided into parts that run side by side, each with a seed of its own.
    constexpr int parts = 4;
    constexpr int historiesPerPart = 5000;
    constexpr int nodes = 3;
    constexpr int rows = 3;
    constexpr int mostWrites = 16; ///< In one history.
    constexpr int mostSteps = 200000;

    /// One write of a history; the masks name rows.
    struct planned_write {
        int node;
        unsigned writeMask;
        unsigned checkMask;
        int delayMs; ///< After the write before it in the plan.
        int wantedMs;
    };

    std::ostream& operator<<(std::ostream& out, const planned_write& write)
    {
        return out << "{node " << write.node << ", writes " << write.writeMask << ", checks " << write.checkMask
                   << ", after " << write.delayMs << " ms, wanted for " << write.wantedMs << " ms}";
    }

    rc::Gen<planned_write> arbitraryWrite()
    {
        return rc::gen::build<planned_write>(rc::gen::set(&planned_write::node, rc::gen::inRange(0, nodes)),
            rc::gen::set(&planned_write::writeMask, rc::gen::inRange(1u, 1u << rows)),
            rc::gen::set(&planned_write::checkMask, rc::gen::inRange(0u, 1u << rows)),
            rc::gen::set(&planned_write::delayMs, rc::gen::inRange(0, 1500)),
            rc::gen::set(&planned_write::wantedMs, rc::gen::inRange(0, 6000)));
    }

    /// Several nodes write the same rows through one faulty store; checks every outcome against what took effect.
    class history {
    public:
        explicit history(std::uint64_t seed)
            : m_random(seed)
            , m_faultShare(draw())
            , m_readFaultShare(draw() * 0.5)
        {
            m_fake.chooseLatency = [this] { return std::chrono::milliseconds(static_cast<int>(draw() * 200)); };
            m_fake.failsRead = [this](const row_key&) { return !isCalm() && draw() < m_readFaultShare; };
            m_fake.chooseFault = [this](const store_transaction&) { return chooseFault(); };
            for (int i = 0; i < nodes; ++i) {
                resolving_store_options options;
                options.now = m_time.clock();
                options.after = m_time.delays();
                options.random = [this] { return draw(); };
                m_nodes[static_cast<std::size_t>(i)] = std::make_unique<resolving_store>(m_fake, options);
            }
        }

        /// Returns an empty text, or what went wrong.
        std::string run(const std::vector<planned_write>& plan)
        {
            duration start {};
            for (std::size_t i = 0; i < plan.size(); ++i) {
                start += std::chrono::milliseconds(plan[i].delayMs);
                m_time.after(start, [this, &plan, i] { begin(plan[i], "op" + std::to_string(i)); });
            }
            m_calmFrom = m_time.now() + start + std::chrono::seconds(5);
            for (int i = 0; m_time.step(); ++i) {
                if (i == mostSteps)
                    return "the history does not end";
            }
            check();
            return m_error;
        }

        void count(std::map<std::string, int>& outcomes) const
        {
            for (const auto& [id, report] : m_reported)
                ++outcomes[report.outcome];
        }

    private:
        struct reported {
            const char* outcome;
            int effectsThen;
        };

        double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
        bool isCalm() const { return m_time.now() >= m_calmFrom; }

        commit_fault chooseFault()
        {
            if (isCalm() || draw() > m_faultShare)
                return commit_fault::none;
            constexpr std::array kinds { commit_fault::refuse, commit_fault::lose_before, commit_fault::lose_after,
                commit_fault::lose_and_delay };
            m_fake.lateEffect = std::chrono::milliseconds(static_cast<int>(draw() * draw() * 8000));
            return kinds[static_cast<std::size_t>(draw() * kinds.size())];
        }

        void begin(const planned_write& plan, const std::string& id)
        {
            store_transaction transaction { id, {}, {} };
            for (unsigned i = 0; i < rows; ++i) {
                const row_key key { "t", std::to_string(i) };
                const auto row = m_fake.find(key);
                const auto version = row ? row->version : 0;
                if (plan.writeMask & (1u << i))
                    transaction.writes.push_back({ key, version, R"({"operation_id":")" + id + R"("})" });
                else if (plan.checkMask & (1u << i))
                    transaction.checks.push_back({ key, version });
            }
            ++m_begun;
            m_nodes[static_cast<std::size_t>(plan.node)]->commit(transaction,
                m_time.now() + std::chrono::milliseconds(plan.wantedMs),
                [this, id](const result<commit_receipt>& outcome) { report(id, outcome); });
        }

        void report(const std::string& id, const result<commit_receipt>& outcome)
        {
            const char* name = "unknown";
            if (outcome.has_value())
                name = "applied";
            else if (outcome.error().outcome == verdict::not_run)
                name = "not applied";
            if (!m_reported.emplace(id, reported { name, m_fake.effects[id] }).second)
                m_error = id + " has two outcomes";
        }

        void check()
        {
            if (m_reported.size() != m_begun)
                m_error = "a write has no outcome";
            for (const auto& [id, report] : m_reported) {
                const int effects = m_fake.effects[id];
                const std::string name = report.outcome;
                const bool isRight = effects == report.effectsThen && effects <= 1
                    && (name == "unknown" || effects == (name == "applied" ? 1 : 0));
                if (!isRight)
                    m_error = id + " reported " + name + ", took effect " + std::to_string(report.effectsThen)
                        + " times by then and " + std::to_string(effects) + " times in the end";
            }
        }

        std::mt19937_64 m_random;
        double m_faultShare;
        double m_readFaultShare;
        virtual_time m_time;
        fake_table_store m_fake { m_time.delays() };
        std::array<std::unique_ptr<resolving_store>, nodes> m_nodes;
        time_point m_calmFrom;
        std::map<std::string, reported> m_reported;
        std::size_t m_begun = 0;
        std::string m_error;
    };

    class resolving_store_property : public testing::TestWithParam<int> { };

    // Guards against a wrong outcome, an outcome before the write is settled, a write applied twice and a write without
    // an outcome, under random lost answers, late effects, slow and failing reads and competing writers.
    TEST_P(resolving_store_property, OutcomesAreTrue)
    {
        int run = 0;
        std::map<std::string, int> counts;
        auto params = rc::detail::configuration().testParams;
        params.maxSuccess = historiesPerPart;
        params.seed += static_cast<std::uint64_t>(GetParam());
        const auto property = rc::detail::toProperty([&] {
            const auto plan
                = *rc::gen::resize(mostWrites, rc::gen::container<std::vector<planned_write>>(arbitraryWrite()));
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            ++run;
            history checked(seed);
            const auto error = checked.run(plan);
            checked.count(counts);
            if (!error.empty())
                RC_FAIL(error);
        });
        rc::detail::TestMetadata metadata { "resolving_store_property", "outcomes are true" };
        const auto outcome = rc::detail::checkProperty(property, metadata, params);
        std::ostringstream text;
        rc::detail::printResultMessage(outcome, text);
        EXPECT_TRUE(outcome.is<rc::detail::SuccessResult>()) << text.str() << " seed " << params.seed;
        EXPECT_GE(run, historiesPerPart);
        // A resolver that never decides would pass the checks above.
        EXPECT_GT(counts["applied"], historiesPerPart);
        EXPECT_GT(counts["not applied"], historiesPerPart);
        std::cout << "seed " << params.seed << ", " << run << " histories, outcomes: applied " << counts["applied"]
                  << ", not applied " << counts["not applied"] << ", unknown " << counts["unknown"] << std::endl;
    }

    INSTANTIATE_TEST_SUITE_P(Parts, resolving_store_property, testing::Range(0, parts));

} // namespace
} // namespace heatherdrift
