#include "load/answer_check.h"

#include "base/hash.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>

namespace heatherdrift {

namespace {

    /// Longer lines are not those of an answer: keys are at most 1 KiB.
    constexpr std::size_t mostLineBytes = 4096;

    std::string checksumOf(std::string_view id, std::string_view key, std::string_view body)
    {
        char text[17] {};
        std::snprintf(text, sizeof(text), "%016" PRIx64, hashBytes(body, hashBytes(key, hashBytes(id))));
        return text;
    }

} // namespace

std::string_view toString(answer_finding finding)
{
    switch (finding) {
    case answer_finding::right:
        return "right";
    case answer_finding::wrong:
        return "wrong";
    case answer_finding::foreign:
        return "foreign";
    case answer_finding::truncated:
        return "truncated";
    case answer_finding::duplicate:
        return "duplicate";
    }
    return "";
}

answer_check::answer_check(asked_answer asked)
    : m_asked(std::move(asked))
{
}

void answer_check::add(std::string_view part)
{
    m_size += part.size();
    if (m_finding != answer_finding::right)
        return;
    if (!m_filler.empty())
        return addFiller(part);
    m_head.append(part);
    readLines();
    if (m_filler.empty() && m_head.size() > mostLineBytes)
        m_finding = answer_finding::wrong;
}

bool answer_check::readLine(std::string_view name, std::string& value, std::size_t& position) const
{
    const auto end = m_head.find('\n', position);
    if (end == std::string::npos)
        return false;
    const auto line = std::string_view(m_head).substr(position, end - position);
    if (!line.starts_with(name)) {
        position = std::string::npos;
        return false;
    }
    value = line.substr(name.size());
    position = end + 1;
    return true;
}

void answer_check::readLines()
{
    std::size_t position = 0;
    std::string key;
    std::string checksum;
    const bool isComplete = readLine("id: ", m_id, position) && readLine("key: ", key, position)
        && readLine("checksum: ", checksum, position);
    if (position == std::string::npos)
        m_finding = answer_finding::wrong;
    if (!isComplete)
        return;
    m_lineBytes = position;
    m_filler = checksum + "\n";
    if (key != m_asked.key || !isOwnId())
        m_finding = answer_finding::foreign;
    else if (checksum != checksumOf(m_id, key, m_asked.body))
        m_finding = answer_finding::wrong;
    else
        addFiller(std::string_view(m_head).substr(position));
}

bool answer_check::isOwnId() const
{
    return m_asked.mayRepeat || m_id == m_asked.requestId || m_id.starts_with(m_asked.requestId + ".");
}

void answer_check::addFiller(std::string_view part)
{
    auto position = (m_size - part.size() - m_lineBytes) % m_filler.size();
    while (!part.empty()) {
        const auto count = std::min(m_filler.size() - position, part.size());
        if (part.substr(0, count) != std::string_view(m_filler).substr(position, count)) {
            m_finding = answer_finding::wrong;
            return;
        }
        part.remove_prefix(count);
        position = 0;
    }
}

answer_finding answer_check::finish() const
{
    if (m_finding != answer_finding::right)
        return m_finding;
    if (m_filler.empty() || m_size < m_asked.bytes)
        return answer_finding::truncated;
    return m_size > std::max(m_asked.bytes, m_lineBytes) ? answer_finding::wrong : answer_finding::right;
}

bool answer_register::add(std::string_view id, std::uint64_t request)
{
    return m_requestByAnswer.try_emplace(hashBytes(id), request).first->second == request;
}

} // namespace heatherdrift
