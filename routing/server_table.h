/**
 * @file
 * What one gate knows of each backend server: load, version, health and speed.
 *
 * Load reports come late. The table keeps what the reports say of the others' work and adds this gate's own open requests, which it knows exactly:
 *
 *     predicted load = (reported load − own requests open when the report was made) + own requests open now
 */
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "fleet/fleet_document.h"
#include "routing/request_list.h"
#include "routing/request_scheduler.h"

#include <array>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace reedtrail {

/** How many requests this gate had open on a server in the recent past; the last 16 changes are kept. */
class open_history
{
public:
    /** Notes that from @p now on @p open requests are open. */
    void note(time_point now, std::int32_t open);
    /** Returns how many were open at @p when; the oldest known number if that is too long ago. */
    std::int32_t at(time_point when) const;

private:
    struct sample
    {
        time_point at;
        std::int32_t open = 0;
    };
    std::array<sample, 16> m_samples{};
    std::uint32_t m_newest = 0;
};

/** One backend server. */
struct server_row
{
    server_id id;
    std::uint32_t pool = noIndex;
    bool isListed = false; ///< Whether the fleet document names it.
    bool isOwnZone = false;
    bool isHintedLeaving = false; ///< By the document, the VM list or a peer.
    bool isReportedLeaving = false; ///< By its own report.
    bool isVersionUnknown = false;
    bool hasReport = false;
    bool isEjected = false;
    weight_version version = 0;
    double slots = 1;
    double othersLoad = 0; ///< Requests of other gates on it, as far as the last report says.
    std::int32_t ownOpen = 0; ///< Own requests open on it.
    std::int32_t ownReported = 0; ///< Own requests that were open when the last report was made.
    double drawnPart = 0; ///< In [0, 1), drawn anew with each report: which part of the room left over by whole numbers is this gate's.
    open_history history;
    std::uint64_t sequence = 0; ///< Of the last report.
    time_point reportedAt;
    time_point countedAt; ///< When the watcher's last count arrived; time 0 if none did.
    std::int32_t failuresInRow = 0;
    std::int32_t ejectionsInRow = 0;
    time_point ejectedAt;
    time_point ejectedUntil;
    time_point returnedAt; ///< When its gentle return began; time 0 if it was never away.
    double pace = 0; ///< Mean service time over expected service time; 0 while unknown.
    std::uint32_t paceSamples = 0;
    double speed = 1; ///< Pace of the pool's median over its own: 0.33 for a server that takes three times as long.
    double affinityTokens = 0; ///< Requests that may yet be sent to it for its prefixes; refilled at its part of the gate's rate.
    time_point affinityAt; ///< When the tokens were last refilled.
    std::uint32_t openPosition = noIndex; ///< In the pool's list of servers with room.

    /** Returns the requests that are on the server now, as far as can be told. */
    double load() const
    {
        return othersLoad + ownOpen;
    }
};

/** One pool. */
struct pool_row
{
    pool_id id;
    pool_kind kind = pool_kind::Engine;
    bool isListed = false;
    std::vector<std::uint32_t> servers; ///< Listed ones.
    std::vector<std::uint32_t> open; ///< Usable ones with room, in no order.
    std::uint32_t usable = 0; ///< Servers that are listed, not leaving and not ejected.
    double usableSlots = 0;
    std::uint32_t sentSinceRefresh = 0;
    double sendRate = 0; ///< Requests a second that this gate sends to the pool.
    double usableSpeed = 0; ///< Slots × speed of the usable servers.
    double meanLoad = 0; ///< Of the usable servers, as a share of their slots.
    double meanOthers = 0; ///< Requests of other gates on a server with a report.
    time_point newestReport;
    time_point refreshedAt;
    double serviceSeconds = 0; ///< Mean time of an attempt; 0 while unknown.
    double secondsPerToken = 0; ///< Mean service time over expected tokens; 0 while unknown.
};

/** The servers and pools. Rows stay where they are; indexes are valid for the life of the table. */
class server_table
{
public:
    server_table(const scheduler_options &options, std::uint64_t seed);

    /** Takes over a document. @return true if any pool's set of servers changed */
    bool applyDocument(time_point now, const fleet_document &document, std::span<const server_id> leaving, const zone_id &ownZone);
    /** Returns the index of a server, or noIndex. */
    std::uint32_t findServer(const server_id &id) const;
    /** Returns the index of a pool, or noIndex. */
    std::uint32_t findPool(const pool_id &id) const;
    const server_row &server(std::uint32_t index) const
    {
        return m_servers[index];
    }
    const pool_row &pool(std::uint32_t index) const
    {
        return m_pools[index];
    }
    std::size_t serverCount() const
    {
        return m_servers.size();
    }
    std::size_t poolCount() const
    {
        return m_pools.size();
    }

    /** Takes a load report. @return true if the server came back from silence or ejection */
    bool onLoad(time_point now, std::uint32_t index, const server_load &load, duration reportLag);
    /** Takes the number of requests that all gates have open on the server, as its watcher counted them openTotalLag ago. */
    void onOpenTotal(time_point now, std::uint32_t index, double total);
    /** Notes a request sent to the server. */
    void onSent(time_point now, std::uint32_t index);
    /** Notes that an own request on the server is over, however it ended. */
    void onOver(time_point now, std::uint32_t index);
    /** Notes an answer. @param seconds from sending to the end @param expectedTokens of the request; 0 if not known */
    void onAnswer(time_point now, std::uint32_t index, double seconds, double expectedTokens);
    /** Notes a failure. @return true if the server is ejected because of it */
    bool onFailure(time_point now, std::uint32_t index);
    /** Ends ejections that are due, and recalculates means and speeds of all pools. Linear in the servers; call it some times a second. */
    void refresh(time_point now);

    /** Tells whether new work may go to the server. */
    bool isUsable(const server_row &row) const
    {
        return row.isListed && !row.isHintedLeaving && !row.isReportedLeaving && !row.isEjected;
    }
    /**
     * Returns the probability with which the server should accept a request drawn for it: falls with its load against the pool's mean, over a width as large as
     * the load that is renewed within the age of a report; falls with slowness; and is low after a return and while its reports stay away.
     */
    double acceptance(time_point now, const server_row &row, bool isForPrefix) const;
    /**
     * Tells whether this gate may send one more request to the server for the sake of its prefixes: such requests stay below a little more than the server's
     * part of the gate's rate. The more frequent the prefix (@p frequency 0 to 1),
     * the earlier it has to go elsewhere: it finds its prefix on other servers, while a rare one does not. All gates keep this bound, so the server gets no
     * more than that from all of them, however late its reports are.
     */
    bool hasAffinityToken(time_point now, std::uint32_t index, double frequency);
    /** Returns how many requests the server may hold while its reserve for customers below their share stays free. */
    double limitWithReserve(const server_row &row) const
    {
        return row.slots * (1 - m_options.reservedShare);
    }
    /** Tells whether this gate may use room on the server that all gates with waiting requests see: each takes its part of it. */
    bool hasOwnRoom(const server_row &row, bool leavesReserve) const;
    /** Sets how many gates there are. */
    void setGates(std::uint32_t gates)
    {
        m_gates = gates;
    }
    /** Returns the standard deviation of the real load around load(): what others' arrivals and ends since the report may have changed. */
    double uncertainty(time_point now, const server_row &row) const;
    /** Returns how many requests the server may hold before it counts as full. */
    double limit(const server_row &row) const
    {
        return row.slots * (1 + m_options.queueAllowance);
    }

private:
    void updateOpen(std::uint32_t index);
    void refreshPool(time_point now, pool_row &pool);
    void refreshSpeeds(pool_row &pool);
    bool mayEject(const pool_row &pool) const;
    std::uint32_t addPool(const pool_id &id);
    std::uint32_t addServer(const server_id &id);
    double trust(time_point now, const server_row &row) const;
    void refillAffinity(time_point now, server_row &row) const;
    bool isCounted(time_point now, const server_row &row) const;
    void setTotal(time_point now, server_row &row, double total, duration lag);
    double renewedLoad(time_point now, const server_row &row) const;
    bool isQuiet(time_point now, const server_row &row) const;

    const scheduler_options &m_options;
    random_source m_random;
    std::uint32_t m_gates = 1;
    std::vector<server_row> m_servers;
    std::vector<pool_row> m_pools;
    std::unordered_map<server_id, std::uint32_t> m_serverIndex;
    std::unordered_map<pool_id, std::uint32_t> m_poolIndex;
    std::vector<double> m_paces; ///< Scratch for medians.
};

} // namespace reedtrail
