// The load is open: arrivals do not wait for answers, so a slow fleet shows as latency and refusals, not as fewer requests.
//
// An order takes a ticket, is sent, and is sent again with the same ticket: through another entry VM when the outcome is unknown or no answer came, with a
// raised attempt number when it was refused as not run, and now and then for no reason, also through two entry VMs at once.

#include "standins/load/load_driver.h"

#include "standins/fault_board.h"
#include "standins/load/completion_check.h"

#include <algorithm>
#include <array>

namespace reedtrail {
namespace {

constexpr std::uint32_t maximumSends = 6;
constexpr duration resendDelay = std::chrono::milliseconds(300);
/** How long after its deadline an answer may come without being called overdue: two ways over the network and a busy machine. */
constexpr duration overdueSlack = std::chrono::milliseconds(500);

http_client_options clientOptions()
{
    constexpr std::size_t keptPerGate = 64;
    http_client_options options;
    options.maximumIdlePerEndpoint = keptPerGate;
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

/** An order under way. */
struct load_driver::order
{
    std::size_t index = 0;
    load_customer customer;
    std::string body;
    std::string ticket;
    std::uint32_t number = 0;
    std::uint32_t sends = 0;
    std::uint32_t open = 0; ///< Sends without an answer.
    std::uint32_t ticketTries = 0;
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
    m_end = standInNow() + m_options.length;
    for (const caller_kind kind : { caller_kind::Note, caller_kind::Summary, caller_kind::Proof }) {
        if (caller(kind).perSecond > 0) {
            ++m_arrivalsOpen;
            scheduleNext(kind);
        }
    }
}

void load_driver::later(duration delay, std::function<void()> action)
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
    later(fromSeconds(m_random.exponential(1 / caller(kind).perSecond)), [this, kind] {
        if (standInNow() >= m_end) {
            --m_arrivalsOpen;
            ++m_underWay;
            endOperation();
            return;
        }
        begin(kind);
        scheduleNext(kind);
    });
}

void load_driver::begin(caller_kind kind)
{
    ++m_underWay;
    switch (kind) {
    case caller_kind::Note:
        sendNote();
        break;
    case caller_kind::Summary:
        sendSummary();
        break;
    case caller_kind::Proof:
        sendProof();
        break;
    }
}

void load_driver::endOperation()
{
    --m_underWay;
    if (m_underWay == 0 && m_arrivalsOpen == 0 && m_done) {
        std::exchange(m_done, nullptr)();
    }
}

const load_customer &load_driver::someCustomer()
{
    return m_options.customers[m_random.below(m_options.customers.size())];
}

std::size_t load_driver::someGate()
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
    return std::string(callerKindName(kind)) + "-" + std::to_string(m_options.seed) + "-" + std::to_string(++m_sequence) + "-" + customer.name;
}

http_request load_driver::baseRequest(caller_kind kind, const load_customer &customer, std::string target, std::string body) const
{
    http_request request{ "POST", std::move(target), {}, std::move(body) };
    request.fields.set("Authorization", "Bearer " + customer.token);
    request.fields.set("Content-Type", "application/json");
    request.fields.set("Reedtrail-Deadline-Ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(caller(kind).deadline).count()));
    return request;
}

load_attempt load_driver::judge(caller_kind kind, const http_call_end &end, const http_response &response, time_point began) const
{
    load_attempt attempt;
    attempt.latency = standInNow() - began;
    attempt.isOverdue = attempt.latency > caller(kind).deadline + overdueSlack;
    if (!end.hasHead) {
        attempt.outcome = end.isHandedOver ? seen_outcome::Dropped : seen_outcome::NoConnection;
        attempt.error = end.isHandedOver ? "dropped" : "no-connection";
        return attempt;
    }
    const std::string outcome(response.fields.get("Reedtrail-Outcome"));
    attempt.error = std::string(response.fields.get("Reedtrail-Error"));
    if (end.error != error_kind::None) {
        attempt.outcome = seen_outcome::Truncated;
        attempt.error = "cut";
    } else if (response.status == 200) {
        attempt.outcome = seen_outcome::Done;
    } else {
        attempt.outcome = outcome == "not-run" ? seen_outcome::NotRun : seen_outcome::Unknown;
        attempt.error = attempt.error.empty() ? "status-" + std::to_string(response.status) : attempt.error;
    }
    return attempt;
}

void load_driver::sendNote()
{
    const load_customer &customer = someCustomer();
    const std::string body = nextKey(caller_kind::Note, customer);
    const std::size_t index = m_ledger.begin(caller_kind::Note, body);
    const load_caller &note = caller(caller_kind::Note);
    const time_point began = standInNow();
    m_client.call(m_options.gates[someGate()],
                  baseRequest(caller_kind::Note, customer, "/svc/" + note.pool + note.path, body),
                  callOptions(note.deadline),
                  [this, index, body, began](const http_call_end &end, const http_response &response) {
                      const load_attempt attempt = judge(caller_kind::Note, end, response, began);
                      const nlohmann::json answer = nlohmann::json::parse(response.body, nullptr, false);
                      if (attempt.outcome == seen_outcome::Done && (!answer.is_object() || answer.value("echo", "") != body)) {
                          m_ledger.crossed(index, response.body.substr(0, 100));
                      }
                      m_ledger.attemptEnded(index, attempt);
                      endOperation();
                  });
}

void load_driver::sendSummary()
{
    const load_customer &customer = someCustomer();
    const std::string prompt = nextKey(caller_kind::Summary, customer);
    const std::size_t index = m_ledger.begin(caller_kind::Summary, prompt);
    const load_caller &summary = caller(caller_kind::Summary);
    const nlohmann::json body = { { "model", summary.pool }, { "prompt", prompt }, { "stream", true }, { "max_tokens", m_options.maximumTokens } };
    const auto check = std::make_shared<completion_check>(prompt);
    const auto head = std::make_shared<http_response>();
    const time_point began = standInNow();
    http_call_handlers handlers;
    handlers.onHead = [head](const http_response &response) {
        *head = response;
    };
    handlers.onBody = [check, head](std::string_view part) {
        if (head->status == 200) {
            check->add(part);
        }
    };
    handlers.onEnd = [this, index, check, head, began](const http_call_end &end) {
        load_attempt attempt = judge(caller_kind::Summary, end, *head, began);
        if (!check->wrongText().empty()) {
            m_ledger.crossed(index, check->wrongText().substr(0, 100));
        }
        if (attempt.outcome == seen_outcome::Done && check->error().is_object()) {
            attempt.outcome = check->error().value("outcome", "") == "not-run" ? seen_outcome::NotRun : seen_outcome::Unknown;
            attempt.error = check->error().value("error", "");
        } else if (attempt.outcome == seen_outcome::Done && !check->isWhole()) {
            attempt.outcome = seen_outcome::Truncated;
            attempt.error = "cut";
        }
        m_ledger.attemptEnded(index, attempt);
        endOperation();
    };
    m_client.start(m_options.gates[someGate()],
                   baseRequest(caller_kind::Summary, customer, "/v1/completions", body.dump()),
                   callOptions(summary.deadline),
                   std::move(handlers));
}

void load_driver::sendProof()
{
    const auto each = std::make_shared<order>();
    each->customer = someCustomer();
    each->body = nextKey(caller_kind::Proof, each->customer);
    each->index = m_ledger.begin(caller_kind::Proof, each->body);
    each->gate = someGate();
    takeTicket(each);
}

void load_driver::takeTicket(const std::shared_ptr<order> &each)
{
    http_request request = baseRequest(caller_kind::Proof, each->customer, "/v1/tickets", "");
    const duration deadline = caller(caller_kind::Proof).deadline;
    m_client.call(
        m_options.gates[each->gate], std::move(request), callOptions(deadline), [this, each](const http_call_end &end, const http_response &response) {
            const nlohmann::json answer = nlohmann::json::parse(response.body, nullptr, false);
            if (end.error == error_kind::None && response.status == 200 && answer.is_object()) {
                each->ticket = answer.value("ticket", "");
                sendOrder(each, each->gate);
                if (m_random.chance(m_options.raceShare)) {
                    sendOrder(each, otherGate(each->gate));
                }
                return;
            }
            if (++each->ticketTries < maximumSends) {
                each->gate = otherGate(each->gate);
                later(resendDelay, [this, each] {
                    takeTicket(each);
                });
                return;
            }
            m_ledger.attemptEnded(each->index, { 0, seen_outcome::NotRun, {}, false, "no-ticket", "" });
            endOperation();
        });
}

void load_driver::sendOrder(const std::shared_ptr<order> &each, std::size_t gate)
{
    const load_caller &proof = caller(caller_kind::Proof);
    http_request request = baseRequest(caller_kind::Proof, each->customer, "/svc/" + proof.pool + proof.path, each->body);
    request.fields.set("Reedtrail-Ticket", each->ticket);
    request.fields.set("Reedtrail-Attempt", std::to_string(each->number));
    each->gate = gate;
    ++each->sends;
    ++each->open;
    const time_point began = standInNow();
    m_client.call(m_options.gates[gate],
                  std::move(request),
                  callOptions(proof.deadline),
                  [this, each, began, number = each->number](const http_call_end &end, const http_response &response) {
                      load_attempt attempt = judge(caller_kind::Proof, end, response, began);
                      attempt.number = number;
                      if (attempt.outcome == seen_outcome::Done) {
                          attempt.answer = response.body;
                          const nlohmann::json answer = nlohmann::json::parse(response.body, nullptr, false);
                          if (!answer.is_object() || answer.value("echo", "") != each->body) {
                              m_ledger.crossed(each->index, response.body.substr(0, 100));
                          }
                      }
                      --each->open;
                      m_ledger.attemptEnded(each->index, attempt);
                      orderEnded(each, attempt);
                  });
}

void load_driver::orderEnded(const std::shared_ptr<order> &each, const load_attempt &attempt)
{
    each->isDone = each->isDone || attempt.outcome == seen_outcome::Done;
    if (each->open > 0) {
        return;
    }
    if (each->isDone) {
        if (!each->isRepeated && m_random.chance(m_options.repeatShare)) {
            each->isRepeated = true;
            sendOrder(each, otherGate(each->gate));
        } else {
            endOperation();
        }
        return;
    }
    if (each->sends >= maximumSends) {
        endOperation();
        return;
    }
    if (attempt.outcome == seen_outcome::NotRun && attempt.number == each->number) {
        ++each->number;
    }
    later(resendDelay, [this, each] {
        sendOrder(each, otherGate(each->gate));
    });
}

} // namespace reedtrail
