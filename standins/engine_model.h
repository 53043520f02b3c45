/**
 * @file
 * Simulation of a model engine: slots, priorities, token rate, prefix cache, weight versions and resumable streams. It does no I/O and reads no clock: the
 * caller passes the current time to each call.
 *
 *     engine_model model(options);
 *     model.submit(now, {"r-1", "prompt", 64, 0, ""});
 *     model.advance(now);                                   // generates the tokens due by now
 *     const engine_stream *stream = model.find("r-1");      // the weight version of each token so far, and whether the stream has ended
 *
 * The text of a token depends only on the prompt and the token's position, so a client can verify a whole completion with tokenText(). The length of a
 * completion is lognormal and depends only on prompt and request id, so a completion that moves to another engine ends at the same token.
 */
#pragma once

#include "base/random.h"
#include "base/time.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace reedtrail {

/** Returns the text of the token at @p position (from 0) of the completion of @p prompt. */
std::string tokenText(std::string_view prompt, std::uint64_t position);

/** Parameters of a simulated engine. */
struct engine_options
{
    std::size_t slots = 8;
    std::size_t maximumWaiting = 256;
    double tokensPerSecond = 200; ///< Token rate of each running stream.
    double medianTokens = 24; ///< Median of the completion length.
    double sigma = 0.6; ///< Shape parameter of the lognormal completion length.
    double prefillMsPerKilobyte = 20; ///< Prefill time for each kilobyte of the prompt that is not in the prefix cache.
    std::size_t cachedPrefixes = 64;
    duration endedStreamRetention = std::chrono::seconds(60); ///< How long a stream can still be read after its end.
    duration orphanTimeout = std::chrono::seconds(10); ///< How long a stream runs on without a reader before it is cancelled.
    bool checksFencing = false; ///< Whether orders with an outdated fencing token are rejected; otherwise they are only counted.
    std::uint64_t initialVersion = 1; ///< Weight version in use at the start.
};

/** Request for one completion. */
struct engine_request
{
    std::string id;
    std::string prompt;
    std::uint64_t maximumTokens = 64;
    std::int64_t priority = 0; ///< Requests with a lower value start first.
    std::string run; ///< Run whose weights are used; empty for the base weights.
};

/** State of a stream: still running, or the reason why it ended. */
enum class stream_end : std::uint8_t { Running, Stop, Length, Cancelled };

/** One completion and the weight versions of its tokens. */
struct engine_stream
{
    engine_request request;
    std::uint64_t wantedTokens = 0; ///< Sampled length, which maximumTokens may cut.
    std::vector<std::uint64_t> versions; ///< Weight version of each token generated so far; 0 if the engine does not know it.
    stream_end end = stream_end::Running;
    bool isStarted = false;
    time_point nextTokenAt;
    time_point endedAt;
    time_point readerLeftAt = timeNever; ///< When the last reader disconnected; timeNever while the stream is read.
    std::uint64_t starts = 1; ///< Number of times that this id was submitted or imported.
};

/** An insertion into the prefix cache or an eviction from it. */
struct cache_event
{
    std::uint64_t sequence = 0;
    bool isStored = true; ///< True for an insertion, false for an eviction.
    std::uint64_t prefixHash = 0;
    time_point at;
};

/** Simulated engine with continuous batching. */
class engine_model
{
public:
    explicit engine_model(engine_options options);

    /** Queues or starts a request with a sampled length. @return false if the slots and the queue are full */
    bool submit(time_point now, const engine_request &request);
    /**
     * Continues a stream that another engine began. @param versions weight versions of the tokens generated so far
     * @return false if the slots and the queue are full
     */
    bool import(time_point now, const engine_request &request, std::uint64_t wantedTokens, std::vector<std::uint64_t> versions);
    /** Cancels a stream. @return false if it is unknown or has already ended */
    bool cancel(time_point now, const std::string &id);
    /** Sets whether a reader is connected to the stream. */
    void setReader(time_point now, const std::string &id, bool isRead);
    /** Generates the tokens due by @p now, cancels orphaned streams and starts queued ones. */
    void advance(time_point now);
    /** Returns the stream, or null. The pointer is valid until the next call that changes the model. */
    const engine_stream *find(const std::string &id) const;

    /** Compares an order's fencing token with the highest one seen for the run. @return false if the token is older and the engine checks tokens */
    bool acceptFencing(const std::string &run, std::uint64_t fencing);
    /** Pauses token generation for a weight switch. */
    void beginSwitch();
    /** Ends a weight switch. @param version the version now in use, or 0 if the switch failed partway and the version is unknown */
    void endSwitch(const std::string &run, std::uint64_t version);

    /** Returns the weight version in use for @p run. */
    std::uint64_t versionOf(const std::string &run) const;
    const std::map<std::string, std::uint64_t> &versions() const
    {
        return m_versions;
    }
    bool isSwitching() const
    {
        return m_isSwitching;
    }
    /** Returns whether a failed switch left the weight version of any run unknown. */
    bool isVersionUnknown() const;
    std::size_t waiting() const;
    std::size_t running() const
    {
        return m_running.size();
    }
    /** Returns the simulated share of the KV cache in use, from 0 to 1. */
    double kvUsed() const;
    /** Returns the cache events from sequence number @p since on that are not newer than @p visibleUntil. */
    std::vector<cache_event> eventsSince(std::uint64_t since, time_point visibleUntil) const;
    /** Returns the number of orders accepted in spite of an outdated fencing token. */
    std::uint64_t staleOrders() const
    {
        return m_staleOrders;
    }
    std::uint64_t tokensProduced() const
    {
        return m_tokensProduced;
    }
    const std::map<std::string, engine_stream> &streams() const
    {
        return m_streams;
    }

private:
    duration prefillTime(time_point now, const std::string &prompt);
    void recordPrefixUse(time_point now, std::uint64_t prefix);
    void startWaiting(time_point now);
    void produce(time_point now, engine_stream &stream);
    void finish(engine_stream &stream, stream_end end, time_point now);
    void forgetEndedStreams(time_point now);

    engine_options m_options;
    std::map<std::string, engine_stream> m_streams;
    std::map<std::pair<std::int64_t, std::uint64_t>, std::string> m_waiting; ///< Request ids by priority, then order of arrival.
    std::vector<std::string> m_running;
    std::uint64_t m_arrivals = 0;
    std::list<std::uint64_t> m_prefixes; ///< Hashes of the cached prefixes, most recently used first.
    std::deque<cache_event> m_events;
    std::uint64_t m_nextEvent = 1;
    std::map<std::string, std::uint64_t> m_versions; ///< Weight version by run; the key "" stands for the base weights.
    std::map<std::string, std::uint64_t> m_highestFencing;
    std::uint64_t m_staleOrders = 0;
    std::uint64_t m_tokensProduced = 0;
    bool m_isSwitching = false;
};

} // namespace reedtrail
