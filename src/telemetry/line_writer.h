#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace heatherdrift {

/// Writes lines to a descriptor without ever waiting for its reader. Lines that find no room are dropped and counted;
/// the next line that is written says how many. Not for several threads.
class line_writer {
public:
    /// Makes the descriptor non-blocking.
    line_writer(int descriptor, std::size_t mostBufferedBytes);

    void write(std::string_view line);
    std::uint64_t droppedLines() const { return m_dropped; }

private:
    void flush();

    int m_descriptor;
    std::size_t m_mostBufferedBytes;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
    bool m_isClosed = false;
};

} // namespace heatherdrift
