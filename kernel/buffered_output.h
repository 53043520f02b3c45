/**
 * @file
 * Log lines on standard output that never hold up the thread that writes them.
 *
 * Lines gather in a bounded buffer and leave it when flush() finds the output ready. What does not fit is dropped and counted, and the count is a line of its
 * own once there is room again.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace reedtrail {

/** The buffer. */
class buffered_output
{
public:
    /** @param descriptor to write to @param capacity bytes kept at most */
    buffered_output(int descriptor, std::size_t capacity)
        : m_descriptor(descriptor)
        , m_capacity(capacity)
    {
    }
    /** Adds a line; a line feed is appended. */
    void add(std::string_view line);
    /** Writes what the output takes without waiting. */
    void flush();
    /** Returns how many lines were dropped so far. */
    std::uint64_t dropped() const
    {
        return m_dropped;
    }

private:
    int m_descriptor;
    std::size_t m_capacity;
    std::string m_bytes;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedUntold = 0;
};

} // namespace reedtrail
