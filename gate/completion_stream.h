/**
 * @file
 * Parses the server-sent events of a model engine into the tokens of one answer: in order, without duplicates, each with the weight version that made it.
 *
 *     completion_stream stream;
 *     for (const completion_chunk &chunk : stream.feed(bytes)) { send(chunk); }
 *     if (!stream.isComplete()) { stream.beginResume(); ... GET /v1/streams/ID?offset=stream.offset() ... }
 */
#pragma once

#include "base/ids.h"
#include "fleet/peer_messages.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** New tokens, or the finish reason of the answer. */
struct completion_chunk
{
    std::string text;
    std::string finishReason; ///< Set only in the last chunk.
    std::uint64_t offset = 0; ///< Number of tokens of the answer up to and including this chunk.
    std::uint64_t tokens = 0; ///< Number of new tokens in this chunk.
    weight_version version = 0; ///< Weight version that the engine named; 0 if it named none.
};

/** Largest event accepted, in bytes. */
inline constexpr std::size_t maximumEventBytes = 1U << 20U;

/** Parser for one answer, which may arrive over several connections. */
class completion_stream
{
public:
    /** Parses the next bytes. @return the new chunks; tokens that were received before a resume are dropped */
    std::vector<completion_chunk> feed(std::string_view bytes);
    /** Discards an incomplete event. Call it before the bytes of a new connection, which continues from offset(). */
    void beginResume();

    /** Returns whether the engine's end marker has arrived. */
    bool isComplete() const
    {
        return m_isComplete;
    }
    /** Returns whether the engine sent an invalid event, an event with an error, or an event that is too large. */
    bool isBroken() const
    {
        return m_isBroken;
    }
    /** Returns the number of tokens received. */
    std::uint64_t offset() const
    {
        return m_offset;
    }
    /** Returns the weight version of each token range, in order and without gaps. */
    const std::vector<version_range> &versions() const
    {
        return m_versions;
    }

private:
    void applyEvent(std::string_view data, std::vector<completion_chunk> &out);
    void recordVersion(std::uint64_t from, std::uint64_t to, weight_version version);

    std::string m_unparsed;
    std::uint64_t m_offset = 0;
    std::vector<version_range> m_versions;
    bool m_isComplete = false;
    bool m_isBroken = false;
};

} // namespace reedtrail
