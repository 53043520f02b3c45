/**
 * @file
 * The model behind the stand-in engine: slots, priorities, tokens over time, prefix cache, weight versions, kept streams. Pure: (now, event) in.
 *
 *     engine_model model(options);
 *     model.submit(now, {"r-1", "prompt", 64, 0, ""});
 *     model.advance(now);                                   // produces the tokens due by now
 *     const engine_stream *stream = model.find("r-1");      // tokens so far, versions, whether it has ended
 *
 * The text of a token depends on prompt and position alone, so whoever asks can check an answer whole: see tokenText(). The length of an answer is
 * lognormal and depends on prompt and request id, so an answer moved to another engine goes on to the same end.
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

/** Returns the text of token @p position of an answer to @p prompt. */
std::string tokenText(std::string_view prompt, std::uint64_t position);

/** Behaviour of an engine. */
struct engine_options
{
    std::size_t slots = 8;
    std::size_t maximumWaiting = 256;
    double tokensPerSecond = 200; ///< Of each running stream.
    double medianTokens = 24;
    double sigma = 0.6; ///< Shape of the lognormal length.
    double prefillMsPerKilobyte = 20; ///< Without a cached prefix.
    std::size_t cachedPrefixes = 64;
    duration streamKept = std::chrono::seconds(60); ///< How long an ended stream can be resumed.
    duration orphanKept = std::chrono::seconds(10); ///< How long a stream without a reader goes on.
    bool checksFencing = false;
    std::uint64_t initialVersion = 1;
};

/** A request as the engine takes it. */
struct engine_request
{
    std::string id;
    std::string prompt;
    std::uint64_t maximumTokens = 64;
    std::int64_t priority = 0; ///< Lower runs first.
    std::string run; ///< Whose weights; empty for the base ones.
};

/** Why a stream ended. */
enum class stream_end : std::uint8_t { Running, Stop, Length, Cancelled };

/** A stream and all its tokens. */
struct engine_stream
{
    engine_request request;
    std::uint64_t wantedTokens = 0;
    std::vector<std::uint64_t> versions; ///< Of each token so far; 0 if the engine cannot tell.
    stream_end end = stream_end::Running;
    bool isStarted = false;
    time_point nextTokenAt;
    time_point endedAt;
    time_point readerLeftAt = timeNever;
    std::uint64_t starts = 1; ///< How often this id was submitted.
};

/** A change of the prefix cache. */
struct cache_event
{
    std::uint64_t sequence = 0;
    bool isStored = true;
    std::uint64_t prefixHash = 0;
    time_point at;
};

/** The model. */
class engine_model
{
public:
    explicit engine_model(engine_options options);

    /** Takes a request. @return false if slots and queue are full */
    bool submit(time_point now, const engine_request &request);
    /** Takes over a stream from another engine with the tokens it has. */
    bool import(time_point now, const engine_request &request, std::uint64_t wantedTokens, std::vector<std::uint64_t> versions);
    /** Ends a stream. @return false if it is not known or has ended */
    bool cancel(time_point now, const std::string &id);
    /** Notes whether anybody reads the stream. */
    void setReader(time_point now, const std::string &id, bool isRead);
    /** Produces the tokens due by @p now and starts what waits. */
    void advance(time_point now);
    /** Returns the stream, or null. Valid until the next call that changes the model. */
    const engine_stream *find(const std::string &id) const;

    /** Checks an order's fencing number and notes the highest. @return false if the engine checks numbers and this one is older */
    bool acceptFencing(const std::string &run, std::uint64_t fencing);
    /** Stops producing for a switch. */
    void beginSwitch();
    /** Ends a switch. @param version now in use, or 0 if it failed partway */
    void endSwitch(const std::string &run, std::uint64_t version);

    /** Returns the version in use for @p run. */
    std::uint64_t versionOf(const std::string &run) const;
    const std::map<std::string, std::uint64_t> &versions() const
    {
        return m_versions;
    }
    bool isSwitching() const
    {
        return m_isSwitching;
    }
    bool isVersionUnknown() const;
    std::size_t waiting() const;
    std::size_t running() const
    {
        return m_running.size();
    }
    double kvUsed() const;
    /** Returns the cache events from sequence @p since on that are not newer than @p shown. */
    std::vector<cache_event> eventsSince(std::uint64_t since, time_point shown) const;
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
    void touchPrefix(time_point now, std::uint64_t prefix);
    void startWaiting(time_point now);
    void produce(time_point now, engine_stream &stream);
    void finish(engine_stream &stream, stream_end end, time_point now);
    void forgetOld(time_point now);

    engine_options m_options;
    std::map<std::string, engine_stream> m_streams;
    std::map<std::pair<std::int64_t, std::uint64_t>, std::string> m_waiting; ///< By priority, then order of arrival.
    std::vector<std::string> m_running;
    std::uint64_t m_arrivals = 0;
    std::list<std::uint64_t> m_prefixes; ///< Newest first.
    std::deque<cache_event> m_events;
    std::uint64_t m_nextEvent = 1;
    std::map<std::string, std::uint64_t> m_versions; ///< By run; "" for the base weights.
    std::map<std::string, std::uint64_t> m_fencing;
    std::uint64_t m_staleOrders = 0;
    std::uint64_t m_tokensProduced = 0;
    bool m_isSwitching = false;
};

} // namespace reedtrail
