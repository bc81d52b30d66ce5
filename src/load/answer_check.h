#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace heatherdrift {

/// What the body of an answer must be.
struct asked_answer {
    std::string key;
    std::string body; ///< Of the request.
    std::size_t bytes = 0; ///< Asked size; the lines at the start of the answer may need more.
    std::string requestId; ///< From the head of the answer. Ids of attempts have a suffix after a dot.
    bool mayRepeat = false; ///< A repeated answer to a once call carries the id of an earlier attempt.
};

enum class answer_finding {
    right,
    wrong, ///< Bytes that are not those of the answer.
    foreign, ///< The answer to another request.
    truncated, ///< Whole as an HTTP message, but shorter than asked.
    duplicate, ///< The same answer was received for another request.
};

std::string_view toString(answer_finding);

/// Checks the body of an answer of the backend server stand-in, part by part. The stand-in's answer starts with the
/// lines id, key and checksum (over id, key and request body); the checksum repeated line by line fills the rest.
class answer_check {
public:
    explicit answer_check(asked_answer);

    void add(std::string_view part);
    /// The body is complete.
    answer_finding finish() const;
    /// The id in the body; empty until its line is complete.
    const std::string& id() const { return m_id; }

private:
    void readLines();
    bool readLine(std::string_view name, std::string& value, std::size_t& position) const;
    void addFiller(std::string_view part);
    bool isOwnId() const;

    asked_answer m_asked;
    std::string m_head;
    std::string m_id;
    std::string m_filler; ///< Empty until the lines are complete.
    std::size_t m_size = 0;
    std::size_t m_lineBytes = 0;
    answer_finding m_finding = answer_finding::right;
};

/// Remembers which request each answer was received for.
class answer_register {
public:
    /// False if the answer's id was added for another request.
    bool add(std::string_view id, std::uint64_t request);

private:
    std::unordered_map<std::uint64_t, std::uint64_t> m_requestByAnswer; ///< By the hash of the id.
};

} // namespace heatherdrift
