/**
 * @file
 * The backend servers that a deployment has now, as their registrations in the store say. Pure core.
 *
 * A registration that disappears means that its server leaves, unless the store was away: registrations lapse with it, and those of living servers are
 * back soon after its return. The directory holds such servers for that time.
 */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "net/endpoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** One registration of a backend server. */
struct server_entry
{
    std::string id; ///< Names one server; a request that expects another id is not run.
    std::string service;
    endpoint address;
    std::string zone;
    std::uint32_t slots = 1;
    bool isDraining = false;
    std::map<std::string, std::uint64_t, std::less<>> modelVersions;
    std::uint64_t ordersAccepted = 0;
    std::int64_t startedAt = 0; ///< Unix milliseconds; tells a restart under the same id. 0 if not told.
};

/** The directory. */
class server_directory
{
public:
    /** Time for which a registration that lapsed beside an outage of the store may come back: the servers promise two seconds. */
    static constexpr duration lapseGracePeriod = std::chrono::seconds(2);

    /** Takes a registration as written now. */
    void put(server_entry entry);
    /** Takes the end of a registration. @param afterOutage whether the store was disturbed lately, so that the registration may have lapsed by mistake */
    void remove(time_point now, std::string_view id, bool afterOutage);
    /** Makes the directory equal to a complete listing: servers not in it are removed as by remove(). */
    void replaceAll(time_point now, std::vector<server_entry> entries, bool afterOutage);
    /** Drops the held servers whose time has passed. @return whether any was dropped */
    bool expire(time_point now);

    /** Returns the servers of a service that take new requests, in the order of their ids. */
    std::vector<const server_entry *> usable(std::string_view service) const;
    /** Returns the servers of all services that take new requests, in the order of their ids. */
    std::vector<const server_entry *> allUsable() const;
    /** Returns a server that is known and not gone, or null. */
    const server_entry *find(std::string_view id) const;
    std::size_t size() const
    {
        return m_rows.size();
    }
    /** Rises with every change of what usable() returns. */
    std::uint64_t changes() const
    {
        return m_changes;
    }

private:
    struct row
    {
        server_entry entry;
        time_point graceUntil = timeNever; ///< timeNever while it is registered.
    };
    std::map<std::string, row, std::less<>> m_rows;
    std::uint64_t m_changes = 0;
};

} // namespace reedtrail
