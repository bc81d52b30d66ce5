#include "load/answer_check.h"

#include "base/hash.h"

#include <cinttypes>
#include <cstdio>
#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    std::string answerTo(const std::string& id, const std::string& key, const std::string& body, std::size_t size)
    {
        char checksum[17] {};
        std::snprintf(checksum, sizeof(checksum), "%016" PRIx64, hashBytes(body, hashBytes(key, hashBytes(id))));
        auto text = "id: " + id + "\nkey: " + key + "\nchecksum: " + checksum + "\n";
        for (std::size_t i = 0; text.size() < size; ++i)
            text += i % 17 == 16 ? '\n' : checksum[i % 17];
        return text;
    }

    answer_finding findingOf(const asked_answer& asked, const std::string& answer, std::size_t partBytes)
    {
        answer_check check(asked);
        for (std::size_t i = 0; i < answer.size(); i += partBytes)
            check.add(std::string_view(answer).substr(i, partBytes));
        return check.finish();
    }

    struct answer_case {
        const char* what;
        std::string answer;
        answer_finding expected;
    };

    // Guards against a check that accepts an answer to another request, a damaged or a short one, however the answer
    // is cut into parts.
    TEST(AnswerCheck, FindsEachKindOfBadAnswer)
    {
        const asked_answer asked { "patient-7", "request 5", 400, "media-1#3-12" };
        const auto right = answerTo("media-1#3-12.1", "patient-7", "request 5", 400);
        auto damagedLines = right;
        damagedLines[2] = '?';
        auto damagedFiller = right;
        damagedFiller[399] = '?';
        auto lostByte = right;
        lostByte.erase(200, 1);
        auto otherChecksum = right;
        otherChecksum[right.find("checksum: ") + 10] ^= 1;
        const answer_case cases[] = {
            { "right", right, answer_finding::right },
            { "id without a suffix", answerTo("media-1#3-12", "patient-7", "request 5", 400), answer_finding::right },
            { "damaged lines", damagedLines, answer_finding::wrong },
            { "damaged last byte", damagedFiller, answer_finding::wrong },
            { "lost byte", lostByte, answer_finding::wrong },
            { "other checksum", otherChecksum, answer_finding::wrong },
            { "other request body", answerTo("media-1#3-12.1", "patient-7", "request 6", 400), answer_finding::wrong },
            { "longer", answerTo("media-1#3-12.1", "patient-7", "request 5", 401), answer_finding::wrong },
            { "no lines", std::string(5000, 'x'), answer_finding::wrong },
            { "one endless line", "id: " + std::string(5000, 'x'), answer_finding::wrong },
            { "other key", answerTo("media-1#3-12.1", "patient-8", "request 5", 400), answer_finding::foreign },
            { "other id", answerTo("media-1#3-13.1", "patient-7", "request 5", 400), answer_finding::foreign },
            { "id that only begins alike", answerTo("media-1#3-120.1", "patient-7", "request 5", 400),
                answer_finding::foreign },
            { "one byte short", right.substr(0, 399), answer_finding::truncated },
            { "within the lines", right.substr(0, 10), answer_finding::truncated },
            { "empty", "", answer_finding::truncated },
        };
        for (const auto& entry : cases) {
            for (const std::size_t partBytes : { 1, 7, 17, 4096 })
                EXPECT_EQ(toString(findingOf(asked, entry.answer, partBytes)), toString(entry.expected))
                    << entry.what << " in parts of " << partBytes;
        }
    }

    // Guards against a repeated answer to a once call being taken for a foreign one, and against accepting any answer
    // as a repeated one.
    TEST(AnswerCheck, AcceptsARepeatedAnswerOnlyToTheSameRequest)
    {
        asked_answer asked { "order-1", "request 5", 200, "stock-2#1-9" };
        const auto repeated = answerTo("stock-1#1-4.1", "order-1", "request 5", 200);
        EXPECT_EQ(findingOf(asked, repeated, 4096), answer_finding::foreign);
        asked.mayRepeat = true;
        EXPECT_EQ(findingOf(asked, repeated, 4096), answer_finding::right);
        EXPECT_EQ(
            findingOf(asked, answerTo("stock-1#1-4.1", "order-1", "request 6", 200), 4096), answer_finding::wrong);
    }

    // Guards against one answer being counted for two requests.
    TEST(AnswerRegister, NoticesAnAnswerThatWasReceivedForAnotherRequest)
    {
        answer_register answers;
        EXPECT_TRUE(answers.add("a.1", 1));
        EXPECT_TRUE(answers.add("a.2", 2));
        EXPECT_TRUE(answers.add("a.1", 1));
        EXPECT_FALSE(answers.add("a.1", 2));
    }

} // namespace
} // namespace heatherdrift
