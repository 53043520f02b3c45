// A request that arrives while the slots and the queue are full is refused with the field Reedtrail-Not-Started, the only refusal that a caller may retry.

#include "standins/plain_service.h"

#include "standins/subcommands.h"

namespace reedtrail {

void addServiceOptions(command_line &line)
{
    line.option("name", "ID", "Id of this server in its answers (service)");
    line.option("slots", "N", "Requests run at once (16)");
    line.option("maximum-waiting", "N", "Requests queued before it refuses (256)");
    line.option("latency-ms", "MS", "Median time of a request (5)");
    line.option("latency-sigma", "S", "Shape of the lognormal time (0.3)");
}

plain_service::plain_service(stand_in_context &context, std::function<nlohmann::json(const http_request &)> answer)
    : m_io(context.io)
    , m_faults(context.faults)
    , m_random(context.seed)
    , m_answer(std::move(answer))
    , m_name(context.options.value("name", "service"))
    , m_slots(static_cast<std::size_t>(context.numbers.integer("slots", 16, 1, 100000)))
    , m_maximumWaiting(static_cast<std::size_t>(context.numbers.integer("maximum-waiting", 256, 0, 1000000)))
    , m_latencyMs(context.numbers.number("latency-ms", 5, 0, 600000))
    , m_sigma(context.numbers.number("latency-sigma", 0.3, 0, 5))
{
}

void plain_service::handle(const std::shared_ptr<http_exchange> &exchange)
{
    const std::string_view path = exchange->request().path();
    if (path == "/record") {
        respondJson(exchange, 200, record());
    } else if (path == "/load") {
        respondJson(exchange, 200, load());
    } else {
        admit(exchange);
    }
}

void plain_service::admit(const std::shared_ptr<http_exchange> &exchange)
{
    if (m_running < m_slots) {
        run(exchange);
        return;
    }
    if (m_waiting.size() < m_maximumWaiting) {
        m_waiting.push_back(exchange);
        return;
    }
    ++m_refused;
    http_response refusal = jsonResponse(503, R"({"error":"not started"})");
    refusal.fields.set("Reedtrail-Not-Started", "1");
    exchange->respond(std::move(refusal));
}

void plain_service::run(const std::shared_ptr<http_exchange> &exchange)
{
    ++m_running;
    const double milliseconds = m_latencyMs == 0 ? 0 : m_random.lognormal(m_latencyMs, m_sigma);
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, fromSeconds(milliseconds / 1000));
    timer->async_wait([this, timer, exchange](const boost::system::error_code &) {
        complete(exchange);
    });
}

void plain_service::complete(const std::shared_ptr<http_exchange> &exchange)
{
    --m_running;
    const http_request &request = exchange->request();
    if (!request.body.empty()) {
        request_record &entry = m_records[request.body];
        ++entry.runs;
        if (entry.key.empty()) {
            entry.key = std::string(request.fields.get("Idempotency-Key"));
        }
        entry.path = request.target;
    }
    http_response response = jsonResponse(200, m_answer(request).dump() + "\n");
    response.fields.set("Reedtrail-Stand-In", m_name);
    exchange->respond(std::move(response));
    startQueued();
}

void plain_service::startQueued()
{
    while (!m_waiting.empty() && m_running < m_slots) {
        const std::shared_ptr<http_exchange> next = m_waiting.front();
        m_waiting.pop_front();
        if (!next->isGone()) {
            run(next);
        }
    }
}

nlohmann::json plain_service::load()
{
    const bool isLeaving = m_faults.shouldInject(stand_in_fault::Leaving);
    return {
        { "server", m_name }, { "waiting", m_waiting.size() }, { "running", m_running }, { "slots", m_slots }, { "state", isLeaving ? "leaving" : "ready" }
    };
}

nlohmann::json plain_service::record() const
{
    nlohmann::json requests = nlohmann::json::array();
    for (const auto &[body, entry] : m_records) {
        requests.push_back({ { "body", body }, { "key", entry.key }, { "path", entry.path }, { "runs", entry.runs } });
    }
    return { { "server", m_name }, { "refused", m_refused }, { "requests", requests } };
}

int runPlainService(int argc, char **argv)
{
    command_line line("reedtrail-standin service", "Stands in for a plain service: any path, answers with an echo of the request.");
    addServiceOptions(line);
    return runStandIn(line, argc, argv, [](stand_in_context &context) {
        return std::make_unique<plain_service>(context, [name = context.options.value("name", "service")](const http_request &request) {
            return nlohmann::json{ { "server", name }, { "method", request.method }, { "path", request.target }, { "echo", request.body } };
        });
    });
}

} // namespace reedtrail
