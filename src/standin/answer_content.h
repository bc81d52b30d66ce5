#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace heatherdrift {

/// Body of the backend server stand-in's answer to one request: lines with the request's id, its key and a checksum
/// over id, key and request body, then filler made of the checksum. A client that knows its request can check each
/// byte, so that it notices an answer to another request.
class answer_content {
public:
    /// The size is at least that of the lines.
    answer_content(std::string_view id, std::string_view key, std::string_view requestBody, std::size_t size);

    std::size_t size() const { return m_size; }
    /// At most `count` bytes from the offset on.
    std::string part(std::size_t offset, std::size_t count) const;
    /// Whether the bytes are the part at the offset.
    bool matches(std::size_t offset, std::string_view bytes) const;

private:
    std::string m_lines;
    std::string m_filler; ///< Repeated.
    std::size_t m_size;
};

} // namespace heatherdrift
