/**
 * @file
 * The origins of callers' streams that one node keeps. Makes no I/O calls.
 *
 * Load pattern: each stream is entered once, and hardly any is looked up. When a node or some servers fail, all their streams are looked up within two seconds.
 * Only streams that were served are entered, so a caller that asks for streams at random enters nothing.
 */
#pragma once

#include "base/time.h"
#include "fleet/stream_origin_messages.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** Keeps the origin of each stream for a time. */
class stream_origin_table
{
public:
    static constexpr std::size_t defaultCapacity = 16384;
    static constexpr duration maxKeep = std::chrono::minutes(10); ///< Whatever deadline a caller names.

    explicit stream_origin_table(std::size_t capacity = defaultCapacity)
        : m_capacity(capacity)
    {
    }

    /** The origin of a stream, as this node keeps it. */
    struct row
    {
        stream_origin origin; ///< Its connectionAgeUs is not used.
        time_point connectedAt; ///< When the connection to the origin was established; only if it is not proven.
        time_point keepUntil;
    };

    /** Enters a stream, or keeps it for longer. What began it never changes. If the table is full, the row that ends first is dropped. */
    void put(time_point now, const std::string &stream, const stream_origin &origin, duration keep);
    /** Returns the origin of a stream, or null. */
    const row *find(time_point now, std::string_view stream) const;
    /** Returns the ids of all streams, or of those of one service. */
    std::vector<std::string> streamsOf(time_point now, std::optional<std::string_view> service = std::nullopt) const;
    /** Returns a row as a message to another node. */
    static stream_record recordOf(time_point now, const std::string &stream, const row &kept);
    /** Drops the rows whose time has passed. */
    void expire(time_point now);
    std::size_t size() const
    {
        return m_rows.size();
    }

private:
    std::size_t m_capacity;
    std::map<std::string, row, std::less<>> m_rows;
};

} // namespace reedtrail
