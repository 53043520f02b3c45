// Downloads are limited by a token bucket of bytes; a shard that exceeds the available bytes is refused with 429. The newest version of a run never
// decreases. GET /record reports the largest number of bytes served in a one-second window, so that tests can compare it with the rate limit.

#include "standins/standin_host.h"
#include "standins/subcommands.h"

#include <algorithm>
#include <map>

namespace reedtrail {
namespace {

constexpr std::string_view modelsPrefix = "/v1/models/";

/** Splits a path at its slashes. */
std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> parts;
    while (!path.empty()) {
        const std::size_t end = path.find('/');
        parts.emplace_back(path.substr(0, end));
        path.remove_prefix(end == std::string_view::npos ? path.size() : end + 1);
    }
    return parts;
}

/** HTTP front end of the rate-limited weight store. */
class weight_store_stand_in : public stand_in
{
public:
    explicit weight_store_stand_in(stand_in_context &context)
        : m_bytesPerSecond(context.numbers.number("bytes-per-second", 1e9, 1, 1e15))
        , m_shardBytes(context.numbers.number("shard-bytes", 1e8, 1, 1e15))
        , m_availableBytes(std::max(m_bytesPerSecond, m_shardBytes))
        , m_refilledAt(steadyNow())
    {
    }

    void handle(const std::shared_ptr<http_exchange> &exchange) override
    {
        const std::string_view path = exchange->request().path();
        if (path == "/record") {
            respondJson(exchange, 200, { { "versions", m_newest }, { "shards", m_shardsServed }, { "refused", m_refused }, { "peakBytes", m_peakBytes } });
            return;
        }
        if (!path.starts_with(modelsPrefix)) {
            respondJson(exchange, 404, { { "error", "no such call" } });
            return;
        }
        const std::vector<std::string> parts = splitPath(path.substr(modelsPrefix.size()));
        if (parts.size() == 2 && parts[1] == "latest") {
            latest(exchange, parts[0]);
        } else if (parts.size() == 3 && parts[1] == "versions" && exchange->request().method == "PUT") {
            publish(exchange, parts[0], std::strtoull(parts[2].c_str(), nullptr, 10));
        } else if (parts.size() == 4 && parts[1] == "versions" && parts[3] == "shard") {
            shard(exchange, parts[0], std::strtoull(parts[2].c_str(), nullptr, 10));
        } else {
            respondJson(exchange, 404, { { "error", "no such call" } });
        }
    }

private:
    void latest(const std::shared_ptr<http_exchange> &exchange, const std::string &run)
    {
        const auto found = m_newest.find(run);
        respondJson(exchange, 200, { { "run", run }, { "version", found == m_newest.end() ? 0 : found->second } });
    }

    void publish(const std::shared_ptr<http_exchange> &exchange, const std::string &run, std::uint64_t version)
    {
        std::uint64_t &newest = m_newest[run];
        newest = std::max(newest, version);
        respondJson(exchange, 200, { { "run", run }, { "version", newest } });
    }

    void shard(const std::shared_ptr<http_exchange> &exchange, const std::string &run, std::uint64_t version)
    {
        const auto found = m_newest.find(run);
        if (found == m_newest.end() || version > found->second) {
            respondJson(exchange, 404, { { "error", "no such version" } });
            return;
        }
        if (!tryTakeShard()) {
            ++m_refused;
            http_response refusal = jsonResponse(429, R"({"error":"over the rate"})");
            refusal.fields.set("Retry-After", "1");
            exchange->respond(std::move(refusal));
            return;
        }
        ++m_shardsServed;
        respondJson(exchange, 200, { { "run", run }, { "version", version }, { "bytes", m_shardBytes } });
    }

    /** Takes the bytes of one shard from the token bucket. @return false if too few bytes are available */
    bool tryTakeShard()
    {
        const time_point now = steadyNow();
        const double limit = std::max(m_bytesPerSecond, m_shardBytes);
        m_availableBytes = std::min(limit, m_availableBytes + m_bytesPerSecond * toSeconds(now - m_refilledAt));
        m_refilledAt = now;
        if (now - m_windowStart >= std::chrono::seconds(1)) {
            m_windowStart = now;
            m_windowBytes = 0;
        }
        if (m_availableBytes < m_shardBytes) {
            return false;
        }
        m_availableBytes -= m_shardBytes;
        m_windowBytes += m_shardBytes;
        m_peakBytes = std::max(m_peakBytes, m_windowBytes);
        return true;
    }

    double m_bytesPerSecond;
    double m_shardBytes;
    double m_availableBytes;
    time_point m_refilledAt;
    time_point m_windowStart{};
    double m_windowBytes = 0;
    double m_peakBytes = 0;
    std::map<std::string, std::uint64_t> m_newest;
    std::uint64_t m_shardsServed = 0;
    std::uint64_t m_refused = 0;
};

} // namespace

int runWeightStore(int argc, char **argv)
{
    command_line line("reedtrail-standin weight-store", "Stands in for the platform's rate-limited weight store.");
    line.option("bytes-per-second", "N", "Rate that all engines together may draw (1e9)");
    line.option("shard-bytes", "N", "Size of a version's shard (1e8)");
    return runStandIn(line, argc, argv, [](stand_in_context &context) {
        return std::make_unique<weight_store_stand_in>(context);
    });
}

} // namespace reedtrail
