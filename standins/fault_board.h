/**
 * @file
 * Faults that a stand-in is ordered to cause, and the exchange wrapper that causes them.
 *
 *     POST /fault {"kind": "slow", "forMs": 3000, "delayMs": 200, "path": "/v3/kv"}
 *
 * A fault lasts `forMs` (default: until `{"kind": "none"}`), hits the requests whose path starts with `path` (default: all) and each of them with
 * probability `chance` (default 1). The names of harness/fault.h that make sense for a server are accepted beside the short ones.
 */
#pragma once

#include "base/failure.h"
#include "base/random.h"
#include "base/time.h"
#include "net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** What a stand-in can do wrong. */
enum class stand_in_fault : std::uint8_t {
    None, ///< Ends all faults.
    Crash, ///< The process ends at once.
    Hang, ///< Requests are taken and answered only after the fault has ended.
    Slow, ///< Requests are handled after a delay.
    Silent, ///< All exchanges open now carry nothing more, for good; new ones work.
    Down, ///< Connections are closed without an answer, and nothing is done.
    LostAnswer, ///< The request is done and its answer is lost.
    RefuseNotStarted, ///< Answered 503 with Reedtrail-Not-Started: 1.
    WatchDropped, ///< Streams stay open and report nothing more.
    ReportLag, ///< Load reports and cache events come `delayMs` late.
    ReportGap, ///< Cache events are missing.
    SwapPartway, ///< A weight switch ends with part of the server on the new version.
    Leaving, ///< The server says that it is leaving.
};

/** One order. */
struct fault_order
{
    stand_in_fault kind = stand_in_fault::None;
    time_point until = timeNever;
    duration delay{};
    double chance = 1;
    std::string path; ///< Prefix of the paths hit; empty for all.
};

/** Reads an order. @return the order, or BadRequest naming what is allowed */
result<fault_order> parseFaultOrder(std::string_view body, time_point now);

/** The orders in force. Everything runs on the thread of the io_context. */
class fault_board
{
public:
    fault_board(boost::asio::io_context &io, std::uint64_t seed);

    /** Takes an order. */
    void take(const fault_order &order);
    /** Tells whether a fault of @p kind hits @p path now; draws its chance. */
    bool hits(stand_in_fault kind, std::string_view path = "");
    /** Returns the delay of the fault of @p kind in force, or zero. */
    duration delayOf(stand_in_fault kind, std::string_view path = "");
    /** Hands @p exchange to @p next in the way the faults in force demand, or not at all. */
    void pass(std::shared_ptr<http_exchange> exchange, const http_server::handler &next);
    /** Number of Silent orders so far; an exchange begun before the newest one is silent. */
    std::uint64_t silentCount() const
    {
        return m_silentCount;
    }

private:
    const fault_order *find(stand_in_fault kind, std::string_view path);
    void later(duration delay, std::shared_ptr<http_exchange> exchange, const http_server::handler &next);

    boost::asio::io_context &m_io;
    random_source m_random;
    std::vector<fault_order> m_orders;
    std::uint64_t m_silentCount = 0;
};

/** Returns the time on this process's monotonic clock. */
time_point standInNow();

} // namespace reedtrail
