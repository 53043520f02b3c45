/**
 * @file
 * Polls backend servers for their load, each about every 250 ms. Random intervals keep the gates from polling a server at the same time.
 *
 *     load_poller poller(io, client, seed, [&](const server_load &load) { broker.updateLoad(load); });
 *     poller.useSnapshot(snapshot);
 */
#pragma once

#include "base/random.h"
#include "gate/fleet_snapshot.h"
#include "net/http_client.h"
#include "routing/request_scheduler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace reedtrail {

/** Intervals of a poller. */
struct load_poller_options
{
    duration period = std::chrono::milliseconds(250);
    double jitter = 0.2; ///< Largest random deviation of an interval, as a fraction of the period, in either direction.
    duration timeout = std::chrono::seconds(1);
};

/** Parses a load report. @return the load, without its sequence number, or nothing if @p body is not a report of @p server */
std::optional<server_load> readLoadReport(const server_id &server, std::string_view body);

/** Polls the load of all servers in a snapshot; it runs on the thread of its io_context. */
class load_poller
{
public:
    using load_handler = std::function<void(const server_load &load)>;

    load_poller(boost::asio::io_context &io, http_client &client, std::uint64_t seed, load_poller_options options, load_handler onLoad);

    /** Polls exactly the servers of @p snapshot from now on. */
    void useSnapshot(const fleet_snapshot &snapshot);
    /** Stops polling. */
    void stop();
    /** Returns the number of polled servers. */
    std::size_t serverCount() const
    {
        return m_polledServers.size();
    }

private:
    struct polled_server
    {
        endpoint address;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };
    void schedule(const server_id &server, duration delay);
    void poll(const server_id &server);
    duration nextDelay();

    boost::asio::io_context &m_io;
    http_client &m_client;
    random_source m_random;
    load_poller_options m_options;
    load_handler m_onLoad;
    std::map<server_id, polled_server> m_polledServers;
    std::uint64_t m_sequence = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace reedtrail
