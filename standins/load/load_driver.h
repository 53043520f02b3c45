/**
 * @file
 * Sends the load: arrivals at random with the given rates, each caller with its own way of sending again.
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

/** The driver. Everything runs on the thread of the io_context. */
class load_driver
{
public:
    load_driver(boost::asio::io_context &io, const load_options &options, load_ledger &ledger);

    /** Begins. @param done runs when the time is over and every operation has ended */
    void start(std::function<void()> done);
    /** Returns operations begun so far and under way. */
    std::uint64_t begun() const
    {
        return m_sequence;
    }
    std::uint64_t underWay() const
    {
        return m_underWay;
    }

private:
    struct order;
    using after_attempt = std::function<void(const load_attempt &attempt)>;

    void scheduleNext(caller_kind kind);
    void begin(caller_kind kind);
    void sendNote();
    void sendSummary();
    void sendProof();
    void takeTicket(const std::shared_ptr<order> &each);
    void sendOrder(const std::shared_ptr<order> &each, std::size_t gate);
    void orderEnded(const std::shared_ptr<order> &each, const load_attempt &attempt);
    void later(duration delay, std::function<void()> action);
    void endOperation();

    const load_caller &caller(caller_kind kind) const
    {
        return m_options.callers[static_cast<std::size_t>(kind)];
    }
    const load_customer &someCustomer();
    std::size_t someGate();
    std::size_t otherGate(std::size_t gate);
    std::string nextKey(caller_kind kind, const load_customer &customer);
    http_request baseRequest(caller_kind kind, const load_customer &customer, std::string target, std::string body) const;
    load_attempt judge(caller_kind kind, const http_call_end &end, const http_response &response, time_point began) const;

    boost::asio::io_context &m_io;
    const load_options &m_options;
    load_ledger &m_ledger;
    http_client m_client;
    random_source m_random;
    time_point m_end;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_underWay = 0;
    std::uint64_t m_arrivalsOpen = 0;
    std::function<void()> m_done;
    std::set<std::shared_ptr<boost::asio::steady_timer>> m_timers;
};

} // namespace reedtrail
