/**
 * @file
 * Implements the event_loop concept with Boost.Asio timers and a clock that keeps counting while the machine is suspended.
 */
#pragma once

#include "base/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <ctime>
#include <exception>
#include <functional>
#include <memory>

namespace reedtrail {

/** Event loop of one process; satisfies event_loop. */
class asio_loop
{
public:
    explicit asio_loop(boost::asio::io_context &io)
        : m_io(io)
    {
    }

    /** Returns the time since boot, including time spent suspended, so that a lease that expired during a suspension is never taken for valid. */
    time_point now() const
    {
        timespec time{};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
    }

    /** Runs @p action once, @p delay from now. */
    void after(duration delay, std::function<void()> action)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
        timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &error) {
            if (!error) {
                action();
            }
        });
    }

    /**
     * Runs handlers until there are none or the context is stopped. An exception that leaves a handler ends that handler only; an exchange that it held is
     * released, and thereby answered with an internal error.
     * @param onFailure receives what the exception says
     */
    void run(const std::function<void(const char *reason)> &onFailure)
    {
        for (;;) {
            try {
                m_io.run();
                return;
            } catch (const std::exception &error) {
                onFailure(error.what());
            }
        }
    }

    boost::asio::io_context &io()
    {
        return m_io;
    }

private:
    boost::asio::io_context &m_io;
};

/** Returns the time of day in Unix milliseconds. */
inline std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace reedtrail
