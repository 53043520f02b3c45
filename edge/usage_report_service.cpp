// A report is written to the store before it is sent for the first time, on condition that this node still holds the duty and that the record is unchanged. So
// each window has one set of counts, whichever node sends it and however often. The fencing token and the waits between two holders are those of the duty.

#include "edge/usage_report_service.h"

#include "base/random.h"
#include "edge/peer_message.h"
#include "edge/peer_protocol.h"
#include "kernel/log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace reedtrail {
namespace {

constexpr duration tickInterval = std::chrono::milliseconds(250); // Between two passes of the holder.
constexpr duration askTimeout = std::chrono::milliseconds(400); // A hundred times the network latency between zones.
constexpr duration askSpread = std::chrono::milliseconds(800); // Of the questions of one round.
constexpr duration handOverTimeout = std::chrono::milliseconds(300); // Of a node that stops; it has two others to hand its ledger to.
constexpr duration callTimeout = std::chrono::milliseconds(500); // Shorter than the time after which a duty's successor takes a call for delivered.
constexpr duration maxDeliveryTime = std::chrono::milliseconds(600); // As duty_holder_options::maxDeliveryTime.
constexpr duration minSendPause = std::chrono::milliseconds(300); // Before a call that failed is repeated; doubles with each further failure.
constexpr duration maxSendPause = std::chrono::milliseconds(1500);
constexpr double asksPerWindow = 2; // A node that is killed loses what it recorded since it was asked last.
constexpr std::size_t heirs = 2; // Nodes that get the ledger of one that stops.

} // namespace

usage_report_service::usage_report_service(edge_context &context, weight_load_service &duty, store_router &router, http_client &client)
    : m_context(context)
    , m_duty(duty)
    , m_router(router)
    , m_client(client)
{
}

result<void> usage_report_service::start(kernel &)
{
    if (m_context.usage) {
        m_duty.onDutyChanged([this] {
            onDutyChanged();
        });
    }
    return {};
}

nlohmann::json usage_report_service::dump() const
{
    return { { "reports", m_windows.has_value() },
             { "ledger", m_context.usage ? m_context.usage->size() : 0 },
             { "lastRecorded", m_record.lastWindow().value_or(0) },
             { "lastAccepted", m_record.lastAccepted } };
}

void usage_report_service::setNodes(const std::map<std::string, store_peer> &nodes)
{
    m_nodes.clear();
    m_zones.clear();
    for (const auto &[name, node] : nodes) {
        m_nodes.push_back(name);
        m_zones[name] = node.zone;
    }
}

void usage_report_service::onDutyChanged()
{
    const bool isHolding = m_duty.leadership().isHolder();
    if (isHolding == m_isHolding) {
        return;
    }
    m_isHolding = isHolding;
    ++m_term;
    m_windows.reset();
    m_unrecorded.clear();
    m_isRecording = m_isSending = false;
    if (isHolding) {
        m_heldSince = m_context.loop.now();
        m_sendPause = duration::zero();
        readRecord();
        tick();
    }
}

/** Reads which reports the store has. Nothing is counted or sent before that. */
void usage_report_service::readRecord()
{
    m_context.store.range({ usageRecordKey, false, 0 }, [this, term = m_term](const store_range_answer &answer) {
        if (term != m_term) {
            return;
        }
        if (answer.error) {
            m_context.loop.after(tickInterval, [this, term] {
                if (term == m_term) {
                    readRecord();
                }
            });
            return;
        }
        m_isRecording = false;
        m_recordRevision = 0;
        const std::int64_t lastAccepted = m_record.lastAccepted; // The platform has them, whether or not the record says so yet.
        m_record = {};
        for (const store_key_value &item : answer.items) {
            if (item.key != usageRecordKey) {
                continue;
            }
            m_recordRevision = item.modRevision;
            const std::optional<usage_record> stored = usage_record::decode(item.value);
            if (!stored) {
                logLine(log_level::Error, "usage-record-unreadable", { { "revision", std::to_string(item.modRevision) } });
            }
            m_record = stored.value_or(usage_record());
        }
        m_record.lastAccepted = std::max(m_record.lastAccepted, lastAccepted);
        if (!m_windows) {
            usage_window_options options;
            options.length = m_context.settings.usage->window;
            options.due = m_context.settings.usage->due;
            m_windows.emplace(options);
            m_reportedLate = 0;
            m_windows->begin(m_context.loop.now(), m_record.lastWindow());
            m_askedAt = {};
        }
    });
}

/** Runs every tickInterval while this node holds the duty. */
void usage_report_service::tick()
{
    if (!m_isHolding) {
        return;
    }
    const time_point now = m_context.loop.now();
    if (m_windows) {
        if (now - m_askedAt >= fromSeconds(toSeconds(m_context.settings.usage->window) / asksPerWindow)) {
            askNodes();
        }
        for (usage_report &report : m_windows->takeDue(now, m_nodes)) {
            m_unrecorded.push_back(std::move(report));
        }
        recordReports();
        sendNext();
        reportLosses();
    }
    m_context.loop.after(tickInterval, [this, term = m_term] {
        if (term == m_term) {
            tick();
        }
    });
}

/** Asks all nodes, one after the other, so that the answers of hundreds of nodes don't arrive at once. */
void usage_report_service::askNodes()
{
    m_askedAt = m_context.loop.now();
    const duration step = askSpread / std::max<std::size_t>(m_nodes.size(), 1);
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        m_context.loop.after(step * i, [this, node = m_nodes[i], term = m_term] {
            if (term == m_term && m_windows) {
                askNode(node);
            }
        });
    }
}

void usage_report_service::askNode(const std::string &node)
{
    const time_point askedAt = m_context.loop.now();
    const usage_ask question = m_windows->question(node);
    if (node == m_context.settings.node) {
        usage_answer own = m_context.usage->answer(askedAt, question);
        own.wallClockMs = unixMilliseconds();
        m_windows->onAnswer(askedAt, node, askedAt, own);
        return;
    }
    askPeer<usage_answer, usage_ask>(m_router,
                                     m_client,
                                     node,
                                     peer_protocol::usagePath,
                                     question,
                                     askTimeout,
                                     [this, node, askedAt, term = m_term](const peer_ask_result &result, const usage_answer &answer) {
                                         if (term == m_term && m_windows && result.end == peer_ask_end::Answered) {
                                             m_windows->onAnswer(m_context.loop.now(), node, askedAt, answer);
                                         }
                                     });
}

/** Writes the reports that are not in the store yet. */
void usage_report_service::recordReports()
{
    std::erase_if(m_unrecorded, [this](const usage_report &each) {
        return m_record.lastWindow() && each.window <= *m_record.lastWindow(); // The store's counts hold, whoever wrote them.
    });
    if (m_unrecorded.empty() || m_isRecording || !m_duty.leadership().mayAct()) {
        return;
    }
    m_isRecording = true;
    usage_record next = m_record;
    next.add(m_unrecorded);
    store_txn txn;
    txn.compares.push_back(m_duty.leadership().stillHeld());
    txn.compares.push_back(m_recordRevision == 0 ? store_compare::absent(usageRecordKey) : store_compare::unchanged(usageRecordKey, m_recordRevision));
    txn.onSuccess.push_back(store_put{ usageRecordKey, next.encode(), 0 });
    m_context.store.txn(txn, [this, term = m_term, next](const store_txn_answer &answer) {
        if (term != m_term) {
            return;
        }
        if (answer.error || !answer.isSucceeded) {
            logLine(
                log_level::Info, "usage-not-recorded", { { "window", std::to_string(next.reports.back().window) }, { "error", answer.error ? "yes" : "no" } });
            readRecord(); // An answer that is lost may stand for a record that was written.
            return;
        }
        m_isRecording = false;
        m_recordRevision = answer.revision;
        const std::int64_t lastAccepted = m_record.lastAccepted; // May have risen since the write began.
        m_record = next;
        m_record.lastAccepted = std::max(m_record.lastAccepted, lastAccepted);
        sendNext();
    });
}

/** Tells whether a call may leave this node now: the duty is held, and a predecessor's last call was long enough ago. */
bool usage_report_service::maySend() const
{
    const auto &duty = m_duty.leadership();
    const bool hasWaited = duty.isOwnSuccessor() || m_context.loop.now() - m_heldSince >= m_context.settings.orderHandoverInterval + maxDeliveryTime;
    return duty.mayAct() && hasWaited && !m_context.isDraining;
}

/** Sends the oldest report that the platform has not accepted, one at a time. */
void usage_report_service::sendNext()
{
    const usage_report *report = m_record.nextToSend();
    const time_point now = m_context.loop.now();
    if (report == nullptr || m_isSending || now < m_nextSendAt || !maySend()) {
        return;
    }
    m_isSending = true;
    http_call_options options;
    options.connectTimeout = options.silenceTimeout = options.deadline = callTimeout;
    options.maySend = [this, term = m_term] {
        return term == m_term && maySend();
    };
    const http_request request = platform::usageReportRequest(*report, { m_context.settings.node, m_duty.leadership().fencingToken() });
    m_client.call(m_context.settings.usage->address,
                  request,
                  options,
                  [this, term = m_term, window = report->window, now](const http_call_end &end, const http_response &response) {
                      if (term == m_term) {
                          onSent(window, end, response, now);
                      }
                  });
}

void usage_report_service::onSent(std::int64_t window, const http_call_end &end, const http_response &response, time_point startedAt)
{
    m_isSending = false;
    const time_point now = m_context.loop.now();
    const platform::duty_answer answer = end.error == error_kind::None ? platform::decodeDutyAnswer(response.status) : platform::duty_answer::Later;
    const bool isOver = answer != platform::duty_answer::Later;
    const char *outcome = answer == platform::duty_answer::Accepted ? "accepted" : isOver ? "rejected" : "later";
    std::uint64_t requests = 0;
    if (const auto found = std::ranges::find(m_record.reports, window, &usage_report::window); found != m_record.reports.end()) {
        for (const auto &[name, count] : found->counts) {
            requests += count;
        }
    }
    logLine(answer == platform::duty_answer::Rejected ? log_level::Error : log_level::Info,
            "usage-report",
            { { "window", std::to_string(window) },
              { "requests", std::to_string(requests) },
              { "outcome", outcome },
              { "status", std::to_string(response.status) },
              { "token", std::to_string(m_duty.leadership().fencingToken()) },
              { "ms", std::to_string((now - startedAt) / std::chrono::milliseconds(1)) },
              { "detail", end.detail } });
    m_context.metrics.counter("reedtrail_usage_reports_total", "Reports of use by the platform's answer", std::string("outcome=\"") + outcome + "\"").add();
    if (isOver) {
        m_record.lastAccepted = std::max(m_record.lastAccepted, window);
        m_sendPause = duration::zero();
        sendNext();
        return;
    }
    m_sendPause = std::clamp(m_sendPause * 2, minSendPause, maxSendPause);
    m_nextSendAt = now + m_sendPause;
}

/** Logs requests that came too late for their window's report. */
void usage_report_service::reportLosses()
{
    if (const std::uint64_t late = m_windows->lateRequests() - m_reportedLate; late > 0) {
        logLine(log_level::Warning, "usage-late", { { "requests", std::to_string(late) } });
        m_context.metrics.counter("reedtrail_usage_late_requests_total", "Requests that no report of use counts").add(late);
        m_reportedLate += late;
    }
}

void usage_report_service::serve(const std::shared_ptr<http_exchange> &exchange)
{
    if (!m_context.usage) {
        exchange->respond(textResponse(http_status::unavailable, ""));
        return;
    }
    const time_point now = m_context.loop.now();
    if (exchange->request().path() == peer_protocol::usageHandoverPath) {
        const auto given = decodePeerMessage<usage_answer>(exchange->request().body);
        if (!given || m_context.isDraining) {
            exchange->respond(textResponse(given ? http_status::unavailable : http_status::badRequest, ""));
            return;
        }
        m_context.usage->take(now, *given);
        exchange->respond(peerReply(usage_receipt{ true }));
        return;
    }
    const auto question = decodePeerMessage<usage_ask>(exchange->request().body);
    if (!question) {
        exchange->respond(textResponse(http_status::badRequest, "bad question\n"));
        return;
    }
    usage_answer answer = m_context.usage->answer(now, *question);
    answer.wallClockMs = unixMilliseconds();
    exchange->respond(peerReply(answer));
}

void usage_report_service::drain(std::function<void()> done)
{
    usage_answer ledger = m_context.usage ? m_context.usage->answer(m_context.loop.now(), {}) : usage_answer();
    std::vector<std::string> others;
    std::ranges::copy_if(m_nodes, std::back_inserter(others), [this](const std::string &node) {
        return node != m_context.settings.node;
    });
    if (ledger.batches.empty() || others.empty()) {
        done();
        return;
    }
    // One node of this zone and one of another, so that neither a zone that is cut off nor a planned stop of the whole zone takes both.
    const auto isOfThisZone = [this](const std::string &node) {
        return m_zones[node] == m_zones[m_context.settings.node];
    };
    std::stable_partition(others.begin(), others.end(), isOfThisZone);
    const auto border = std::ranges::partition_point(others, isOfThisZone) - others.begin();
    const auto all = static_cast<std::ptrdiff_t>(others.size());
    random_source random(m_context.randomSeed);
    const auto pick = [&](std::ptrdiff_t from, std::ptrdiff_t to) {
        return others[static_cast<std::size_t>(from) + random.below(static_cast<std::uint64_t>(to - from))];
    };
    const std::vector<std::string> chosen = { border > 0 ? pick(0, border) : pick(0, all), border < all ? pick(border, all) : pick(0, all) };
    const auto outstanding = std::make_shared<std::size_t>(std::min(heirs, others.size()));
    for (std::size_t i = 0; i < std::min(heirs, others.size()); ++i) {
        askPeer<usage_receipt, usage_answer>(
            m_router,
            m_client,
            chosen[i],
            peer_protocol::usageHandoverPath,
            ledger,
            handOverTimeout,
            [outstanding, done, node = chosen[i]](const peer_ask_result &result, const usage_receipt &receipt) {
                logLine(log_level::Info, "usage-handed-over", { { "to", node }, { "taken", receipt.isTaken ? "yes" : "no" }, { "reason", result.reason } });
                if (--*outstanding == 0) {
                    done();
                }
            });
    }
}

} // namespace reedtrail
