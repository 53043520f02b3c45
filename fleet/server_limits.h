/**
 * @file
 * The limits that backend servers name in their responses, as this node knows them. Makes no I/O calls.
 *
 * A server in need names how many requests a second it takes from all nodes together, in each response for as long as it holds. A response without a limit
 * therefore lifts it. Responses on different connections may overtake each other, so each statement is dated by the time in which the server must have made it:
 * from the moment at which the request was sent to that at which the response arrived. A statement replaces one that was certainly made before it. Of two that
 * may have been made in either order, the stricter one holds.
 */
#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace reedtrail {

/** What one response says of its server's limit. */
struct limit_statement
{
    /** Closed list of what a response can say. */
    enum class kind : std::uint8_t {
        Nothing, ///< It does not come from the addressed instance.
        Unlimited, ///< It names no limit.
        Limited, ///< It names a limit.
        Malformed, ///< It names something that is no limit, which changes nothing.
    };
    kind what = kind::Nothing;
    double rate = 0; ///< Requests a second, above zero, if a limit is named.
    std::string text; ///< The malformed value.
};

/** A limit, or its absence, and the time in which the server stated it. */
struct dated_limit
{
    double rate = 0; ///< Requests a second from all nodes together; 0 if there is no limit.
    time_point sentAt; ///< When the request was sent whose response says so.
    time_point receivedAt; ///< When that response arrived.

    bool isLimited() const
    {
        return rate > 0;
    }
    /** Tells whether this statement takes the place of @p current. */
    bool supersedes(const dated_limit &current) const;
};

/** The limits of all servers that have named one. */
class server_limits
{
public:
    /** What a recorded statement changes. */
    enum class outcome : std::uint8_t { Unchanged, Named, Changed, Lifted };

    /**
     * Records a statement of a server.
     * @param startedAt start time of the server's instance that was addressed, as server_entry::startedAt; a later instance is bound by nothing said before
     */
    outcome record(std::string_view server, std::int64_t startedAt, const dated_limit &statement);
    /** Returns the limit in force for an instance of a server, or nothing if it has none. */
    std::optional<dated_limit> find(std::string_view server, std::int64_t startedAt) const;
    /** Records that a server sent a malformed limit. @return whether it is the first of this server */
    bool recordMalformed(std::string_view server);
    /** Forgets the servers for which @p isKnown is false. */
    template<class Predicate>
    void retainIf(Predicate isKnown)
    {
        std::erase_if(m_rows, [&](const auto &each) {
            return !isKnown(each.first);
        });
    }
    bool isEmpty() const
    {
        return m_rows.empty();
    }

private:
    struct row
    {
        std::int64_t startedAt = 0;
        std::optional<dated_limit> last; ///< Last statement in force; empty if the server sent only malformed ones.
        bool hasMalformed = false;
    };
    std::map<std::string, row, std::less<>> m_rows; ///< By id; only servers that ever named a limit, well-formed or not.
};

} // namespace reedtrail
