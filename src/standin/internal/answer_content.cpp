#include "standin/answer_content.h"

#include "base/hash.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>

namespace heatherdrift {

answer_content::answer_content(
    std::string_view id, std::string_view key, std::string_view requestBody, std::size_t size)
{
    char checksum[17] {};
    std::snprintf(checksum, sizeof(checksum), "%016" PRIx64, hashBytes(requestBody, hashBytes(key, hashBytes(id))));
    m_lines = "id: " + std::string(id) + "\nkey: " + std::string(key) + "\nchecksum: " + checksum + "\n";
    m_filler = std::string(checksum) + "\n";
    m_size = std::max(size, m_lines.size());
}

std::string answer_content::part(std::size_t offset, std::size_t count) const
{
    std::string bytes;
    const auto end = std::min(m_size, offset + count);
    if (offset < m_lines.size())
        bytes = m_lines.substr(offset, end - offset);
    while (offset + bytes.size() < end) {
        const auto start = (offset + bytes.size() - m_lines.size()) % m_filler.size();
        bytes.append(m_filler, start, end - offset - bytes.size());
    }
    return bytes;
}

bool answer_content::matches(std::size_t offset, std::string_view bytes) const
{
    return part(offset, bytes.size()) == bytes;
}

} // namespace heatherdrift
