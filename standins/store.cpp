// Serves the store model over HTTP. Watches are chunked streams of one JSON object a line; leases expire by a timer. The count of open watches is shown
// with the calls, since the platform counts a waiting watch as one.

#include "standins/standin_host.h"
#include "standins/store_model.h"
#include "standins/subcommands.h"

#include <boost/asio/steady_timer.hpp>

namespace reedtrail {
namespace {

constexpr duration leaseCheckInterval = std::chrono::milliseconds(100);

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
        const store_answer answer = call(path, *body);
        flushWatches();
        respondJson(exchange, static_cast<std::uint16_t>(answer.status), answer.body);
    }

private:
    store_answer call(std::string_view path, const nlohmann::json &body)
    {
        const time_point now = standInNow();
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
        const std::uint64_t number = m_model.watch(body);
        exchange->startStream({ 200, { { "Content-Type", "application/json" } }, "" });
        exchange->onGone([this, number] {
            m_model.unwatch(number);
            m_streams.erase(number);
        });
        m_streams[number] = exchange;
        flushWatches();
    }

    void flushWatches()
    {
        for (const watch_batch &batch : m_model.takeWatchBatches()) {
            const auto stream = m_streams.find(batch.watch);
            if (stream == m_streams.end() || m_faults.hits(stand_in_fault::WatchDropped)) {
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
        m_model.expireLeases(standInNow());
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
