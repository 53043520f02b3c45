/**
 * @file
 * Incremental parser for server-sent events in a streamed response body.
 *
 *     event_stream_reader reader;
 *     for (const server_event &event : reader.feed(part)) { ... event.id ... event.data ... }
 *     reader.isBetweenEvents()      // at the end of the body: true if no event is incomplete
 */
#pragma once

#include "net/http_message.h"

#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** One server-sent event. */
struct server_event
{
    std::string id;
    std::string data; ///< The values of all data lines, joined by line feeds.
    std::vector<http_field> others; ///< All fields except id and data, with names as sent.
    std::string bytes; ///< The raw event, including the blank line that ends it.
};

/** Splits a byte stream into events; keeps an incomplete event until the rest of it arrives. */
class event_stream_reader
{
public:
    /** Appends the next part of the body. @return the events that this part completes */
    std::vector<server_event> feed(std::string_view part);
    /** Returns true if no incomplete event is buffered. */
    bool isBetweenEvents() const
    {
        return m_pending.empty();
    }

private:
    std::string m_pending;
    std::size_t m_searchStart = 0;
};

} // namespace reedtrail
