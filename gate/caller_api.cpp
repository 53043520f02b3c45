// While the gate drains, an unnamed request (without ticket or idempotency key) is refused here. A named request is not: it may have run before, and only the
// request deduplicator knows whether "not run" would be true. For the same reason an error found in a named request earlier is reported with
// outcome "unknown", unless the request is malformed or too large: such a request never runs anywhere.

#include "gate/caller_api.h"

#include "node/process_host.h"

#include <algorithm>
#include <charconv>

namespace reedtrail {
namespace {

constexpr std::string_view runsPrefix = "/v1/runs/";
constexpr std::string_view pullSuffix = "/pull";

bool isNamed(const http_request &request)
{
    return !request.fields.get("Reedtrail-Ticket").empty() || !request.fields.get("Idempotency-Key").empty();
}

/** Makes the response to an error that was found before the request reached the broker or the request deduplicator. */
http_response admissionError(const http_request &request, const failure &error)
{
    http_response response = errorResponse(error.kind, error.detail);
    const bool neverRuns = error.kind == error_kind::BadRequest || error.kind == error_kind::TooLarge;
    if (isNamed(request) && !neverRuns) {
        response.fields.set("Reedtrail-Outcome", std::string(outcomeText(request_outcome::Unknown)));
    }
    return response;
}

result<std::uint64_t> queryNumber(const http_request &request, std::string_view key, std::uint64_t fallback, std::uint64_t maximum)
{
    const std::string text = request.query(key).value_or("");
    if (text.empty()) {
        return fallback;
    }
    std::uint64_t value = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || rest != text.data() + text.size() || value > maximum) {
        return fail(error_kind::BadRequest, "\"" + std::string(key) + "\" must be a number from 0 to " + std::to_string(maximum));
    }
    return value;
}

/** Forwards all calls to another exchange and reports status and latency of the response; for a stream, those of its head. */
class timed_exchange : public http_exchange
{
public:
    timed_exchange(std::shared_ptr<http_exchange> inner, std::function<void(std::uint16_t, duration)> onAnswered)
        : m_inner(std::move(inner))
        , m_onAnswered(std::move(onAnswered))
        , m_begin(monotonicNow())
    {
    }
    const http_request &request() const override
    {
        return m_inner->request();
    }
    void respond(http_response response) override
    {
        recordStatus(response.status);
        m_inner->respond(std::move(response));
    }
    void startStream(http_response head) override
    {
        recordStatus(head.status);
        m_inner->startStream(std::move(head));
    }
    void write(std::string data) override
    {
        m_inner->write(std::move(data));
    }
    void finishStream() override
    {
        m_inner->finishStream();
    }
    void abort() override
    {
        m_inner->abort();
    }
    void onGone(std::function<void()> action) override
    {
        m_inner->onGone(std::move(action));
    }
    bool isGone() const override
    {
        return m_inner->isGone();
    }

private:
    void recordStatus(std::uint16_t status)
    {
        if (m_onAnswered) {
            m_onAnswered(status, monotonicNow() - m_begin);
        }
    }

    std::shared_ptr<http_exchange> m_inner;
    std::function<void(std::uint16_t, duration)> m_onAnswered;
    time_point m_begin;
};

} // namespace

caller_api::caller_api(
    boost::asio::io_context &io, request_broker &broker, request_deduplicator &deduplicator, caller_api_options options, caller_api_callbacks callbacks)
    : m_io(io)
    , m_broker(broker)
    , m_deduplicator(deduplicator)
    , m_options(options)
    , m_callbacks(std::move(callbacks))
    , m_tokens(options.cachedTokens)
    , m_keepAliveTimer(io)
{
    keepStreamsAlive();
}

caller_api::~caller_api() = default;

void caller_api::useSnapshot(snapshot_pointer snapshot)
{
    const bool isNewDocument = snapshot->revision != m_snapshot->revision;
    m_snapshot = std::move(snapshot);
    if (isNewDocument) {
        m_tokens.load(m_snapshot->document);
    }
}

void caller_api::stop()
{
    m_keepAliveTimer.cancel();
}

void caller_api::handle(std::shared_ptr<http_exchange> exchange)
{
    handleTimed(std::make_shared<timed_exchange>(std::move(exchange), m_callbacks.onAnswered));
}

void caller_api::handleTimed(const std::shared_ptr<http_exchange> &exchange)
{
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        return dispatch(exchange);
    });
    if (error) {
        exchange->respond(admissionError(exchange->request(), *error));
    }
}

result<void> caller_api::dispatch(const std::shared_ptr<http_exchange> &exchange)
{
    const http_request &request = exchange->request();
    BOOST_LEAF_AUTO(customer, authenticate(request));
    const std::string_view path = request.path();
    if (path == "/v1/tickets" && request.method == "POST") {
        return issueTickets(exchange, customer);
    }
    if (path.starts_with(runsPrefix) && path.ends_with(pullSuffix) && request.method == "GET") {
        return pull(exchange, customer);
    }
    if (m_isDraining && !isNamed(request)) {
        return fail(error_kind::Draining, "this gate is shutting down");
    }
    BOOST_LEAF_AUTO(checked, readCallerRequest(request, *m_snapshot, customer, monotonicNow()));
    if (checked.isNamed()) {
        runNamed(exchange, std::move(checked));
    } else {
        runUnnamed(exchange, std::move(checked));
    }
    return {};
}

result<customer_id> caller_api::authenticate(const http_request &request)
{
    const std::optional<customer_id> customer = m_tokens.customerOf(request.fields.get("Authorization"));
    if (!customer) {
        return fail(error_kind::Unauthorized, "Authorization must be \"Bearer TOKEN\" with a customer's token");
    }
    return *customer;
}

void caller_api::runUnnamed(const std::shared_ptr<http_exchange> &exchange, caller_request request)
{
    const request_ids ids = m_callbacks.nextIds();
    const auto writer = std::make_shared<answer_writer>(exchange, ids.publicId, request.isStream);
    request.broker.routing.id = ids.local;
    request.broker.publicId = ids.publicId;
    exchange->onGone([this, id = ids.local] {
        m_broker.cancel(id);
    });
    if (request.isStream) {
        registerStream(writer);
    }
    m_broker.submit(std::move(request.broker), writer->receiver());
}

void caller_api::runNamed(const std::shared_ptr<http_exchange> &exchange, caller_request request)
{
    const auto writer = std::make_shared<answer_writer>(exchange, "", request.isStream);
    named_request_callbacks waiter;
    if (request.isStream) {
        registerStream(writer);
        waiter.onChunk = [writer](const server_id &server, const completion_chunk &chunk) {
            writer->writeChunk(server, chunk);
        };
        waiter.finishStream = [writer](const broker_answer &answer) {
            writer->finish(answer);
        };
    }
    waiter.respond = [writer](http_response response) {
        writer->finishWithResponse(std::move(response));
    };
    const std::uint64_t number = m_deduplicator.submit(std::move(request), exchange->request(), std::move(waiter));
    if (!writer->hasEnded()) {
        exchange->onGone([this, number] {
            m_deduplicator.removeWaiter(number);
        });
    }
}

void caller_api::handleForwarded(forwarded_request message, std::function<void(forwarded_answer answer)> onAnswer)
{
    http_request request;
    request.method = std::move(message.method);
    request.target = std::move(message.target);
    request.body = std::move(message.body);
    for (forwarded_field &field : message.fields) {
        request.fields.set(field.name, std::move(field.value));
    }
    request.fields.set("Reedtrail-Deadline-Ms", std::to_string(message.deadlineMs));
    const auto respond = [onAnswer = std::move(onAnswer)](http_response response) {
        forwarded_answer answer{ response.status, {}, std::move(response.body) };
        for (const http_field &field : response.fields.all()) {
            answer.fields.push_back({ field.name, field.value });
        }
        onAnswer(std::move(answer));
    };
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(checked, readCallerRequest(request, *m_snapshot, message.customer, monotonicNow()));
        if (!checked.isNamed()) {
            return fail(error_kind::BadRequest, "a forwarded request must have a name");
        }
        named_request_callbacks waiter;
        waiter.isForwarded = true;
        waiter.respond = respond;
        m_deduplicator.submit(std::move(checked), request, std::move(waiter));
        return {};
    });
    if (error) {
        respond(admissionError(request, *error));
    }
}

result<void> caller_api::issueTickets(const std::shared_ptr<http_exchange> &exchange, const customer_id &customer)
{
    if (m_isDraining) {
        return fail(error_kind::Draining, "this gate is shutting down");
    }
    BOOST_LEAF_AUTO(count, queryNumber(exchange->request(), "count", 1, m_options.maximumTicketsPerCall));
    nlohmann::json tickets = nlohmann::json::array();
    for (std::uint64_t i = 0; i < std::max<std::uint64_t>(1, count); ++i) {
        std::optional<std::string> ticket = m_deduplicator.issueTicket(customer);
        if (!ticket) {
            return fail(error_kind::CustomerLimit, "too many tickets are outstanding");
        }
        tickets.push_back(std::move(*ticket));
    }
    const nlohmann::json first = tickets.front();
    exchange->respond(jsonResponse(200, nlohmann::json{ { "ticket", first }, { "tickets", std::move(tickets) } }.dump()));
    return {};
}

result<void> caller_api::pull(const std::shared_ptr<http_exchange> &exchange, const customer_id &customer)
{
    const http_request &request = exchange->request();
    const std::string_view path = request.path();
    pull_question question;
    question.run = run_id(std::string(path.substr(runsPrefix.size(), path.size() - runsPrefix.size() - pullSuffix.size())));
    constexpr auto maximumNumber = std::numeric_limits<std::uint64_t>::max();
    BOOST_LEAF_ASSIGN(question.number, queryNumber(request, "number", 1, maximumNumber));
    BOOST_LEAF_ASSIGN(question.have, queryNumber(request, "have", 0, maximumNumber));
    BOOST_LEAF_AUTO(waitMs, queryNumber(request, "waitMs", 0, m_options.maximumPullWaitMs));
    question.waitMs = static_cast<std::int64_t>(waitMs);
    const run_settings *run = m_snapshot->document.findRun(question.run);
    if (run == nullptr || run->customer != customer) {
        return fail(error_kind::NotFound, "this customer has no run \"" + question.run.str() + "\"");
    }
    m_callbacks.pull(question, [exchange](http_response response) {
        exchange->respond(std::move(response));
    });
    return {};
}

void caller_api::registerStream(const std::shared_ptr<answer_writer> &writer)
{
    m_streams.push_back(writer);
}

/** Writes keep-alive comments to idle streams. Checks each open stream several times per period and removes streams that ended. */
void caller_api::keepStreamsAlive()
{
    constexpr int checksPerPeriod = 4;
    m_keepAliveTimer.expires_after(m_options.keepAlivePeriod / checksPerPeriod);
    m_keepAliveTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        const time_point now = monotonicNow();
        m_streams.remove_if([&](const std::weak_ptr<answer_writer> &weak) {
            const std::shared_ptr<answer_writer> writer = weak.lock();
            if (!writer || writer->hasEnded()) {
                return true;
            }
            if (now - writer->lastWrite() >= m_options.keepAlivePeriod) {
                writer->keepAlive();
            }
            return false;
        });
        keepStreamsAlive();
    });
}

} // namespace reedtrail
