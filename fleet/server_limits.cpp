// Only servers that named a limit have a row, so responses of all others cost one lookup in a map that is empty nearly always.

#include "fleet/server_limits.h"

#include <utility>

namespace reedtrail {

bool dated_limit::supersedes(const dated_limit &current) const
{
    if (sentAt >= current.receivedAt) {
        return true;
    }
    const bool isCertainlyEarlier = receivedAt <= current.sentAt;
    const bool isStricter = isLimited() && (!current.isLimited() || rate < current.rate);
    return !isCertainlyEarlier && isStricter;
}

server_limits::outcome server_limits::record(std::string_view server, std::int64_t startedAt, const dated_limit &statement)
{
    auto found = m_rows.find(server);
    if (found == m_rows.end()) {
        if (!statement.isLimited()) {
            return outcome::Unchanged;
        }
        found = m_rows.emplace(std::string(server), row{ startedAt, std::nullopt, false }).first;
    }
    row &known = found->second;
    if (startedAt < known.startedAt) {
        return outcome::Unchanged; // A response of an instance that is gone.
    }
    if (std::exchange(known.startedAt, startedAt) != startedAt) {
        known.last.reset();
    }
    if (known.last && !statement.supersedes(*known.last)) {
        return outcome::Unchanged;
    }
    const double before = known.last ? known.last->rate : 0;
    known.last = statement;
    if (before == statement.rate) {
        return outcome::Unchanged;
    }
    if (before == 0) {
        return outcome::Named;
    }
    return statement.isLimited() ? outcome::Changed : outcome::Lifted;
}

std::optional<dated_limit> server_limits::find(std::string_view server, std::int64_t startedAt) const
{
    const auto found = m_rows.find(server);
    const bool isInForce = found != m_rows.end() && found->second.startedAt == startedAt && found->second.last && found->second.last->isLimited();
    return isInForce ? found->second.last : std::nullopt;
}

bool server_limits::recordMalformed(std::string_view server)
{
    auto found = m_rows.find(server);
    if (found == m_rows.end()) {
        found = m_rows.emplace(std::string(server), row{}).first;
    }
    return !std::exchange(found->second.hasMalformed, true);
}

} // namespace reedtrail
