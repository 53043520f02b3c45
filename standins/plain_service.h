/**
 * @file
 * Base of the stand-ins for plain services and scorers: slots, queue, latency and request records.
 */
#pragma once

#include "base/random.h"
#include "standins/standin_host.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>

namespace reedtrail {

/** Adds the command-line options that plain_service reads. */
void addServiceOptions(command_line &line);

/**
 * A service with a fixed number of slots and a bounded queue; the service time of a request is lognormal. Requests with a body are recorded by body, with
 * their first Idempotency-Key and the number of times they ran. A request counts as run when its service time is over, even if its caller has disconnected.
 */
class plain_service : public stand_in
{
public:
    /** @param answer returns the response body for a request that has run */
    plain_service(stand_in_context &context, std::function<nlohmann::json(const http_request &request)> answer);
    void handle(const std::shared_ptr<http_exchange> &exchange) override;

private:
    void admit(const std::shared_ptr<http_exchange> &exchange);
    void run(const std::shared_ptr<http_exchange> &exchange);
    void complete(const std::shared_ptr<http_exchange> &exchange);
    void startQueued();
    nlohmann::json load();
    nlohmann::json record() const;

    struct request_record
    {
        std::uint64_t runs = 0;
        std::string key;
        std::string path;
    };

    boost::asio::io_context &m_io;
    fault_board &m_faults;
    random_source m_random;
    std::function<nlohmann::json(const http_request &)> m_answer;
    std::string m_name;
    std::size_t m_slots;
    std::size_t m_maximumWaiting;
    double m_latencyMs;
    double m_sigma;
    std::size_t m_running = 0;
    std::deque<std::shared_ptr<http_exchange>> m_waiting;
    std::map<std::string, request_record> m_records; ///< Records by request body.
    std::uint64_t m_refused = 0;
};

} // namespace reedtrail
