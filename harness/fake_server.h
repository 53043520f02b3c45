/**
 * @file
 * A backend server in virtual time: slots, a queue by priority, a prefix cache, a slow factor, crashes and hangs.
 *
 *     fake_server server(world, {.slots = 64});
 *     server.submit({.id = 7, .tokens = 300, .promptBlocks = 8, .onEnd = [&](fake_end end) { ... }});
 *     fake_load load = server.load();      // the caller delivers it as late as it likes
 *
 * A request runs for its prefill, which the cached part of its prompt shortens, and then for its tokens. Callbacks run as events of their own.
 */
#pragma once

#include "harness/virtual_time.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace reedtrail::harness {

/** What a server is like. */
struct fake_server_options
{
    std::int64_t slots = 64;
    double secondsPerToken = 0.025;
    double prefillSecondsPerBlock = 0.02;
    std::size_t cacheBlocks = 2000; ///< Prefix blocks it keeps; the least recently used give way.
    double slowFactor = 1; ///< Every step takes this many times as long.
};

/** How a request ended on a server. */
enum class fake_end : std::uint8_t {
    Answered,
    Refused, ///< The server is down: no connection was made.
    Failed, ///< The server crashed while it had the request.
};

/** A request as the server gets it. */
struct fake_work
{
    std::uint64_t id = 0;
    std::int32_t priority = 0; ///< Lower runs first.
    double tokens = 100;
    std::uint32_t promptBlocks = 0; ///< Blocks of the prompt, those with a hash included.
    std::vector<std::uint64_t> prefixHashes; ///< Of the first blocks, longest prefix last.
    std::function<void()> onStart; ///< Called in place, when it leaves the queue.
    std::function<void(std::uint32_t cachedBlocks)> onFirstToken;
    std::function<void(fake_end end)> onEnd;
};

/** What a server reports. */
struct fake_load
{
    std::int64_t waiting = 0;
    std::int64_t running = 0;
    std::uint64_t sequence = 0;
};

/** The server. */
class fake_server
{
public:
    /** Told of each block that enters (true) or leaves (false) the cache. */
    using cache_listener = std::function<void(std::uint64_t prefixHash, bool isStored)>;

    fake_server(virtual_time &world, fake_server_options options);

    /** Takes a request. */
    void submit(fake_work work);
    /** Stops a request; its callbacks are not called any more. */
    void cancel(std::uint64_t id);
    /** Ends all requests as failed, empties the cache, and refuses what comes until restart(). */
    void crash();
    void restart();
    /** Stops or resumes all progress; requests are still taken. */
    void setHung(bool isHung);
    void setSlowFactor(double factor);
    bool isUp() const
    {
        return m_isUp;
    }
    /** Returns the present load, with the next report number. */
    fake_load load();
    /** Returns how many leading blocks of @p prefixHashes are cached. */
    std::uint32_t cachedBlocks(const std::vector<std::uint64_t> &prefixHashes) const;
    double slowFactor() const
    {
        return m_options.slowFactor;
    }
    std::int64_t slots() const
    {
        return m_options.slots;
    }
    std::int64_t running() const
    {
        return static_cast<std::int64_t>(m_running.size());
    }
    std::int64_t waiting() const
    {
        return static_cast<std::int64_t>(m_waiting.size());
    }
    /** Returns the slot-seconds worked so far. */
    double busySeconds() const;
    void onCache(cache_listener listener)
    {
        m_cacheListener = std::move(listener);
    }

private:
    using queue_key = std::pair<std::int32_t, std::uint64_t>; ///< Priority, then order of arrival.
    struct running_work
    {
        fake_work work;
        std::uint64_t start = 0; ///< Number of this start, so that events of an earlier life are told apart.
        time_point startedAt;
    };
    void startNext();
    void start(fake_work work);
    void onPrefilled(std::uint64_t id, std::uint64_t start, std::uint32_t cached);
    void onFinished(std::uint64_t id, std::uint64_t start);
    void store(const std::vector<std::uint64_t> &prefixHashes);
    void whenAwake(duration delay, std::function<void()> action);
    void account();

    virtual_time &m_world;
    fake_server_options m_options;
    bool m_isUp = true;
    bool m_isHung = false;
    std::vector<std::function<void()>> m_held; ///< What came due while the server hung.
    std::map<queue_key, fake_work> m_waiting;
    std::unordered_map<std::uint64_t, running_work> m_running;
    std::list<std::uint64_t> m_cacheOrder; ///< Least recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cache;
    cache_listener m_cacheListener;
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_starts = 0;
    std::uint64_t m_reports = 0;
    double m_busySeconds = 0;
    time_point m_accountedAt;
};

} // namespace reedtrail::harness
