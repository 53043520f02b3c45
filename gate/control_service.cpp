// The gate accepts a fleet view only from the steward of its own node. Apart from that steward it connects only to addresses that the view names. A pull is
// answered completely or fails: if a payload cannot be read from its spool, the pull fails, and the trainer pulls the same batch number again.

#include "gate/control_service.h"

#include "base/hash.h"
#include "kernel/log.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr duration spoolTimeout = std::chrono::seconds(5);
constexpr duration pullMargin = std::chrono::seconds(5); ///< Added to the wait that the trainer asked for.
constexpr duration forwardMargin = std::chrono::milliseconds(500); ///< Added to the deadline of a forwarded request.
constexpr duration sweepPeriod = std::chrono::seconds(10);
constexpr duration progressPeriod = std::chrono::seconds(1);

std::string jsonText(const nlohmann::json &body)
{
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

peer_bus_options busOptions(const process_context &context)
{
    peer_bus_options options;
    options.seed = context.processIncarnation;
    options.transport.tls = context.settings.peerTls;
    return options;
}

std::optional<endpoint> endpointOf(const std::string &text)
{
    std::optional<endpoint> address;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(address, parseEndpoint(text));
        return {};
    });
    return error ? std::nullopt : address;
}

} // namespace

struct control_service::pull_state
{
    link_id owner = 0; ///< Link to the steward that owns the run.
    pull_answer answer;
    std::vector<nlohmann::json> payloads;
    std::size_t pendingPayloads = 0;
    error_kind error = error_kind::None;
    std::string detail;
    std::function<void(http_response response)> onResponse;
};

std::vector<spool_view> spoolsByPreference(const std::vector<spool_view> &spools, const zone_id &zone, std::string_view key)
{
    std::vector<spool_view> ordered = spools;
    std::ranges::sort(ordered, [&](const spool_view &left, const spool_view &right) {
        const bool isLeftNear = left.zone == zone;
        const bool isRightNear = right.zone == zone;
        return isLeftNear != isRightNear ? isLeftNear : rendezvousRank(key, left.node.view()) > rendezvousRank(key, right.node.view());
    });
    return ordered;
}

control_service::control_service(process_context &context)
    : m_context(context)
    , m_bus(context.control, busOptions(context))
    , m_links(context.control, m_bus, {})
    , m_usage(context.control, m_bus, m_links, context.settings.node, context.settings.zone)
    , m_sweepTimer(context.control)
    , m_progressTimer(context.control)
{
}

result<void> control_service::start(kernel &)
{
    m_bus.onMessage<hello>([this](link_id from, const hello &message) {
        if (message.node == m_context.settings.node && message.role == "steward") {
            m_ownStewardLink = from;
        }
    });
    m_bus.onMessage<fleet_view>([this](link_id from, const fleet_view &view) {
        applyView(from, view);
    });
    m_bus.onMessage<draft_order>([this](link_id from, draft_order order) {
        startDraft(from, std::move(order));
    });
    m_bus.onMessage<draft_cancel>([this](link_id, const draft_cancel &message) {
        m_openOrders.erase({ message.run, message.draft });
        m_traffic.cancelDraft(message.run, message.draft);
    });
    m_bus.onMessage<draft_move>([this](link_id, const draft_move &message) {
        m_traffic.moveDraft(message.run, message.draft);
    });
    m_bus.onQuestion<forwarded_request, forwarded_answer>([this](link_id, forwarded_request request, peer_bus::reply<forwarded_answer> reply) {
        m_traffic.handleForwarded(std::move(request), std::move(reply));
    });
    BOOST_LEAF_CHECK(m_bus.listen(m_context.settings.listen.gatePeer));
    connectToSteward();
    m_usage.start();
    scheduleIdleSweep();
    scheduleProgressReport();
    return {};
}

void control_service::connectToSteward()
{
    peer_connection_handlers handlers;
    handlers.onUp = [this](link_id link) {
        const node_settings &settings = m_context.settings;
        m_bus.send(link, hello{ settings.node, settings.zone, "gate", m_context.processIncarnation, settings.listen.gatePeer.text() });
    };
    m_bus.keepConnected(m_context.settings.listen.stewardPeer, std::move(handlers));
}

void control_service::applyView(link_id from, const fleet_view &view)
{
    const bool isFromOwnSteward = m_bus.linkTo(m_context.settings.listen.stewardPeer) == from || m_ownStewardLink == from;
    if (!isFromOwnSteward) {
        return;
    }
    if (m_snapshot && view.revision < m_snapshot->revision) {
        ++m_viewsRefused;
        return;
    }
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(snapshot, makeSnapshot(view));
        m_snapshot = std::move(snapshot);
        return {};
    });
    if (error) {
        ++m_viewsRefused;
        logLine(log_level::Warning, "fleet-view-refused", { { "reason", error->detail } });
        return;
    }
    m_usage.setNodes(m_snapshot->nodes);
    m_traffic.useSnapshot(m_snapshot);
}

void control_service::startDraft(link_id from, draft_order order)
{
    const open_order opened{ from, { order.slot, order.draft, 0 } };
    if (!m_openOrders.try_emplace({ order.slot.run, order.draft }, opened).second) {
        return;
    }
    m_traffic.makeDraft(std::move(order), [this, from](const draft_result &result, std::string payload) {
        finishDraft(from, result, std::move(payload));
    });
}

void control_service::finishDraft(link_id from, const draft_result &result, std::string payload)
{
    const auto send = [this, from](const draft_result &finished) {
        const std::optional<link_id> steward = m_bus.linkTo(m_context.settings.listen.stewardPeer);
        if (!m_bus.send(from, finished) && steward) {
            m_bus.send(*steward, finished);
        }
        m_openOrders.erase({ finished.slot.run, finished.draft });
        if (m_openOrders.empty() && m_onDrained) {
            std::exchange(m_onDrained, nullptr)();
        }
    };
    if (payload.empty()) {
        send(result);
        return;
    }
    storePayload(result, std::move(payload), spoolsByPreference(m_snapshot->spools, m_context.settings.zone, result.payloadKey), send);
}

/** Stores a payload on the first spool of @p candidates that accepts it; reports an error if none does. */
void control_service::storePayload(const draft_result &result,
                                   std::string payload,
                                   std::vector<spool_view> candidates,
                                   std::function<void(draft_result)> onStored)
{
    if (candidates.empty()) {
        draft_result failed = result;
        failed.error = answerFor(error_kind::PeerUnreachable).name;
        onStored(std::move(failed));
        return;
    }
    const spool_view spool = candidates.front();
    candidates.erase(candidates.begin());
    const auto tryNext = [this, result, payload, candidates, onStored] {
        storePayload(result, payload, candidates, onStored);
    };
    const std::optional<endpoint> address = endpointOf(spool.address);
    if (!address) {
        tryNext();
        return;
    }
    m_links.withLink(*address, [this, spool, result, payload, tryNext, onStored](std::optional<link_id> link) {
        if (!link) {
            tryNext();
            return;
        }
        const store_payload question{ result.slot.run, result.slot.step, result.payloadKey, payload };
        m_bus.ask<payload_stored>(
            *link, question, spoolTimeout, [result, spool, tryNext, onStored](const std::optional<failure> &error, const payload_stored &answer) {
                if (error || answer.error != answerFor(error_kind::None).name) {
                    tryNext();
                    return;
                }
                draft_result stored = result;
                stored.spoolNode = spool.node;
                onStored(std::move(stored));
            });
    });
}

void control_service::pull(const pull_question &question, std::function<void(http_response)> onResponse)
{
    const run_owner_view *owner = m_snapshot->findOwner(question.run);
    const std::optional<endpoint> address = owner == nullptr ? std::nullopt : endpointOf(owner->stewardAddress);
    if (!address) {
        const error_kind kind = m_snapshot->document.findRun(question.run) == nullptr ? error_kind::NotFound : error_kind::NotOwner;
        onResponse(errorResponse(kind, "no owner of run " + question.run.str() + " is known"));
        return;
    }
    const auto state = std::make_shared<pull_state>();
    state->onResponse = std::move(onResponse);
    m_links.withLink(*address, [this, question, state](std::optional<link_id> link) {
        if (!link) {
            state->onResponse(errorResponse(error_kind::PeerUnreachable, "the owner of the run cannot be reached"));
            return;
        }
        const duration timeout = std::chrono::milliseconds(question.waitMs) + pullMargin;
        state->owner = *link;
        m_bus.ask<pull_answer>(*link, question, timeout, [this, state](const std::optional<failure> &error, pull_answer answer) {
            const error_kind kind = error ? error->kind : errorKindNamed(answer.error);
            if (kind != error_kind::None) {
                state->onResponse(errorResponse(kind, error ? error->detail : "the owner refused the pull"));
                return;
            }
            state->answer = std::move(answer);
            readPayloads(state);
        });
    });
}

void control_service::readPayloads(const std::shared_ptr<pull_state> &state)
{
    state->payloads.resize(state->answer.samples.size());
    state->pendingPayloads = state->payloads.size();
    if (state->pendingPayloads == 0) {
        finishPull(state);
        return;
    }
    for (std::size_t index = 0; index < state->payloads.size(); ++index) {
        readPayload(state, index);
    }
}

void control_service::readPayload(const std::shared_ptr<pull_state> &state, std::size_t index)
{
    const sealed_sample &sample = state->answer.samples[index];
    const auto done = [this, state](error_kind error, std::string detail) {
        if (error != error_kind::None) {
            state->error = error;
            state->detail = std::move(detail);
        }
        if (--state->pendingPayloads == 0) {
            finishPull(state);
        }
    };
    const auto spool = std::ranges::find(m_snapshot->spools, sample.spoolNode, &spool_view::node);
    const std::optional<endpoint> address = spool == m_snapshot->spools.end() ? std::nullopt : endpointOf(spool->address);
    if (!address) {
        done(error_kind::PeerUnreachable, "spool of " + sample.spoolNode.str() + " is not known");
        return;
    }
    m_links.withLink(*address, [this, state, index, done, key = sample.payloadKey](std::optional<link_id> link) {
        if (!link) {
            done(error_kind::PeerUnreachable, "a spool cannot be reached");
            return;
        }
        m_bus.ask<payload_read>(
            *link, read_payload{ key }, spoolTimeout, [this, state, index, done](const std::optional<failure> &error, const payload_read &answer) {
                const error_kind kind = error ? error->kind : errorKindNamed(answer.error);
                if (kind == error_kind::NotFound || kind == error_kind::Corrupt) {
                    const sealed_sample &lost = state->answer.samples[index];
                    m_bus.send(state->owner, payload_missing{ lost.slot, lost.draft });
                }
                state->payloads[index] = nlohmann::json::parse(answer.bytes, nullptr, false);
                const bool isBad = kind == error_kind::None && !state->payloads[index].is_object();
                done(isBad ? error_kind::Corrupt : kind, "a payload cannot be read");
            });
    });
}

void control_service::finishPull(const std::shared_ptr<pull_state> &state)
{
    if (state->error != error_kind::None) {
        state->onResponse(errorResponse(state->error, state->detail));
        return;
    }
    nlohmann::json samples = nlohmann::json::array();
    for (std::size_t index = 0; index < state->payloads.size(); ++index) {
        const sealed_sample &sample = state->answer.samples[index];
        samples.push_back({ { "slot", sample.slot },
                            { "draft", sample.draft },
                            { "versions", sample.versions },
                            { "score", sample.score },
                            { "tokens", sample.tokens },
                            { "payload", state->payloads[index] } });
    }
    const nlohmann::json body{ { "number", state->answer.number },
                               { "step", state->answer.step },
                               { "isStepComplete", state->answer.isStepComplete },
                               { "samples", std::move(samples) } };
    state->onResponse(jsonResponse(200, jsonText(body)));
}

void control_service::forward(const node_id &node, forwarded_request request, std::function<void(std::optional<forwarded_answer>)> onAnswer)
{
    const node_view *target = m_snapshot->findNode(node);
    const std::optional<endpoint> address = target == nullptr ? std::nullopt : endpointOf(target->gateAddress);
    if (!address) {
        onAnswer(std::nullopt);
        return;
    }
    m_links.withLink(*address, [this, request = std::move(request), onAnswer = std::move(onAnswer)](std::optional<link_id> link) {
        if (!link) {
            onAnswer(std::nullopt);
            return;
        }
        const duration timeout = std::chrono::milliseconds(request.deadlineMs) + forwardMargin;
        m_bus.ask<forwarded_answer>(*link, request, timeout, [onAnswer](const std::optional<failure> &error, forwarded_answer answer) {
            onAnswer(error ? std::nullopt : std::optional(std::move(answer)));
        });
    });
}

void control_service::scheduleIdleSweep()
{
    m_sweepTimer.expires_after(sweepPeriod);
    m_sweepTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            m_links.closeIdle(monotonicNow());
            scheduleIdleSweep();
        }
    });
}

void control_service::scheduleProgressReport()
{
    m_progressTimer.expires_after(progressPeriod);
    m_progressTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        if (!m_openOrders.empty() || !m_lastReported.empty()) {
            m_traffic.askProgress([this](const std::vector<draft_progress_item> &items) {
                reportProgress(items);
            });
        }
        scheduleProgressReport();
    });
}

/**
 * Reports the progress of drafts to the stewards that ordered them. A draft whose payload is being stored is no longer in @p items and is reported with its
 * last progress. A run whose drafts have all ended is reported once more, with no drafts.
 */
void control_service::reportProgress(const std::vector<draft_progress_item> &items)
{
    for (const draft_progress_item &item : items) {
        const auto found = m_openOrders.find({ item.slot.run, item.draft });
        if (found != m_openOrders.end()) {
            found->second.progress = item;
        }
    }
    std::map<std::pair<run_id, link_id>, draft_progress> messages;
    for (const auto &reported : m_lastReported) {
        messages[reported] = {};
    }
    for (const auto &[key, order] : m_openOrders) {
        messages[{ key.first, order.from }].drafts.push_back(order.progress);
    }
    m_lastReported.clear();
    for (auto &[reported, message] : messages) {
        message.run = reported.first;
        message.gate = m_context.settings.node;
        sendProgress(reported.second, message);
        if (!message.drafts.empty()) {
            m_lastReported.insert(reported);
        }
    }
}

void control_service::sendProgress(link_id from, const draft_progress &message)
{
    const std::optional<link_id> steward = m_bus.linkTo(m_context.settings.listen.stewardPeer);
    if (!m_bus.send(from, message) && steward) {
        m_bus.send(*steward, message);
    }
}

void control_service::drain(std::function<void()> done)
{
    if (m_openOrders.empty()) {
        done();
    } else {
        m_onDrained = std::move(done);
    }
}

void control_service::stop()
{
    m_usage.stop();
    m_sweepTimer.cancel();
    m_progressTimer.cancel();
    m_bus.stop();
}

nlohmann::json control_service::dump() const
{
    nlohmann::json traffic = nlohmann::json::object();
    for (const auto &[name, count] : m_bus.traffic()) {
        traffic[name] = { { "sent", count.sentMessages }, { "sentBytes", count.sentBytes }, { "received", count.receivedMessages } };
    }
    return { { "revision", m_snapshot->revision },
             { "hasSteward", m_bus.linkTo(m_context.settings.listen.stewardPeer).has_value() },
             { "leavingServers", m_snapshot->leavingServers },
             { "owners", m_snapshot->owners },
             { "spools", m_snapshot->spools },
             { "nodes", m_snapshot->nodes },
             { "usage", m_usage.dump() },
             { "ordersOpen", m_openOrders.size() },
             { "viewsRefused", m_viewsRefused },
             { "messages", std::move(traffic) } };
}

} // namespace reedtrail
