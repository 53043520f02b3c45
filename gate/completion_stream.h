/**
 * @file
 * Reads a model engine's server-sent events: the tokens of one answer, in order and each once, with the weight version that made each.
 *
 *     completion_stream stream;
 *     for (const completion_chunk &chunk : stream.feed(bytes)) { send(chunk); }
 *     if (!stream.isWhole()) { stream.beginResume(); ... GET /v1/streams/ID?offset=stream.offset() ... }
 */
#pragma once

#include "base/ids.h"
#include "fleet/peer_messages.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** One event with new tokens, or the end of the answer. */
struct completion_chunk
{
    std::string text;
    std::string finishReason; ///< Empty but in the last chunk.
    std::uint64_t offset = 0; ///< Tokens of the whole answer up to and with this chunk.
    std::uint64_t tokens = 0; ///< New ones.
    weight_version version = 0; ///< As the engine said; 0 if it did not say.
};

/** Largest event accepted, in bytes. */
inline constexpr std::size_t maximumEventBytes = 1U << 20U;

/** The reader; feed it the bytes of one answer, over as many connections as it takes. */
class completion_stream
{
public:
    /** Takes bytes as they arrive. @return the chunks that are new: tokens already seen before a resume are dropped */
    std::vector<completion_chunk> feed(std::string_view bytes);
    /** Starts over at an event boundary, on a connection that continues from offset(). */
    void beginResume();

    /** Tells whether the engine marked the end of the answer. */
    bool isComplete() const
    {
        return m_isComplete;
    }
    /** Tells whether something arrived that is no answer of an engine, or a resumed stream left tokens out. */
    bool isBroken() const
    {
        return m_isBroken;
    }
    /** Returns how many tokens have arrived. */
    std::uint64_t offset() const
    {
        return m_offset;
    }
    /** Returns which version made which tokens, in order, without gaps. */
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
