// PUT /v1/vms replaces the list. GET /v1/vms serves the list with a fixed replication lag.

#include "standins/standin_host.h"
#include "standins/subcommands.h"

#include <deque>

namespace reedtrail {
namespace {

/** Keeps the published lists that may still be visible to readers. */
class vm_list_stand_in : public stand_in
{
public:
    explicit vm_list_stand_in(stand_in_context &context)
        : m_lag(std::chrono::milliseconds(context.numbers.integer("lag-ms", 0, 0, 3600000)))
    {
        m_versions.push_back({ steadyNow() - m_lag, { { "vms", nlohmann::json::array() } } });
    }

    void handle(const std::shared_ptr<http_exchange> &exchange) override
    {
        const http_request &request = exchange->request();
        if (request.path() == "/record") {
            respondJson(exchange, 200, { { "reads", m_reads }, { "newest", m_versions.back().body } });
        } else if (request.path() != "/v1/vms") {
            respondJson(exchange, 404, { { "error", "no such call" } });
        } else if (request.method == "PUT") {
            publishList(exchange);
        } else {
            ++m_reads;
            respondJson(exchange, 200, visibleList());
        }
    }

private:
    struct list_version
    {
        time_point publishedAt;
        nlohmann::json body;
    };

    void publishList(const std::shared_ptr<http_exchange> &exchange)
    {
        const std::optional<nlohmann::json> body = bodyOf(exchange);
        if (!body) {
            return;
        }
        if (!body->contains("vms") || !(*body)["vms"].is_array()) {
            respondJson(exchange, 400, { { "error", "the body must be {\"vms\": [...]}" } });
            return;
        }
        m_versions.push_back({ steadyNow(), *body });
        respondJson(exchange, 200, nlohmann::json::object());
    }

    const nlohmann::json &visibleList()
    {
        const time_point newestVisible = steadyNow() - m_lag;
        while (m_versions.size() > 1 && m_versions[1].publishedAt <= newestVisible) {
            m_versions.pop_front();
        }
        return m_versions.front().body;
    }

    duration m_lag;
    std::deque<list_version> m_versions;
    std::uint64_t m_reads = 0;
};

} // namespace

int runVmList(int argc, char **argv)
{
    command_line line("reedtrail-standin vm-list", "Stands in for the platform's list of VMs: GET and PUT /v1/vms.");
    line.option("lag-ms", "MS", "How late a change shows (0)");
    return runStandIn(line, argc, argv, [](stand_in_context &context) {
        return std::make_unique<vm_list_stand_in>(context);
    });
}

} // namespace reedtrail
