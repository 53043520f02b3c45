// An event ends with a blank line. Lines end with LF or CRLF.

#include "net/event_stream.h"

#include <algorithm>

namespace reedtrail {
namespace {

void parseLine(server_event &event, std::string_view line, bool &hasData)
{
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    if (line.empty() || line.front() == ':') {
        return;
    }
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (name == "id") {
        event.id = value;
    } else if (name == "data") {
        if (hasData) {
            event.data += '\n';
        }
        event.data += value;
        hasData = true;
    } else {
        event.others.push_back({ std::string(name), std::string(value) });
    }
}

server_event parseEvent(std::string_view text)
{
    server_event event;
    event.bytes = text;
    bool hasData = false;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        parseLine(event, text.substr(0, end), hasData);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return event;
}

/** Returns the position after the first blank line at or after @p from, or npos if there is none. */
std::size_t findEventEnd(std::string_view text, std::size_t from)
{
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        if (at + 1 < text.size() && text[at + 1] == '\n') {
            return at + 2;
        }
        if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n') {
            return at + 3;
        }
    }
    return std::string_view::npos;
}

} // namespace

std::vector<server_event> event_stream_reader::feed(std::string_view part)
{
    constexpr std::size_t searchOverlapBytes = 2; // A blank line can be split between parts after "\n\r", so the next search includes these two bytes.
    m_pending += part;
    std::vector<server_event> events;
    std::size_t consumed = 0;
    for (std::size_t end = findEventEnd(m_pending, m_searchStart); end != std::string::npos; end = findEventEnd(m_pending, consumed)) {
        events.push_back(parseEvent(std::string_view(m_pending).substr(consumed, end - consumed)));
        consumed = end;
    }
    m_pending.erase(0, consumed);
    m_searchStart = m_pending.size() - std::min(m_pending.size(), searchOverlapBytes);
    return events;
}

} // namespace reedtrail
