// A report gets its sequence number when it is requested, so a report that arrives late is older than any report requested after it. A report that names
// another server is dropped: the address now belongs to another VM. A server that does not answer yields no report, and the scheduler ages its last one.

#include "gate/load_poller.h"

#include <nlohmann/json.hpp>

namespace reedtrail {
namespace {

std::int64_t readCount(const nlohmann::json &report, const char *key)
{
    const auto found = report.find(key);
    return found != report.end() && found->is_number_unsigned() ? found->get<std::int64_t>() : 0;
}

} // namespace

std::optional<server_load> readLoadReport(const server_id &server, std::string_view body)
{
    const nlohmann::json report = nlohmann::json::parse(body, nullptr, false);
    if (!report.is_object() || report.value("server", nlohmann::json()) != server.str()) {
        return std::nullopt;
    }
    server_load load;
    load.server = server;
    load.waiting = readCount(report, "waiting");
    load.running = readCount(report, "running");
    load.slots = readCount(report, "slots");
    load.version = static_cast<weight_version>(readCount(report, "weight_version"));
    const nlohmann::json state = report.value("state", nlohmann::json());
    load.isLeaving = state == "leaving";
    load.isVersionUnknown = state == "unknown-version" || state == "swapping";
    return load;
}

load_poller::load_poller(boost::asio::io_context &io, http_client &client, std::uint64_t seed, load_poller_options options, load_handler onLoad)
    : m_io(io)
    , m_client(client)
    , m_random(seed)
    , m_options(options)
    , m_onLoad(std::move(onLoad))
{
}

void load_poller::useSnapshot(const fleet_snapshot &snapshot)
{
    std::erase_if(m_polledServers, [&](const auto &entry) {
        const server_target *target = snapshot.findServer(entry.first);
        return target == nullptr || target->address != entry.second.address;
    });
    for (const auto &[server, target] : snapshot.servers) {
        const auto [entry, isNew] = m_polledServers.try_emplace(server);
        if (isNew) {
            entry->second.address = target.address;
            entry->second.timer = std::make_unique<boost::asio::steady_timer>(m_io);
            schedule(server, duration(static_cast<std::int64_t>(m_random.unit() * static_cast<double>(m_options.period.count()))));
        }
    }
}

void load_poller::stop()
{
    m_polledServers.clear();
    *m_isAlive = false;
}

duration load_poller::nextDelay()
{
    return duration(static_cast<std::int64_t>(static_cast<double>(m_options.period.count()) * m_random.uniform(1 - m_options.jitter, 1 + m_options.jitter)));
}

void load_poller::schedule(const server_id &server, duration delay)
{
    const auto found = m_polledServers.find(server);
    if (found == m_polledServers.end()) {
        return;
    }
    found->second.timer->expires_after(delay);
    found->second.timer->async_wait([this, isAlive = m_isAlive, server](const boost::system::error_code &error) {
        if (!error && *isAlive) {
            poll(server);
        }
    });
}

void load_poller::poll(const server_id &server)
{
    const auto found = m_polledServers.find(server);
    if (found == m_polledServers.end()) {
        return;
    }
    const http_call_options limits{ m_options.timeout, m_options.timeout, m_options.timeout };
    const std::uint64_t sequence = ++m_sequence;
    m_client.call(found->second.address,
                  { "GET", "/load", {}, "" },
                  limits,
                  [this, isAlive = m_isAlive, server, sequence](const http_call_end &end, const http_response &response) {
                      if (!*isAlive) {
                          return;
                      }
                      std::optional<server_load> load =
                          end.error == error_kind::None && response.status == 200 ? readLoadReport(server, response.body) : std::nullopt;
                      if (load && m_polledServers.contains(server)) {
                          load->sequence = sequence;
                          m_onLoad(*load);
                      }
                      schedule(server, nextDelay());
                  });
}

} // namespace reedtrail
