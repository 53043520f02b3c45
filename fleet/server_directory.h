/**
 * @file
 * The backend servers of a deployment, according to their registrations in the store. Makes no I/O calls.
 *
 * A registration that disappears means that its server leaves, unless the store had an outage: registrations lapse during an outage, and running servers
 * register again soon after it. The directory keeps such servers for a grace period.
 *
 * A server that is about to end also says so in its answers. Such word reaches a node that has no connection to the store, and it may be earlier than the
 * registration. It holds for that instance of the server, whatever the store says, until the registration shows a later start.
 */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "net/endpoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** One registration of a backend server. */
struct server_entry
{
    std::string id; ///< Identifies the server; it does not run a request that expects another id.
    std::string service;
    endpoint address;
    std::string zone;
    std::uint32_t slots = 1; ///< Number of requests that it runs at the same time.
    bool isDraining = false;
    std::map<std::string, std::uint64_t, std::less<>> modelVersions; ///< Loaded weight version of each model, by the name of the model.
    std::uint64_t ordersAccepted = 0; ///< Load orders that the server has accepted since its start.
    std::int64_t startedAt = 0; ///< Unix time in milliseconds; differs after a restart under the same id. 0 if unknown.
    std::string build; ///< Version of the server's software, as it names it; empty if unknown. What two builds write does not fit together.
};

/** The registered backend servers by id, including those in their grace period. */
class server_directory
{
public:
    /** Time for which the word of a server that it is about to end, and its start time, are kept after its registration is gone. */
    static constexpr duration leavingMemory = std::chrono::minutes(2);

    /** Adds or replaces a registration. */
    void put(server_entry entry);
    /**
     * Handles the end of a registration.
     * @param mayReturnUntil until when the registration may come back, because it may have lapsed in an outage of the store; nothing if the server has left
     */
    void remove(time_point now, std::string_view id, std::optional<time_point> mayReturnUntil);
    /** Records that the server itself said that it is about to end, also if its registration is missing. @return whether that is new */
    bool recordLeaving(time_point now, std::string_view id);
    /** Returns when the server said that it is about to end, or nothing if its current instance did not. */
    std::optional<time_point> leavingSince(std::string_view id) const;
    /** Ends all grace periods at @p end at the latest; called when the end of an outage has become known better. */
    void limitGrace(time_point end);
    /** Sets whether servers in their grace period may be used; they may not while it is not certain that there was an outage. */
    void setGraceUsable(bool isUsable);
    /** Drops all servers in their grace period; called for a state of the store in which lapsed registrations are back. @return whether any was dropped */
    bool dropLapsed(time_point now);
    /** Returns when the next grace period ends; nothing if no server is in one. */
    std::optional<time_point> nextExpiry() const;
    /** Drops the servers whose grace period has ended. @return whether any was dropped */
    bool expire(time_point now);

    /** Returns the servers of @p service that are not about to end, ordered by id. */
    std::vector<const server_entry *> usable(std::string_view service) const;
    /** Returns the servers of all services that are not about to end, ordered by id. */
    std::vector<const server_entry *> allUsable() const;
    /** Returns all servers, also those about to end and those in their grace period, ordered by id. */
    std::vector<const server_entry *> all() const;
    /** Tells whether this instance of a server is registered and not about to end. */
    bool isUsable(std::string_view id, std::int64_t startedAt) const;
    /** Returns the server with this id, draining or not, or null if there is none. */
    const server_entry *find(std::string_view id) const;
    std::size_t size() const
    {
        return m_rows.size();
    }
    /** Returns a counter that increases whenever the result of usable() may have changed. */
    std::uint64_t changes() const
    {
        return m_changes;
    }

private:
    struct row
    {
        server_entry entry;
        time_point graceUntil = timeNever; ///< End of the grace period; timeNever while the server is registered.
    };
    /** Word of a server that it is about to end. */
    struct leaving_notice
    {
        std::int64_t startedAt = 0; ///< Start time of the instance that said so, as server_entry::startedAt.
        time_point since;
    };
    bool isUsable(const row &entryRow) const
    {
        const bool isRegistered = entryRow.graceUntil == timeNever || m_isGraceUsable;
        return isRegistered && !entryRow.entry.isDraining && !m_leaving.contains(entryRow.entry.id);
    }

    std::map<std::string, row, std::less<>> m_rows;
    /** A server whose registration is gone. It may register again. */
    struct former_server
    {
        std::int64_t startedAt = 0;
        time_point goneAt;
    };
    bool dropGraceEndingBy(time_point now, time_point end);

    std::map<std::string, former_server, std::less<>> m_former; ///< By id.
    std::map<std::string, leaving_notice, std::less<>> m_leaving; ///< By id; kept while the registration is missing, which may be a lapse.
    std::uint64_t m_changes = 0;
    bool m_isGraceUsable = true;
};

} // namespace reedtrail
