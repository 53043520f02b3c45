/**
 * @file
 * State of each backend server as one gate knows it: load, version, health and speed.
 *
 * Load reports arrive late. The table keeps the load that other gates cause according to the last report, and adds this gate's own open requests, which it
 * knows exactly:
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

/** Number of requests that this gate had open on a server in the recent past; keeps the last 16 changes. */
class open_request_history
{
public:
    /** Records that @p open requests are open from @p now on. */
    void note(time_point now, std::int32_t open);
    /** Returns how many requests were open at @p when; the oldest known number if that is before the first recorded change. */
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

/** State of one backend server. */
struct server_row
{
    server_id id;
    std::uint32_t pool = noIndex; ///< Index of its pool.
    bool isListed = false; ///< Whether the fleet document names the server.
    bool isOwnZone = false; ///< Whether the server is in this gate's availability zone.
    bool isMarkedLeaving = false; ///< Whether the document, the VM list or a peer says that the server is leaving.
    bool isReportedLeaving = false; ///< Whether its own last report says that the server is leaving.
    bool isVersionUnknown = false;
    bool hasReport = false; ///< Whether any load report has arrived.
    bool isEjected = false;
    weight_version version = 0;
    double slots = 1; ///< Requests that the server runs concurrently.
    double othersLoad = 0; ///< Requests of other gates on the server, according to the last report or open total.
    std::int32_t ownOpen = 0; ///< Requests of this gate that are open on the server.
    std::int32_t ownOpenAtReport = 0; ///< Requests of this gate that were open when the last report or open total was made.
    double randomRounding = 0; ///< In [0, 1), redrawn with each report: randomly rounds this gate's share of the server's room to a whole number.
    open_request_history history;
    std::uint64_t sequence = 0; ///< Sequence number of the last report.
    time_point reportedAt; ///< Arrival of the last report.
    time_point openTotalAt; ///< Arrival of the watcher's last count of open requests; time 0 if none arrived.
    std::int32_t failuresInRow = 0;
    std::int32_t ejectionsInRow = 0;
    time_point ejectedAt;
    time_point ejectedUntil;
    time_point returnedAt; ///< When the server came back into service and its slow start began; time 0 if it was never out of service.
    double relativeServiceTime = 0; ///< Moving average of service time over expected service time; 0 while unknown.
    std::uint32_t serviceTimeSamples = 0; ///< Number of samples in relativeServiceTime.
    double speed = 1; ///< Median relative service time of the pool over the server's own: 0.33 for a server that takes three times as long.
    double affinityTokens = 0; ///< Token bucket of the requests sent for prefix affinity; refilled at the server's share of the gate's send rate.
    time_point affinityRefilledAt; ///< When affinityTokens were last refilled.
    std::uint32_t availablePosition = noIndex; ///< Position in pool_row::available; noIndex if the server is not in it.

    /** Returns the predicted number of requests on the server. */
    double load() const
    {
        return othersLoad + ownOpen;
    }
};

/** State of one pool. */
struct pool_row
{
    pool_id id;
    pool_kind kind = pool_kind::Engine;
    bool isListed = false; ///< Whether the fleet document names the pool.
    std::vector<std::uint32_t> servers; ///< Indexes of the listed servers.
    std::vector<std::uint32_t> available; ///< Indexes of the usable servers with room, unordered.
    std::uint32_t usableCount = 0; ///< Number of servers that are listed, not leaving and not ejected.
    double usableSlots = 0; ///< Slots of the usable servers.
    std::uint32_t sentSinceRefresh = 0; ///< Requests that this gate sent to the pool since the last refresh.
    double sendRate = 0; ///< Moving average of the requests per second that this gate sends to the pool.
    double effectiveSlots = 0; ///< Sum of slots × speed over the usable servers.
    double meanLoad = 0; ///< Load of the usable servers as a share of their slots.
    double meanOthersLoad = 0; ///< Mean number of requests of other gates on a server with a recent report.
    time_point newestReport; ///< Arrival of the newest load report of any of its servers.
    time_point refreshedAt;
    double serviceSeconds = 0; ///< Moving average of the service time of an attempt; 0 while unknown.
    double secondsPerToken = 0; ///< Moving average of service time over expected tokens; 0 while unknown.
};

/** All servers and pools. Rows never move, so an index stays valid for the life of the table. */
class server_table
{
public:
    server_table(const scheduler_options &options, std::uint64_t seed);

    /** Applies a fleet document. @param leaving servers known to be leaving by other means @return true if the set of servers of any pool changed */
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

    /** Applies a load report. @return true if the server was ejected and its overdue reports have resumed */
    bool onLoad(time_point now, std::uint32_t index, const server_load &load, duration reportLag);
    /** Applies the number of requests that all gates have open on the server, as its watcher counted them openTotalLag ago. */
    void onOpenTotal(time_point now, std::uint32_t index, double total);
    /** Records that this gate sent a request to the server. */
    void onRequestSent(time_point now, std::uint32_t index);
    /** Records that a request of this gate on the server has ended, with any outcome. */
    void onRequestEnded(time_point now, std::uint32_t index);
    /** Records a complete answer. @param seconds time from sending to the end @param expectedTokens expected length of the answer; 0 if unknown */
    void onAnswer(time_point now, std::uint32_t index, double seconds, double expectedTokens);
    /** Records a failed request. @return true if the server is ejected because of it */
    bool onFailure(time_point now, std::uint32_t index);
    /** Ends expired ejections and recalculates the means and speeds of all pools. Linear in the number of servers; to be called several times a second. */
    void refresh(time_point now);

    /** Tells whether the server may get new requests. */
    bool isUsable(const server_row &row) const
    {
        return row.isListed && !row.isMarkedLeaving && !row.isReportedLeaving && !row.isEjected;
    }
    /**
     * Returns the probability with which a request should be sent to the server once it is a candidate. The probability falls linearly as the load rises above
     * the pool's mean, over a width equal to the load turnover within the age of a report. It also falls with the server's slowness, and is low during a slow
     * start and while load reports are overdue.
     * @param isForPrefix whether the server is a candidate because of the request's prefix; it may then be loaded beyond its slots
     */
    double acceptanceProbability(time_point now, const server_row &row, bool isForPrefix) const;
    /**
     * Tells whether this gate may send one more request to the server because of the request's prefix. A token bucket limits such requests to slightly more
     * than the server's share of the gate's send rate. All gates keep this limit, so it bounds the total rate at the server even if its reports are late.
     * @param frequency 0 for a rare prefix to 1 for a frequent one; a frequent prefix is turned away with more tokens left, because other servers cache it too
     */
    bool hasAffinityToken(time_point now, std::uint32_t index, double frequency);
    /** Returns how many requests the server may hold while the reserve for customers below their share stays free. */
    double limitWithReserve(const server_row &row) const
    {
        return row.slots * (1 - m_options.reservedShare);
    }
    /** Tells whether this gate has not used up its equal share of the server's room. All gates with waiting requests see the same room and divide it. */
    bool hasRoomInOwnShare(const server_row &row, bool mustLeaveReserve) const;
    /** Sets the number of gates in the fleet. */
    void setGateCount(std::uint32_t gateCount)
    {
        m_gateCount = gateCount;
    }
    /** Returns the standard deviation of the actual load around load(), caused by arrivals and ends at other gates since the last report. */
    double uncertainty(time_point now, const server_row &row) const;
    /** Returns how many requests the server may hold before it counts as full. */
    double limit(const server_row &row) const
    {
        return row.slots * (1 + m_options.queueAllowance);
    }

private:
    /** Adds the server to its pool's list of available servers, or removes it, according to its state and load. */
    void updateAvailability(std::uint32_t index);
    void refreshPool(time_point now, pool_row &pool);
    void refreshSpeeds(pool_row &pool);
    /** Tells whether one more server of the pool may be ejected. */
    bool mayEject(const pool_row &pool) const;
    std::uint32_t addPool(const pool_id &id);
    std::uint32_t addServer(const server_id &id);
    /** Returns a factor from 0 to 1 for the share of requests that a server gets in a slow start or while its reports are overdue. */
    double confidence(time_point now, const server_row &row) const;
    void refillAffinityTokens(time_point now, server_row &row) const;
    /** Tells whether a watcher's recent count of open requests replaces the server's own load reports. */
    bool hasFreshOpenTotal(time_point now, const server_row &row) const;
    /** Derives the load of other gates from a total. @param lag age of the total on arrival */
    void setTotalLoad(time_point now, server_row &row, double total, duration lag);
    /** Returns the load that the server starts and ends within the age of a report, in requests. */
    double loadTurnover(time_point now, const server_row &row) const;
    /** Tells whether the server's load reports stay away while those of other servers of its pool arrive. */
    bool isReportOverdue(time_point now, const server_row &row) const;

    const scheduler_options &m_options;
    random_source m_random;
    std::uint32_t m_gateCount = 1;
    std::vector<server_row> m_servers;
    std::vector<pool_row> m_pools;
    std::unordered_map<server_id, std::uint32_t> m_serverIndex;
    std::unordered_map<pool_id, std::uint32_t> m_poolIndex;
    std::vector<double> m_relativeServiceTimes; ///< Buffer for the calculation of medians.
};

} // namespace reedtrail
