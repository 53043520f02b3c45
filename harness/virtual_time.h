/**
 * @file
 * Virtual time for randomised runs and policy benchmarks: an event queue whose clock jumps from one event to the next.
 *
 *     virtual_time world;
 *     world.after(std::chrono::seconds(1), [&] { ... world.now() ... });
 *     world.runUntil(time_point(std::chrono::minutes(5)));
 *
 * Events of the same instant run in the order they were added, so one seed gives one run.
 */
#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace reedtrail::harness {

/** The event queue. */
class virtual_time
{
public:
    /** Returns the instant of the event that runs now. */
    time_point now() const
    {
        return m_now;
    }
    /** Runs @p action at @p instant, or now if that has passed. */
    void at(time_point instant, std::function<void()> action);
    /** Runs @p action after @p delay. */
    void after(duration delay, std::function<void()> action);
    /** Runs the next event. @return false if there is none */
    bool step();
    /** Runs all events up to and including @p end, then sets the clock to it. */
    void runUntil(time_point end);
    /** Returns how many events wait. */
    std::size_t waiting() const
    {
        return m_queue.size();
    }

private:
    struct event
    {
        time_point at;
        std::uint64_t number;
        std::function<void()> action;
    };
    struct later
    {
        bool operator()(const event &left, const event &right) const
        {
            return left.at != right.at ? left.at > right.at : left.number > right.number;
        }
    };
    time_point m_now{};
    std::uint64_t m_added = 0;
    std::priority_queue<event, std::vector<event>, later> m_queue;
};

} // namespace reedtrail::harness
