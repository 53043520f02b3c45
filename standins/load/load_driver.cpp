// The load is open-loop: arrivals do not wait for responses, so a slow fleet causes higher latency and refusals instead of fewer requests.
//
// A proof operation requests a ticket and sends its order with that ticket. An order without a successful response is sent again with the same ticket through
// another entry VM; the attempt number is raised only after a refusal as not run. To test deduplication, some orders are sent through two entry VMs at once,
// and some are repeated although they were answered.

#include "standins/load/load_driver.h"

#include "standins/fault_board.h"
#include "standins/load/completion_check.h"

#include <algorithm>
#include <array>

namespace reedtrail {
namespace {

constexpr std::uint32_t maximumAttempts = 6;
constexpr duration retryDelay = std::chrono::milliseconds(300);
/** Time after the deadline within which a response does not count as overdue. It covers a network round trip and scheduling delays on a busy machine. */
constexpr duration overdueSlack = std::chrono::milliseconds(500);

http_client_options clientOptions()
{
    constexpr std::size_t idleConnectionsPerGate = 64;
    http_client_options options;
    options.maximumIdlePerEndpoint = idleConnectionsPerGate;
    return options;
}

http_call_options callOptions(duration deadline)
{
    http_call_options options;
    options.deadline = deadline * 2 + std::chrono::seconds(5);
    options.silenceTimeout = options.deadline;
    return options;
}

} // namespace

/** State of one proof operation: an order that must run at most once. */
struct load_driver::proof_operation
{
    std::size_t index = 0;
    load_customer customer;
    std::string body;
    std::string ticket;
    std::uint32_t attemptNumber = 0; ///< Raised only after a refusal as not run.
    std::uint32_t attemptsSent = 0;
    std::uint32_t attemptsInFlight = 0; ///< Attempts that have not ended yet.
    std::uint32_t ticketAttempts = 0;
    std::size_t gate = 0;
    bool isDone = false;
    bool isRepeated = false;
};

load_driver::load_driver(boost::asio::io_context &io, const load_options &options, load_ledger &ledger)
    : m_io(io)
    , m_options(options)
    , m_ledger(ledger)
    , m_client(io, clientOptions())
    , m_random(options.seed)
{
}

void load_driver::start(std::function<void()> done)
{
    m_done = std::move(done);
    m_end = steadyNow() + m_options.loadDuration;
    for (const caller_kind kind : { caller_kind::Note, caller_kind::Summary, caller_kind::Proof }) {
        if (caller(kind).arrivalsPerSecond > 0) {
            ++m_activeArrivals;
            scheduleNext(kind);
        }
    }
}

void load_driver::runAfter(duration delay, std::function<void()> action)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
    m_timers.insert(timer);
    timer->async_wait([this, timer, action = std::move(action)](const boost::system::error_code &error) {
        m_timers.erase(timer);
        if (!error) {
            action();
        }
    });
}

void load_driver::scheduleNext(caller_kind kind)
{
    runAfter(fromSeconds(m_random.exponential(1 / caller(kind).arrivalsPerSecond)), [this, kind] {
        if (steadyNow() >= m_end) {
            --m_activeArrivals;
            ++m_operationsInFlight;
            endOperation();
            return;
        }
        beginOperation(kind);
        scheduleNext(kind);
    });
}

void load_driver::beginOperation(caller_kind kind)
{
    ++m_operationsInFlight;
    switch (kind) {
    case caller_kind::Note:
        sendNote();
        break;
    case caller_kind::Summary:
        sendSummary();
        break;
    case caller_kind::Proof:
        startProof();
        break;
    }
}

void load_driver::endOperation()
{
    --m_operationsInFlight;
    if (m_operationsInFlight == 0 && m_activeArrivals == 0 && m_done) {
        std::exchange(m_done, nullptr)();
    }
}

const load_customer &load_driver::randomCustomer()
{
    return m_options.customers[m_random.below(m_options.customers.size())];
}

std::size_t load_driver::randomGate()
{
    return m_random.below(m_options.gates.size());
}

std::size_t load_driver::otherGate(std::size_t gate)
{
    const std::size_t count = m_options.gates.size();
    return count == 1 ? gate : (gate + 1 + m_random.below(count - 1)) % count;
}

std::string load_driver::nextKey(caller_kind kind, const load_customer &customer)
{
    return std::string(callerKindName(kind)) + "-" + std::to_string(m_options.seed) + "-" + std::to_string(++m_lastSequence) + "-" + customer.name;
}

http_request load_driver::baseRequest(caller_kind kind, const load_customer &customer, std::string target, std::string body) const
{
    http_request request{ "POST", std::move(target), {}, std::move(body) };
    request.fields.set("Authorization", "Bearer " + customer.token);
    request.fields.set("Content-Type", "application/json");
    request.fields.set("Reedtrail-Deadline-Ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(caller(kind).deadline).count()));
    return request;
}

load_attempt load_driver::classifyAttempt(caller_kind kind, const http_call_end &end, const http_response &response, time_point startedAt) const
{
    load_attempt attempt;
    attempt.latency = steadyNow() - startedAt;
    attempt.isOverdue = attempt.latency > caller(kind).deadline + overdueSlack;
    if (!end.hasHead) {
        attempt.outcome = end.isHandedOver ? observed_outcome::Dropped : observed_outcome::NoConnection;
        attempt.error = end.isHandedOver ? "dropped" : "no-connection";
        return attempt;
    }
    const std::string outcome(response.fields.get("Reedtrail-Outcome"));
    attempt.error = std::string(response.fields.get("Reedtrail-Error"));
    if (end.error != error_kind::None) {
        attempt.outcome = observed_outcome::Truncated;
        attempt.error = "cut";
    } else if (response.status == 200) {
        attempt.outcome = observed_outcome::Done;
    } else {
        attempt.outcome = outcome == "not-run" ? observed_outcome::NotRun : observed_outcome::Unknown;
        attempt.error = attempt.error.empty() ? "status-" + std::to_string(response.status) : attempt.error;
    }
    return attempt;
}

void load_driver::sendNote()
{
    const load_customer &customer = randomCustomer();
    const std::string body = nextKey(caller_kind::Note, customer);
    const std::size_t index = m_ledger.begin(caller_kind::Note, body);
    const load_caller &note = caller(caller_kind::Note);
    const time_point startedAt = steadyNow();
    m_client.call(m_options.gates[randomGate()],
                  baseRequest(caller_kind::Note, customer, "/svc/" + note.pool + note.path, body),
                  callOptions(note.deadline),
                  [this, index, body, startedAt](const http_call_end &end, const http_response &response) {
                      const load_attempt attempt = classifyAttempt(caller_kind::Note, end, response, startedAt);
                      const nlohmann::json answer = nlohmann::json::parse(response.body, nullptr, false);
                      if (attempt.outcome == observed_outcome::Done && (!answer.is_object() || answer.value("echo", "") != body)) {
                          m_ledger.addCrossedAnswer(index, response.body.substr(0, 100));
                      }
                      m_ledger.attemptEnded(index, attempt);
                      endOperation();
                  });
}

void load_driver::sendSummary()
{
    const load_customer &customer = randomCustomer();
    const std::string prompt = nextKey(caller_kind::Summary, customer);
    const std::size_t index = m_ledger.begin(caller_kind::Summary, prompt);
    const load_caller &summary = caller(caller_kind::Summary);
    const nlohmann::json body = { { "model", summary.pool }, { "prompt", prompt }, { "stream", true }, { "max_tokens", m_options.maximumTokens } };
    const auto check = std::make_shared<completion_check>(prompt);
    const auto head = std::make_shared<http_response>();
    const time_point startedAt = steadyNow();
    http_call_handlers handlers;
    handlers.onHead = [head](const http_response &response) {
        *head = response;
    };
    handlers.onBody = [check, head](std::string_view part) {
        if (head->status == 200) {
            check->add(part);
        }
    };
    handlers.onEnd = [this, index, check, head, startedAt](const http_call_end &end) {
        load_attempt attempt = classifyAttempt(caller_kind::Summary, end, *head, startedAt);
        if (!check->wrongText().empty()) {
            m_ledger.addCrossedAnswer(index, check->wrongText().substr(0, 100));
        }
        if (attempt.outcome == observed_outcome::Done && check->error().is_object()) {
            attempt.outcome = check->error().value("outcome", "") == "not-run" ? observed_outcome::NotRun : observed_outcome::Unknown;
            attempt.error = check->error().value("error", "");
        } else if (attempt.outcome == observed_outcome::Done && !check->isCompleteAndCorrect()) {
            attempt.outcome = observed_outcome::Truncated;
            attempt.error = "cut";
        }
        m_ledger.attemptEnded(index, attempt);
        endOperation();
    };
    m_client.start(m_options.gates[randomGate()],
                   baseRequest(caller_kind::Summary, customer, "/v1/completions", body.dump()),
                   callOptions(summary.deadline),
                   std::move(handlers));
}

void load_driver::startProof()
{
    const auto operation = std::make_shared<proof_operation>();
    operation->customer = randomCustomer();
    operation->body = nextKey(caller_kind::Proof, operation->customer);
    operation->index = m_ledger.begin(caller_kind::Proof, operation->body);
    operation->gate = randomGate();
    requestTicket(operation);
}

void load_driver::requestTicket(const std::shared_ptr<proof_operation> &operation)
{
    http_request request = baseRequest(caller_kind::Proof, operation->customer, "/v1/tickets", "");
    const duration deadline = caller(caller_kind::Proof).deadline;
    m_client.call(m_options.gates[operation->gate],
                  std::move(request),
                  callOptions(deadline),
                  [this, operation](const http_call_end &end, const http_response &response) {
                      const nlohmann::json answer = nlohmann::json::parse(response.body, nullptr, false);
                      if (end.error == error_kind::None && response.status == 200 && answer.is_object()) {
                          operation->ticket = answer.value("ticket", "");
                          sendProofAttempt(operation, operation->gate);
                          if (m_random.chance(m_options.raceShare)) {
                              sendProofAttempt(operation, otherGate(operation->gate));
                          }
                          return;
                      }
                      if (++operation->ticketAttempts < maximumAttempts) {
                          operation->gate = otherGate(operation->gate);
                          runAfter(retryDelay, [this, operation] {
                              requestTicket(operation);
                          });
                          return;
                      }
                      m_ledger.attemptEnded(operation->index, { 0, observed_outcome::NotRun, {}, false, "no-ticket", "" });
                      endOperation();
                  });
}

void load_driver::sendProofAttempt(const std::shared_ptr<proof_operation> &operation, std::size_t gate)
{
    const load_caller &proof = caller(caller_kind::Proof);
    http_request request = baseRequest(caller_kind::Proof, operation->customer, "/svc/" + proof.pool + proof.path, operation->body);
    request.fields.set("Reedtrail-Ticket", operation->ticket);
    request.fields.set("Reedtrail-Attempt", std::to_string(operation->attemptNumber));
    operation->gate = gate;
    ++operation->attemptsSent;
    ++operation->attemptsInFlight;
    const time_point startedAt = steadyNow();
    m_client.call(m_options.gates[gate],
                  std::move(request),
                  callOptions(proof.deadline),
                  [this, operation, startedAt, number = operation->attemptNumber](const http_call_end &end, const http_response &response) {
                      load_attempt attempt = classifyAttempt(caller_kind::Proof, end, response, startedAt);
                      attempt.number = number;
                      if (attempt.outcome == observed_outcome::Done) {
                          attempt.answer = response.body;
                          const nlohmann::json answer = nlohmann::json::parse(response.body, nullptr, false);
                          if (!answer.is_object() || answer.value("echo", "") != operation->body) {
                              m_ledger.addCrossedAnswer(operation->index, response.body.substr(0, 100));
                          }
                      }
                      --operation->attemptsInFlight;
                      m_ledger.attemptEnded(operation->index, attempt);
                      onProofAttemptEnded(operation, attempt);
                  });
}

void load_driver::onProofAttemptEnded(const std::shared_ptr<proof_operation> &operation, const load_attempt &attempt)
{
    operation->isDone = operation->isDone || attempt.outcome == observed_outcome::Done;
    if (operation->attemptsInFlight > 0) {
        return;
    }
    if (operation->isDone) {
        if (!operation->isRepeated && m_random.chance(m_options.repeatShare)) {
            operation->isRepeated = true;
            sendProofAttempt(operation, otherGate(operation->gate));
        } else {
            endOperation();
        }
        return;
    }
    if (operation->attemptsSent >= maximumAttempts) {
        endOperation();
        return;
    }
    if (attempt.outcome == observed_outcome::NotRun && attempt.number == operation->attemptNumber) {
        ++operation->attemptNumber;
    }
    runAfter(retryDelay, [this, operation] {
        sendProofAttempt(operation, otherGate(operation->gate));
    });
}

} // namespace reedtrail
