/**
 * @file
 * Fault injection for stand-ins: parses fault orders and applies the active faults to HTTP requests.
 *
 *     POST /fault {"kind": "slow", "forMs": 3000, "delayMs": 200, "path": "/v3/kv"}
 *
 * A fault lasts `forMs` milliseconds (default: until `{"kind": "none"}`) and affects each request whose path starts with `path` (default: all) with
 * probability `chance` (default 1). Besides the short names, those fault names of harness/fault.h that apply to a server are accepted.
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

/** Kinds of faults that a stand-in can inject. */
enum class stand_in_fault : std::uint8_t {
    None, ///< Clears all active faults.
    Crash, ///< The process exits at once.
    Hang, ///< Requests are accepted but handled only after the fault has ended.
    Slow, ///< Requests are handled after `delayMs`.
    Silent, ///< Exchanges that are open now never send another byte (half-open connections); new exchanges work.
    Down, ///< Connections are closed without a response, and the request is not executed.
    LostAnswer, ///< The request is executed and its response is lost.
    RefuseNotStarted, ///< Requests are answered with 503 and the field Reedtrail-Not-Started: 1.
    WatchDropped, ///< Watch streams stay open but receive no more events.
    ReportLag, ///< Load reports and cache events are delayed by `delayMs`.
    ReportGap, ///< Cache events are omitted.
    SwapPartway, ///< A weight switch fails partway, so that the version in use is unknown.
    Leaving, ///< Load reports announce that the server is leaving.
};

/** One injected fault. */
struct fault_order
{
    stand_in_fault kind = stand_in_fault::None;
    time_point until = timeNever;
    duration delay{};
    double chance = 1;
    std::string path; ///< Prefix of the affected paths; empty for all paths.
};

/** Parses the body of POST /fault. @return the order, or BadRequest with the allowed names or fields */
result<fault_order> parseFaultOrder(std::string_view body, time_point now);

/** The active faults. All calls are made on the thread of the io_context. */
class fault_board
{
public:
    fault_board(boost::asio::io_context &io, std::uint64_t seed);

    /** Activates a fault, or clears all for the kind None. */
    void apply(const fault_order &order);
    /** Returns whether a fault of @p kind affects a request for @p path now; samples its probability. */
    bool shouldInject(stand_in_fault kind, std::string_view path = "");
    /** Returns the delay of the active fault of @p kind, or zero if there is none. */
    duration delayOf(stand_in_fault kind, std::string_view path = "");
    /** Passes @p exchange to @p next as the active faults require: at once, delayed, with its response suppressed, or not at all. */
    void dispatch(std::shared_ptr<http_exchange> exchange, const http_server::handler &next);
    /** Returns the number of Silent faults so far; an exchange that began before the newest one stays silent. */
    std::uint64_t silentCount() const
    {
        return m_silentCount;
    }

private:
    const fault_order *find(stand_in_fault kind, std::string_view path);
    void dispatchAfter(duration delay, std::shared_ptr<http_exchange> exchange, const http_server::handler &next);

    boost::asio::io_context &m_io;
    random_source m_random;
    std::vector<fault_order> m_orders;
    std::uint64_t m_silentCount = 0;
};

/** Returns the time on this process's monotonic clock. */
time_point steadyNow();

} // namespace reedtrail
