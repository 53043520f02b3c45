/**
 * @file
 * Generates the load: operations of each caller kind arrive as a Poisson process, and each kind has its own retry policy.
 */
#pragma once

#include "base/random.h"
#include "net/http_client.h"
#include "standins/load/load_ledger.h"
#include "standins/load/load_options.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace reedtrail {

/** Load generator. All calls are made on the thread of the io_context. */
class load_driver
{
public:
    load_driver(boost::asio::io_context &io, const load_options &options, load_ledger &ledger);

    /** Starts the load. @param done is called when the load duration is over and every operation has ended */
    void start(std::function<void()> done);
    /** Returns the number of operations started so far. */
    std::uint64_t operationsBegun() const
    {
        return m_lastSequence;
    }
    /** Returns the number of operations that have not ended yet. */
    std::uint64_t operationsInFlight() const
    {
        return m_operationsInFlight;
    }

private:
    struct proof_operation;
    using after_attempt = std::function<void(const load_attempt &attempt)>;

    void scheduleNext(caller_kind kind);
    void beginOperation(caller_kind kind);
    void sendNote();
    void sendSummary();
    void startProof();
    void requestTicket(const std::shared_ptr<proof_operation> &operation);
    void sendProofAttempt(const std::shared_ptr<proof_operation> &operation, std::size_t gate);
    void onProofAttemptEnded(const std::shared_ptr<proof_operation> &operation, const load_attempt &attempt);
    void runAfter(duration delay, std::function<void()> action);
    void endOperation();

    const load_caller &caller(caller_kind kind) const
    {
        return m_options.callers[static_cast<std::size_t>(kind)];
    }
    const load_customer &randomCustomer();
    std::size_t randomGate();
    std::size_t otherGate(std::size_t gate);
    std::string nextKey(caller_kind kind, const load_customer &customer);
    http_request baseRequest(caller_kind kind, const load_customer &customer, std::string target, std::string body) const;
    load_attempt classifyAttempt(caller_kind kind, const http_call_end &end, const http_response &response, time_point startedAt) const;

    boost::asio::io_context &m_io;
    const load_options &m_options;
    load_ledger &m_ledger;
    http_client m_client;
    random_source m_random;
    time_point m_end;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_operationsInFlight = 0;
    std::uint64_t m_activeArrivals = 0;
    std::function<void()> m_done;
    std::set<std::shared_ptr<boost::asio::steady_timer>> m_timers;
};

} // namespace reedtrail
