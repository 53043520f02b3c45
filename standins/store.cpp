// Serves the in-memory store over HTTP. A watch is a chunked response with one JSON object on each line; a timer expires leases. GET /record reports the
// number of open watches beside the calls, because the platform counts an open watch as a call.

#include "standins/standin_host.h"
#include "standins/store_model.h"
#include "standins/subcommands.h"

#include <boost/asio/steady_timer.hpp>

namespace reedtrail {
namespace {

constexpr duration leaseCheckInterval = std::chrono::milliseconds(100);

/** HTTP front end of the in-memory store. */
class store_stand_in : public stand_in
{
public:
    explicit store_stand_in(stand_in_context &context)
        : m_faults(context.faults)
        , m_timer(context.io)
    {
        checkLeases();
    }

    void handle(const std::shared_ptr<http_exchange> &exchange) override
    {
        const std::string_view path = exchange->request().path();
        if (path == "/record") {
            respondJson(exchange, 200, record());
            return;
        }
        const std::optional<nlohmann::json> body = bodyOf(exchange);
        if (!body) {
            return;
        }
        if (path == "/v3/watch") {
            beginWatch(exchange, *body);
            return;
        }
        const store_response answer = call(path, *body);
        flushWatches();
        respondJson(exchange, static_cast<std::uint16_t>(answer.status), answer.body);
    }

private:
    store_response call(std::string_view path, const nlohmann::json &body)
    {
        const time_point now = steadyNow();
        if (path == "/v3/kv/range") {
            return m_model.range(body);
        }
        if (path == "/v3/kv/txn") {
            return m_model.transaction(body);
        }
        if (path == "/v3/kv/put") {
            return m_model.put(body);
        }
        if (path == "/v3/kv/deleterange") {
            return m_model.deleteRange(body);
        }
        if (path == "/v3/kv/compaction") {
            return m_model.compact(body);
        }
        if (path == "/v3/lease/grant") {
            return m_model.grantLease(body, now);
        }
        if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke") {
            return m_model.revokeLease(body);
        }
        if (path == "/v3/lease/keepalive") {
            return m_model.keepLeaseAlive(body, now);
        }
        if (path == "/v3/lease/timetolive" || path == "/v3/kv/lease/timetolive") {
            return m_model.leaseTimeToLive(body, now);
        }
        return { 404, { { "error", "no such call" } } };
    }

    void beginWatch(const std::shared_ptr<http_exchange> &exchange, const nlohmann::json &body)
    {
        const std::uint64_t watchId = m_model.watch(body);
        exchange->startStream({ 200, { { "Content-Type", "application/json" } }, "" });
        exchange->onGone([this, watchId] {
            m_model.cancelWatch(watchId);
            m_streams.erase(watchId);
        });
        m_streams[watchId] = exchange;
        flushWatches();
    }

    void flushWatches()
    {
        for (const watch_batch &batch : m_model.takeWatchBatches()) {
            const auto stream = m_streams.find(batch.watch);
            if (stream == m_streams.end() || m_faults.shouldInject(stand_in_fault::WatchDropped)) {
                continue;
            }
            stream->second->write(nlohmann::json{ { "result", batch.result } }.dump() + "\n");
            if (batch.result.value("canceled", false)) {
                stream->second->finishStream();
                m_streams.erase(stream);
            }
        }
    }

    void checkLeases()
    {
        m_model.expireLeases(steadyNow());
        flushWatches();
        m_timer.expires_after(leaseCheckInterval);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                checkLeases();
            }
        });
    }

    nlohmann::json record() const
    {
        const store_counts &counts = m_model.counts();
        return { { "revision", m_model.revision() },  { "ranges", counts.ranges },   { "transactions", counts.transactions },
                 { "leaseCalls", counts.leaseCalls }, { "watches", counts.watches }, { "watchesOpen", m_model.watchesOpen() } };
    }

    fault_board &m_faults;
    boost::asio::steady_timer m_timer;
    store_model m_model;
    std::map<std::uint64_t, std::shared_ptr<http_exchange>> m_streams;
};

} // namespace

int runStore(int argc, char **argv)
{
    command_line line("reedtrail-standin store", "Stands in for the platform's store, in the JSON form of etcd v3.");
    return runStandIn(line, argc, argv, [](stand_in_context &context) {
        return std::make_unique<store_stand_in>(context);
    });
}

} // namespace reedtrail
