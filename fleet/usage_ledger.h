/**
 * @file
 * The requests of customers that began to run lately, as one node knows them: those that it sent itself, and those of nodes that stopped. Pure: no I/O.
 *
 * Load pattern: a few requests a second at each of hundreds of nodes, and one node that needs them all each few seconds. Rows stay here for a while after they
 * were passed on, so that the successor of that node can collect them again.
 *
 *     usage_ledger ledger("node-1/17");
 *     ledger.record(now, "customer-a", beganAt);
 *     usage_answer answer = ledger.answer(now, ask);
 */
#pragma once

#include "base/time.h"
#include "fleet/usage_messages.h"

#include <deque>
#include <map>
#include <string>

namespace reedtrail {

/** Bounds of a usage_ledger. */
struct usage_ledger_options
{
    duration retention = std::chrono::seconds(60); ///< Rows are kept this long; a report is due far earlier.
    std::size_t maxRows = 20'000; ///< Of one origin; the oldest rows go first.
    std::size_t maxOrigins = 64; ///< Processes of which this node holds rows, itself included.
};

/** What one node holds. */
class usage_ledger
{
public:
    /** @param origin identifies this process among all that ever run */
    explicit usage_ledger(std::string origin, usage_ledger_options options = {})
        : m_origin(std::move(origin))
        , m_options(options)
    {
    }

    /** Records that a request of @p customer began to run at @p beganAt. */
    void record(time_point now, const std::string &customer, time_point beganAt);
    /** Takes the rows of another process over. */
    void take(time_point now, const usage_answer &given);
    /** Returns the rows that @p ask lacks. The caller sets the wall clock. */
    usage_answer answer(time_point now, const usage_ask &ask);
    /** Returns the number of rows held. */
    std::size_t size() const;
    /** Returns the number of rows that were dropped because there were too many. */
    std::uint64_t dropped() const
    {
        return m_dropped;
    }

private:
    struct row
    {
        std::string customer;
        time_point beganAt;
        time_point keptUntil;
    };
    struct origin_rows
    {
        std::uint64_t firstNumber = 0; ///< Of the first row in the list.
        std::deque<row> rows;
    };
    void append(time_point now, origin_rows &list, row added);
    void prune(time_point now);

    std::string m_origin;
    usage_ledger_options m_options;
    std::map<std::string, origin_rows> m_origins;
    std::uint64_t m_dropped = 0;
};

} // namespace reedtrail
