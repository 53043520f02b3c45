#include "edge/weight_load_service.h"

#include "batch/job_store.h"
#include "kernel/log.h"
#include "platform/fleet_wire.h"
#include "platform/server_wire.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr std::string_view dutyName = "orders"; // One node at a time orders the servers to load weights.
constexpr duration passInterval = std::chrono::milliseconds(100); // Between two passes of the leader; a due load waits no longer than this.
constexpr duration demandReportInterval = std::chrono::seconds(8); // Between reads of the jobs' demand for models; a trainer submits two jobs in it.
constexpr duration serverCallTimeout = std::chrono::milliseconds(500); // For reports and orders; servers answer reports without a free slot.

/** Tells whether a response may belong to a report or an order, which are sent without an id. */
bool hasNoRequestId(const http_response &head)
{
    return platform::isResponseTo(head, "");
}

} // namespace

weight_load_service::weight_load_service(edge_context &context, fleet_cache &fleet, peer_snapshot_source &source, snapshot_server &snapshots)
    : m_context(context)
    , m_fleet(fleet)
    , m_random(context.randomSeed)
{
    snapshot_mirror_options options;
    options.prefix = leadership_type::prefixOf(dutyName);
    // Nothing is bounded in time here: a candidate's claim is decided in the store.
    options.allowance = m_candidacy.options().checkInterval;
    options.replyAge = m_candidacy.options().checkInterval;
    options.prefetchAge = m_candidacy.options().checkInterval / 2;
    snapshot_mirror_handlers handlers;
    handlers.onEvent = [this](const store_watch_event &event, bool) {
        if (event.item.key == leadership_type::prefixOf(dutyName) + "holder") {
            m_isHeld = event.type == store_watch_event::kind::Put;
        }
    };
    m_dutyMirror = std::make_shared<edge_snapshot_mirror>(source, context.loop, options, std::move(handlers));
    snapshots.add(options.prefix, m_dutyMirror);
}

result<void> weight_load_service::start(kernel &)
{
    duty_holder_options options;
    options.takeoverInterval = m_context.settings.orderHandoverInterval;
    m_leadership = std::make_shared<leadership_type>(
        m_context.store, m_context.loop, m_context.lease, std::string(dutyName), m_context.settings.node, m_context.incarnation, m_context.randomSeed, options);
    m_fleet.onChange([this] {
        onFleetChanged();
    });
    scheduleDutyCheck();
    return {};
}

void weight_load_service::setNodes(const std::map<std::string, store_peer> &nodes)
{
    if (m_candidacy.setNodes(nodes, m_context.settings.node)) {
        compete("one of the first nodes of its zone");
    }
}

void weight_load_service::compete(const char *reason)
{
    logLine(log_level::Info, "duty-candidate", { { "duty", std::string(dutyName) }, { "reason", reason } });
    m_leadership->start([this] {
        onLeadershipChanged();
    });
}

/** Looks at the duty from time to time while this node does not compete. */
void weight_load_service::scheduleDutyCheck()
{
    const duration interval = m_candidacy.options().checkInterval;
    m_context.loop.after(fromSeconds(toSeconds(interval) * m_random.uniform(0.8, 1.2)), [this] {
        if (m_candidacy.isCompeting() || m_isDraining) {
            return;
        }
        checkDuty();
        scheduleDutyCheck();
    });
}

void weight_load_service::checkDuty()
{
    const auto age = m_dutyMirror->age(m_context.loop.now());
    const bool isCurrent = m_dutyMirror->ensureFresh([this] {
        checkDuty();
    });
    // A state that could not be read again says nothing: without the store there is no holder to claim for.
    if (isCurrent && age <= m_candidacy.options().checkInterval && m_candidacy.recordObservation(m_context.loop.now(), m_isHeld)) {
        compete("the duty has no holder");
    }
}

void weight_load_service::drain(std::function<void()> done)
{
    m_isDraining = true;
    releaseWhenOrdersDone(std::move(done));
}

/** Resigns the leadership once no order is in flight, and passes the ages of the last orders on to the successor. Each order ends within serverCallTimeout. */
void weight_load_service::releaseWhenOrdersDone(std::function<void()> done)
{
    if (m_ordersInFlight > 0) {
        m_context.loop.after(passInterval, [this, done = std::move(done)] {
            releaseWhenOrdersDone(done);
        });
        return;
    }
    m_leadership->retire(encodeOrderAges(m_planner.orderAges(m_context.loop.now())), std::move(done));
}

nlohmann::json weight_load_service::dump() const
{
    return { { "holder", m_leadership->isHolder() }, { "mayAct", m_leadership->mayAct() }, { "token", m_leadership->fencingToken() } };
}

void weight_load_service::onLeadershipChanged()
{
    for (const auto &listener : m_dutyListeners) {
        listener();
    }
    if (!m_leadership->isHolder()) {
        if (m_versionMirror) {
            for (const auto &each :
                 { std::exchange(m_versionMirror, nullptr), std::exchange(m_retirementMirror, nullptr), std::exchange(m_demandMirror, nullptr) }) {
                each->stop();
            }
        }
        return;
    }
    if (!m_versionMirror) {
        m_planner.setPreviousOrders(
            m_context.loop.now(), m_leadership->handover() ? decodeOrderAges(*m_leadership->handover()) : std::nullopt, m_leadership->isOwnSuccessor());
        const auto startMirror = [this](std::string_view prefix, void (weight_load_service::*apply)(const store_key_value &), duration reportInterval) {
            prefix_mirror_handlers handlers;
            handlers.onListing = [this, apply](std::span<const store_key_value> items) {
                for (const store_key_value &item : items) {
                    (this->*apply)(item);
                }
            };
            handlers.onEvent = [this, apply](const store_watch_event &event) {
                if (event.type == store_watch_event::kind::Put) {
                    (this->*apply)(event.item);
                }
            };
            prefix_mirror_options options;
            options.isShared = false; // Only the leader watches it.
            options.reportInterval = reportInterval;
            const auto newMirror = std::make_shared<mirror>(m_context.store, m_context.loop, std::string(prefix), options, handlers);
            newMirror->start();
            return newMirror;
        };
        m_versionMirror = startMirror(platform::namedVersionsPrefix, &weight_load_service::onNamedVersion, duration::zero());
        m_retirementMirror = startMirror(platform::retirementsPrefix, &weight_load_service::onRetirementRequest, duration::zero());
        m_demandMirror = startMirror(job_key::demandPrefix, &weight_load_service::onDemand, demandReportInterval);
    }
    onFleetChanged();
    scheduleNextPass();
}

void weight_load_service::onNamedVersion(const store_key_value &item)
{
    const std::optional<platform::named_version> named = platform::decodeNamedVersion(item.value);
    if (!named) {
        logLine(log_level::Warning, "named-version-unreadable", { { "key", item.key }, { "revision", std::to_string(item.modRevision) } });
        return;
    }
    logLine(log_level::Info,
            "version-named",
            { { "model", named->model }, { "version", std::to_string(named->version) }, { "revision", std::to_string(item.modRevision) } });
    m_planner.setTarget(m_context.loop.now(), named->model, named->version);
    startDueLoads();
}

void weight_load_service::onDemand(const store_key_value &item)
{
    const std::string model = item.key.substr(job_key::demandPrefix.size());
    const std::optional<double> tokens = decodeDemand(item.value);
    if (!tokens) {
        logLine(log_level::Warning, "demand-unreadable", { { "key", item.key }, { "revision", std::to_string(item.modRevision) } });
        return;
    }
    logLine(log_level::Info, "model-demand", { { "model", model }, { "tokens", item.value }, { "revision", std::to_string(item.modRevision) } });
    m_planner.setDemand(model, *tokens);
}

/** Confirms a retirement at once: reedtrail keeps no data on storage machines. */
void weight_load_service::onRetirementRequest(const store_key_value &item)
{
    const std::string machine = item.key.substr(platform::retirementsPrefix.size());
    store_txn txn;
    txn.onSuccess.push_back(store_put{ platform::retirementStatusKey(machine), platform::encodeRetirementStatus(), 0 });
    m_context.store.txn(txn, [this, item, machine](const store_txn_answer &answer) {
        logLine(log_level::Info, "machine-retired", { { "machine", machine }, { "recorded", answer.error ? "no" : "yes" } });
        if (answer.error && m_retirementMirror) {
            m_context.loop.after(serverCallTimeout, [this, item] {
                if (m_leadership->isHolder()) {
                    onRetirementRequest(item);
                }
            });
        }
    });
}

void weight_load_service::onFleetChanged()
{
    std::vector<std::string> models;
    load_mode mode = load_mode::Continue;
    for (const auto &[name, spec] : m_fleet.routes().document().services) {
        if (spec.engine) {
            models.insert(models.end(), spec.engine->models.begin(), spec.engine->models.end());
        }
    }
    for (const route &eachRoute : m_fleet.routes().document().routes) {
        if (eachRoute.isSingleVersion) {
            mode = load_mode::FinishFirst;
        }
    }
    std::ranges::sort(models);
    models.erase(std::unique(models.begin(), models.end()), models.end());
    m_planner.setMode(mode);
    m_planner.refresh(m_fleet.directory().allUsable());
    m_planner.setModels(models);
}

void weight_load_service::scheduleNextPass()
{
    if (m_isPassScheduled || !m_leadership->isHolder()) {
        return;
    }
    m_isPassScheduled = true;
    m_context.loop.after(passInterval, [this] {
        m_isPassScheduled = false;
        startDueLoads();
        scheduleNextPass();
    });
}

void weight_load_service::startDueLoads()
{
    if (!m_leadership->mayAct() || m_isDraining || m_isAwaitingFleet) {
        return;
    }
    m_isAwaitingFleet = !m_fleet.ensureCurrent([this] {
        m_isAwaitingFleet = false;
        startDueLoads();
    });
    if (m_isAwaitingFleet) {
        return;
    }
    for (const server_poll &intent : m_planner.next(m_context.loop.now())) {
        requestReport(intent);
    }
}

void weight_load_service::requestReport(const server_poll &intent)
{
    http_call_options options;
    options.connectTimeout = serverCallTimeout;
    options.deadline = serverCallTimeout;
    options.isOwnResponse = hasNoRequestId;
    m_fleet.chargeLimit(intent.server);
    const fleet_cache::sent_request sent = m_fleet.recordSend(intent.server, instanceOf(intent.server), send_kind::Report);
    m_context.serverClient.call(
        intent.address, platform::reportRequest(intent.server), options, [this, intent, sent](const http_call_end &end, const http_response &response) {
            const time_point now = m_context.loop.now();
            recordServerState(sent, end, response);
            const std::optional<engine_report> report =
                end.error == error_kind::None && response.status == 200 ? platform::decodeReport(response.body) : std::nullopt;
            if (!report) {
                logLine(log_level::Info, "engine-report-missing", { { "server", intent.server }, { "reason", end.detail } });
                m_planner.onRequestFailed(now, intent.server);
                return;
            }
            for (const auto &[model, version] : report->versions) {
                m_fleet.backends().onVersion(intent.server, model, version);
            }
            if (const std::optional<load_order> loadOrder = m_planner.onReport(now, intent.server, *report)) {
                sendLoadOrder(intent, *loadOrder);
            }
            startDueLoads();
        });
}

/** Returns the start time of the registered instance of a server; 0 if it is not registered. */
std::int64_t weight_load_service::instanceOf(std::string_view server) const
{
    const server_entry *entry = m_fleet.directory().find(server);
    return entry == nullptr ? 0 : entry->startedAt;
}

/** Records what a response says of its server beside the answer itself. */
void weight_load_service::recordServerState(const fleet_cache::sent_request &sent, const http_call_end &end, const http_response &response)
{
    if (end.isForeignResponse) {
        m_fleet.recordForeignResponse(sent, "");
    }
    if (!end.hasHead) {
        return;
    }
    if (platform::isServerLeaving(response)) {
        m_fleet.recordLeaving(sent.server, sendKindName(sent.kind));
    }
    m_fleet.recordLimit(sent, platform::decodeLimit(response), false);
}

void weight_load_service::sendLoadOrder(const server_poll &intent, load_order loadOrder)
{
    // Checked again right before the order is sent, because the lease may have expired while the report was being read.
    if (!m_leadership->mayAct() || m_isDraining) {
        m_planner.onRequestFailed(m_context.loop.now(), intent.server);
        return;
    }
    loadOrder.holder = m_context.settings.node;
    loadOrder.fencingToken = m_leadership->fencingToken();
    http_call_options options;
    options.connectTimeout = serverCallTimeout;
    options.deadline = serverCallTimeout;
    options.isOwnResponse = hasNoRequestId;
    m_context.metrics.counter("reedtrail_load_orders_total", "Orders to load weights").add();
    ++m_ordersInFlight;
    m_fleet.chargeLimit(intent.server);
    const fleet_cache::sent_request sent = m_fleet.recordSend(intent.server, instanceOf(intent.server), send_kind::Order);
    m_context.serverClient.call(
        intent.address, platform::orderRequest(loadOrder), options, [this, intent, loadOrder, sent](const http_call_end &end, const http_response &response) {
            --m_ordersInFlight;
            recordServerState(sent, end, response);
            const order_answer answer = end.error == error_kind::None ? platform::decodeOrderAnswer(response.status) : order_answer::Unknown;
            logLine(log_level::Info,
                    "load-order",
                    { { "server", intent.server },
                      { "model", loadOrder.model },
                      { "version", std::to_string(loadOrder.version) },
                      { "orders-seen", std::to_string(loadOrder.ordersSeen) },
                      { "token", std::to_string(loadOrder.fencingToken) },
                      { "status", std::to_string(response.status) },
                      { "detail", end.detail } });
            m_planner.onOrderAnswer(m_context.loop.now(), intent.server, answer);
            startDueLoads();
        });
}

} // namespace reedtrail
