#include "edge/order_service.h"

#include "batch/job_store.h"
#include "kernel/log.h"
#include "platform/fleet_wire.h"
#include "platform/server_wire.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr duration workInterval = std::chrono::milliseconds(100); // While this node holds the duty: a named version waits no longer than that.
constexpr duration demandInterval = std::chrono::seconds(8); // Between reads of what jobs ask of their models: two jobs of each trainer.
constexpr duration reportLimit = std::chrono::milliseconds(500); // Of a report; servers answer it without a slot.

} // namespace

order_service::order_service(edge_context &context, fleet_view &fleet)
    : m_context(context)
    , m_fleet(fleet)
{
}

result<void> order_service::start(kernel &)
{
    duty_holder_options options;
    options.turn = m_context.settings.orderTurn;
    m_duty = std::make_shared<duty_type>(
        m_context.store, m_context.loop, m_context.lease, "orders", m_context.settings.node, m_context.incarnation, m_context.seed, options);
    m_duty->start([this] {
        dutyChanged();
    });
    m_fleet.onChange([this] {
        fleetChanged();
    });
    return {};
}

void order_service::drain(std::function<void()> done)
{
    m_isLeaving = true;
    awaitOrders(std::move(done));
}

/** Gives the duty back once no order is under way, with word of those before; each ends within its limit. */
void order_service::awaitOrders(std::function<void()> done)
{
    if (m_ordersUnderWay > 0) {
        m_context.loop.after(workInterval, [this, done = std::move(done)] {
            awaitOrders(done);
        });
        return;
    }
    m_duty->retire(encodeOrderAges(m_planner.orderAges(m_context.loop.now())), std::move(done));
}

nlohmann::json order_service::dump() const
{
    return { { "holder", m_duty->isHolder() }, { "mayAct", m_duty->mayAct() }, { "token", m_duty->fencingToken() } };
}

void order_service::dutyChanged()
{
    if (!m_duty->isHolder()) {
        if (m_versions) {
            for (const auto &each : { std::exchange(m_versions, nullptr), std::exchange(m_retirements, nullptr), std::exchange(m_demands, nullptr) }) {
                each->stop();
            }
        }
        return;
    }
    if (!m_versions) {
        m_planner.setPreviousOrders(m_context.loop.now(), m_duty->handover() ? decodeOrderAges(*m_duty->handover()) : std::nullopt, m_duty->followsItself());
        const auto follow = [this](std::string_view prefix, void (order_service::*take)(const store_key_value &), duration reportInterval) {
            prefix_mirror_handlers handlers;
            handlers.onListing = [this, take](std::span<const store_key_value> items) {
                for (const store_key_value &item : items) {
                    (this->*take)(item);
                }
            };
            handlers.onEvent = [this, take](const store_watch_event &event) {
                if (event.type == store_watch_event::kind::Put) {
                    (this->*take)(event.item);
                }
            };
            prefix_mirror_options options;
            options.isShared = false; // Only the holder of the duty follows it.
            options.reportInterval = reportInterval;
            const auto made = std::make_shared<mirror>(m_context.store, m_context.loop, std::string(prefix), options, handlers);
            made->start();
            return made;
        };
        m_versions = follow(platform::namedVersionsPrefix, &order_service::takeVersion, duration::zero());
        m_retirements = follow(platform::retirementsPrefix, &order_service::takeRetirement, duration::zero());
        m_demands = follow(job_key::demandPrefix, &order_service::takeDemand, demandInterval);
    }
    fleetChanged();
    scheduleWork();
}

void order_service::takeVersion(const store_key_value &item)
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
    work();
}

void order_service::takeDemand(const store_key_value &item)
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

/** Nothing of reedtrail lies on a storage machine, so each may go as soon as it is asked for. */
void order_service::takeRetirement(const store_key_value &item)
{
    const std::string machine = item.key.substr(platform::retirementsPrefix.size());
    store_txn txn;
    txn.onSuccess.push_back(store_put{ platform::retirementStatusKey(machine), platform::encodeRetired(), 0 });
    m_context.store.txn(txn, [this, item, machine](const store_txn_answer &answer) {
        logLine(log_level::Info, "machine-retired", { { "machine", machine }, { "recorded", answer.error ? "no" : "yes" } });
        if (answer.error && m_retirements) {
            m_context.loop.after(reportLimit, [this, item] {
                if (m_duty->isHolder()) {
                    takeRetirement(item);
                }
            });
        }
    });
}

void order_service::fleetChanged()
{
    std::vector<std::string> models;
    load_mode mode = load_mode::Continue;
    for (const auto &[name, spec] : m_fleet.routes().document().services) {
        if (spec.engine) {
            models.insert(models.end(), spec.engine->models.begin(), spec.engine->models.end());
        }
    }
    for (const route &where : m_fleet.routes().document().routes) {
        if (where.isSingleVersion) {
            mode = load_mode::FinishFirst;
        }
    }
    std::ranges::sort(models);
    models.erase(std::unique(models.begin(), models.end()), models.end());
    m_planner.setMode(mode);
    m_planner.refresh(m_fleet.directory().allUsable());
    m_planner.setModels(models);
}

void order_service::scheduleWork()
{
    if (m_isScheduled || !m_duty->isHolder()) {
        return;
    }
    m_isScheduled = true;
    m_context.loop.after(workInterval, [this] {
        m_isScheduled = false;
        work();
        scheduleWork();
    });
}

void order_service::work()
{
    if (!m_duty->mayAct() || m_isLeaving) {
        return;
    }
    for (const server_poll &intent : m_planner.next(m_context.loop.now())) {
        look(intent);
    }
}

void order_service::look(const server_poll &intent)
{
    http_call_options options;
    options.connectTimeout = reportLimit;
    options.deadline = reportLimit;
    m_context.servers.call(
        intent.address, platform::reportRequest(intent.server), options, [this, intent](const http_call_end &end, const http_response &response) {
            const time_point now = m_context.loop.now();
            const std::optional<engine_report> report =
                end.error == error_kind::None && response.status == 200 ? platform::decodeReport(response.body) : std::nullopt;
            if (!report) {
                logLine(log_level::Info, "engine-report-missing", { { "server", intent.server }, { "reason", end.detail } });
                m_planner.onRequestFailed(now, intent.server);
                return;
            }
            for (const auto &[model, version] : report->versions) {
                m_fleet.backends().versionSeen(intent.server, model, version);
            }
            if (const std::optional<load_order> wanted = m_planner.onReport(now, intent.server, *report)) {
                order(intent, *wanted);
            }
            work();
        });
}

void order_service::order(const server_poll &intent, load_order wanted)
{
    // Asked again right before the order leaves: the report may have taken longer than the lease.
    if (!m_duty->mayAct() || m_isLeaving) {
        m_planner.onRequestFailed(m_context.loop.now(), intent.server);
        return;
    }
    wanted.holder = m_context.settings.node;
    wanted.fencingToken = m_duty->fencingToken();
    http_call_options options;
    options.connectTimeout = reportLimit;
    options.deadline = reportLimit;
    m_context.metrics.counter("reedtrail_load_orders_total", "Orders to load weights").add();
    ++m_ordersUnderWay;
    m_context.servers.call(
        intent.address, platform::orderRequest(wanted), options, [this, intent, wanted](const http_call_end &end, const http_response &response) {
            --m_ordersUnderWay;
            const order_answer answer = end.error == error_kind::None ? platform::decodeOrderAnswer(response.status) : order_answer::Unknown;
            logLine(log_level::Info,
                    "load-order",
                    { { "server", intent.server },
                      { "model", wanted.model },
                      { "version", std::to_string(wanted.version) },
                      { "orders-seen", std::to_string(wanted.ordersSeen) },
                      { "token", std::to_string(wanted.fencingToken) },
                      { "status", std::to_string(response.status) },
                      { "detail", end.detail } });
            m_planner.onOrderAnswer(m_context.loop.now(), intent.server, answer);
            work();
        });
}

} // namespace reedtrail
