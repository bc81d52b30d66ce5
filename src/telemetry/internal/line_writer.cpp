#include "telemetry/line_writer.h"

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace heatherdrift {

line_writer::line_writer(int descriptor, std::size_t mostBufferedBytes)
    : m_descriptor(descriptor)
    , m_mostBufferedBytes(mostBufferedBytes)
{
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags < 0 || fcntl(descriptor, F_SETFL, flags | O_NONBLOCK) < 0)
        m_isClosed = true;
}

void line_writer::write(std::string_view line)
{
    flush();
    if (m_isClosed || m_buffer.size() + line.size() + 1 > m_mostBufferedBytes) {
        ++m_dropped;
        return;
    }
    if (m_dropped != m_reportedDropped) {
        m_buffer.append("{\"event\":\"log_lines_dropped\",\"total\":").append(std::to_string(m_dropped)).append("}\n");
        m_reportedDropped = m_dropped;
    }
    m_buffer.append(line).append("\n");
    flush();
}

void line_writer::flush()
{
    while (!m_buffer.empty() && !m_isClosed) {
        const auto written = ::write(m_descriptor, m_buffer.data(), m_buffer.size());
        if (written > 0) {
            m_buffer.erase(0, static_cast<std::size_t>(written));
            continue;
        }
        if (errno == EINTR)
            continue;
        // A full pipe keeps the rest for the next line; a closed one takes nothing any more.
        m_isClosed = errno != EAGAIN && errno != EWOULDBLOCK;
        return;
    }
}

} // namespace heatherdrift
