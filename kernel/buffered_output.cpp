#include "kernel/buffered_output.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace reedtrail {

void buffered_output::add(std::string_view line)
{
    if (m_bytes.size() + line.size() + 1 > m_capacity) {
        ++m_dropped;
        ++m_droppedUntold;
        return;
    }
    m_bytes.append(line).append("\n");
}

void buffered_output::flush()
{
    std::size_t written = 0;
    while (written < m_bytes.size()) {
        pollfd ready{ m_descriptor, POLLOUT, 0 };
        if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
            break;
        }
        // A pipe that is ready takes PIPE_BUF bytes at least, so such a write does not wait.
        const std::size_t part = std::min<std::size_t>(PIPE_BUF, m_bytes.size() - written);
        const ssize_t count = ::write(m_descriptor, m_bytes.data() + written, part);
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    m_bytes.erase(0, written);
    if (m_droppedUntold > 0 && m_bytes.empty()) {
        m_bytes = "warning log-lines-dropped count=" + std::to_string(m_droppedUntold) + "\n";
        m_droppedUntold = 0;
    }
}

} // namespace reedtrail
