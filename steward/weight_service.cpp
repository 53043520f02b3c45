// Connects the state machines, which do no I/O (weights/weight_rollout.h on the owner of a run, weights/weight_deputy.h on the deputy of a zone), to the weight
// store, the backend servers, the peer bus and the clock.
//
// A zone without a live node has no deputy; the first deputy of the other zones serves its servers.

#include "steward/weight_service.h"

#include "kernel/log.h"
#include "net/http_client.h"
#include "steward/fleet_service.h"
#include "steward/run_service.h"
#include "weights/weight_deputy.h"
#include "weights/weight_rollout.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>

namespace reedtrail {
namespace {

constexpr duration publishedPollInterval = std::chrono::milliseconds(500);

const http_call_options publishedVersionLimits{ .silenceTimeout = std::chrono::seconds(2), .deadline = std::chrono::seconds(2) };
const http_call_options loadLimits{ .silenceTimeout = std::chrono::seconds(2), .deadline = std::chrono::seconds(2) };
const http_call_options stageLimits{ .silenceTimeout = std::chrono::seconds(120), .deadline = std::chrono::seconds(120) };
const http_call_options switchLimits{ .silenceTimeout = std::chrono::seconds(10), .deadline = std::chrono::seconds(10) };

std::optional<endpoint> endpointOf(const std::string &text)
{
    std::optional<endpoint> where;
    failureOf([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(where, parseEndpoint(text));
        return {};
    });
    return where;
}

std::vector<run_id> runsOfPool(const fleet_document &document, const pool_id &pool)
{
    std::vector<run_id> runs;
    for (const run_settings &run : document.runs) {
        if (run.pool == pool && run.state != run_state::Closed) {
            runs.push_back(run.id);
        }
    }
    return runs;
}

/** Returns the share of the weight store's bandwidth for @p run, in bytes per second: open runs divide all of it by their weights. */
double weightStoreRateOf(const fleet_document &document, const run_settings &run)
{
    double weights = 0;
    for (const run_settings &each : document.runs) {
        weights += each.state == run_state::Open ? each.weight : 0;
    }
    return weights > 0 ? document.weightStoreBytesPerSecond * run.weight / weights : 0;
}

deputy_input::order_answered::outcome outcomeOf(const http_call_end &end, const http_response &response)
{
    using outcome = deputy_input::order_answered::outcome;
    if (end.error != error_kind::None) {
        return end.isHandedOver ? outcome::Unknown : outcome::Refused;
    }
    if (response.status == 200) {
        return outcome::Done;
    }
    return response.status == 409 ? outcome::Refused : outcome::Failed;
}

} // namespace

struct weight_service::implementation : std::enable_shared_from_this<weight_service::implementation>
{
    explicit implementation(process_context &newContext)
        : context(newContext)
        , client(newContext.control, {})
        , timer(newContext.control)
        , pollTimer(newContext.control)
    {
    }

    void start();
    void onFleetChanged();
    std::set<zone_id> servedZones() const;
    std::optional<member_info> deputyOf(const zone_id &zone) const;
    void updateRollouts(const fleet_document &document);
    void updateDeputies(const fleet_document &document);

    void dispatchToRollout(const run_id &run, const rollout_event_item &event);
    void sendOrder(const zone_order &order);
    void dispatchToDeputy(const zone_id &zone, const deputy_event &event);
    void perform(const zone_id &zone, const deputy_action::order_server &order);
    void perform(const zone_id &zone, const deputy_action::read_load &read);
    void perform(const zone_id &zone, const deputy_action::report &report);
    void pollPublished();
    void armTimer();
    void onTimer();

    process_context &context;
    http_client client;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer pollTimer;
    fleet_service *fleet = nullptr;
    run_service *runs = nullptr;
    std::map<run_id, weight_rollout> rollouts; ///< Rollouts of all runs; those of runs that this node does not own are in phase Standby.
    std::map<zone_id, weight_deputy> deputies; ///< State machines of the zones whose servers this node serves as deputy.
    std::map<server_id, endpoint> addresses;
    std::uint64_t deputyNameCounter = 0; ///< Makes the names of successive deputies on this node unique.
    bool isStopped = false;
};

weight_service::weight_service(process_context &context)
    : m_implementation(std::make_shared<implementation>(context))
{
}

weight_service::~weight_service()
{
    stop();
}

result<void> weight_service::start(kernel &process)
{
    BOOST_LEAF_ASSIGN(m_implementation->fleet, process.find<fleet_service>("fleet"));
    BOOST_LEAF_ASSIGN(m_implementation->runs, process.find<run_service>("runs"));
    m_implementation->start();
    return {};
}

void weight_service::stop()
{
    m_implementation->isStopped = true;
    m_implementation->timer.cancel();
    m_implementation->pollTimer.cancel();
}

nlohmann::json weight_service::dump() const
{
    nlohmann::json rollouts = nlohmann::json::array();
    for (const auto &[run, rollout] : m_implementation->rollouts) {
        if (rollout.phase() != rollout_phase::Standby) {
            rollouts.push_back(rollout.dump());
        }
    }
    nlohmann::json deputies = nlohmann::json::array();
    for (const auto &[zone, deputy] : m_implementation->deputies) {
        deputies.push_back(deputy.dump());
    }
    return { { "rollouts", std::move(rollouts) }, { "deputyOf", std::move(deputies) } };
}

void weight_service::implementation::start()
{
    const std::weak_ptr<implementation> self = weak_from_this();
    fleet->onChange([self] {
        if (const auto strong = self.lock(); strong && !strong->isStopped) {
            strong->onFleetChanged();
        }
    });
    fleet->bus().onMessage<weight_order>([self](link_id, const weight_order &order) {
        const auto strong = self.lock();
        if (!strong) {
            return;
        }
        std::vector<zone_id> zones;
        for (const auto &[zone, deputy] : strong->deputies) {
            zones.push_back(zone);
        }
        for (const zone_id &zone : zones) {
            strong->dispatchToDeputy(zone, deputy_input::order_received{ order }); // Each deputy ignores servers of other zones.
        }
    });
    fleet->bus().onMessage<weight_report>([self](link_id, const weight_report &report) {
        if (const auto strong = self.lock()) {
            strong->dispatchToRollout(report.run, rollout_input::zone_reported{ report });
        }
    });
    runs->onOwnershipChange([self](const run_ownership_update &update) {
        const auto strong = self.lock();
        if (!strong || strong->isStopped || !strong->rollouts.contains(update.run)) {
            return;
        }
        const rollout_phase phase = strong->rollouts.at(update.run).phase();
        if (update.epoch == 0) {
            strong->dispatchToRollout(update.run, rollout_input::ownership_lost{});
        } else if (phase == rollout_phase::Standby) {
            strong->dispatchToRollout(update.run, rollout_input::ownership_gained{ update.epoch, update.leaseUntil, update.isFirstOwner });
        } else {
            strong->dispatchToRollout(update.run, rollout_input::lease_renewed{ update.leaseUntil });
        }
    });
    onFleetChanged();
    pollPublished();
}

std::set<zone_id> weight_service::implementation::servedZones() const
{
    std::set<zone_id> assignedZones;
    const std::vector<member_info> all = fleet->zoneDeputies();
    if (fleet->isZoneDeputy()) {
        assignedZones.insert(fleet->zone());
    }
    if (all.empty() || all.front().node != fleet->self()) {
        return assignedZones;
    }
    for (const pool_settings &pool : fleet->document()->pools) {
        for (const server_settings &server : pool.servers) {
            if (std::ranges::find(all, server.zone, &member_info::zone) == all.end()) {
                assignedZones.insert(server.zone);
            }
        }
    }
    return assignedZones;
}

std::optional<member_info> weight_service::implementation::deputyOf(const zone_id &zone) const
{
    const std::vector<member_info> all = fleet->zoneDeputies();
    const auto found = std::ranges::find(all, zone, &member_info::zone);
    if (found != all.end()) {
        return *found;
    }
    return all.empty() ? std::nullopt : std::optional<member_info>(all.front());
}

void weight_service::implementation::onFleetChanged()
{
    const std::shared_ptr<const fleet_document> document = fleet->document();
    if (!document) {
        return;
    }
    addresses.clear();
    for (const pool_settings &pool : document->pools) {
        for (const server_settings &server : pool.servers) {
            const std::optional<endpoint> where = endpointOf(server.address);
            if (where) {
                addresses[server.id] = *where;
            }
        }
    }
    updateRollouts(*document);
    updateDeputies(*document);
    armTimer();
}

void weight_service::implementation::updateRollouts(const fleet_document &document)
{
    for (const run_settings &run : document.runs) {
        const pool_settings *pool = document.findPool(run.pool);
        rollout_input::servers_changed event;
        event.pool = run.pool;
        event.bytesPerSecond = weightStoreRateOf(document, run);
        event.shardBytes = static_cast<double>(run.weightBytesPerServer);
        for (const server_settings &server : pool->servers) {
            event.servers.push_back({ server.id, server.zone, server.checksFencing });
        }
        rollouts.try_emplace(run.id, run.id, rollout_options{});
        dispatchToRollout(run.id, event);
    }
    std::erase_if(rollouts, [&document](const auto &item) {
        return document.findRun(item.first) == nullptr;
    });
}

void weight_service::implementation::updateDeputies(const fleet_document &document)
{
    const std::set<zone_id> assignedZones = servedZones();
    const std::string name = fleet->self().str() + "-" + std::to_string(context.processIncarnation) + "-" + std::to_string(++deputyNameCounter);
    std::erase_if(deputies, [&assignedZones](const auto &item) {
        return !assignedZones.contains(item.first);
    });
    for (const zone_id &zone : assignedZones) {
        deputy_input::servers_changed event;
        for (const pool_settings &pool : document.pools) {
            const std::vector<run_id> poolRuns = runsOfPool(document, pool.id);
            for (const server_settings &server : pool.servers) {
                if (server.zone == zone && !poolRuns.empty()) {
                    event.servers.push_back({ server.id, server.checksFencing, poolRuns });
                }
            }
        }
        deputies.try_emplace(zone, zone, name, deputy_options{});
        dispatchToDeputy(zone, event);
    }
}

void weight_service::implementation::dispatchToRollout(const run_id &run, const rollout_event_item &event)
{
    const auto found = rollouts.find(run);
    if (found == rollouts.end()) {
        return;
    }
    for (const zone_order &order : found->second.onEvent(monotonicNow(), event)) {
        sendOrder(order);
    }
    if (found->second.phase() != rollout_phase::Standby) {
        runs->onWeightVersions(run, found->second.published(), found->second.newestServed());
    }
    armTimer();
}

void weight_service::implementation::sendOrder(const zone_order &order)
{
    const std::optional<member_info> deputy = deputyOf(order.zone);
    if (!deputy) {
        return; // The rollout repeats the order later, when there may be a deputy.
    }
    logLine(log_level::Info,
            "weight-order",
            { { "run", order.order.run.str() },
              { "zone", order.zone.str() },
              { "op", order.order.operation },
              { "version", std::to_string(order.order.version) },
              { "servers", std::to_string(order.order.servers.size()) },
              { "epoch", std::to_string(order.order.epoch) } });
    if (deputy->node == fleet->self()) {
        boost::asio::post(context.control, [self = weak_from_this(), order] {
            const auto strong = self.lock();
            if (strong && strong->deputies.contains(order.zone)) {
                strong->dispatchToDeputy(order.zone, deputy_input::order_received{ order.order });
            }
        });
        return;
    }
    const std::optional<link_id> link = fleet->linkToSteward(deputy->node);
    if (link) {
        fleet->bus().send(*link, order.order);
    }
}

void weight_service::implementation::dispatchToDeputy(const zone_id &zone, const deputy_event &event)
{
    const auto found = deputies.find(zone);
    if (found == deputies.end()) {
        return;
    }
    for (const deputy_action_item &action : found->second.onEvent(monotonicNow(), event)) {
        std::visit(
            [this, &zone](const auto &known) {
                perform(zone, known);
            },
            action);
    }
    armTimer();
}

void weight_service::implementation::perform(const zone_id &zone, const deputy_action::order_server &order)
{
    const auto answer = [self = weak_from_this(), zone, order](deputy_input::order_answered::outcome outcome) {
        if (const auto strong = self.lock(); strong && !strong->isStopped) {
            strong->dispatchToDeputy(zone, deputy_input::order_answered{ order.server, order.run, order.operation, order.version, outcome });
        }
    };
    const auto where = addresses.find(order.server);
    if (where == addresses.end()) {
        return;
    }
    const nlohmann::json body{
        { "op", order.operation }, { "run", order.run }, { "version", order.version }, { "fencing", order.fencing }, { "argument", order.argument }
    };
    http_request request{ "POST", "/admin/weights", { { "Content-Type", "application/json" } }, body.dump() };
    const http_call_options &limits = order.operation == stageOperation ? stageLimits : switchLimits;
    if (monotonicNow() >= order.notAfter) {
        boost::asio::post(context.control, [answer] {
            answer(deputy_input::order_answered::outcome::Refused);
        });
        return;
    }
    client.call(where->second, std::move(request), limits, [answer](const http_call_end &end, const http_response &response) {
        answer(outcomeOf(end, response));
    });
}

void weight_service::implementation::perform(const zone_id &zone, const deputy_action::read_load &read)
{
    const auto where = addresses.find(read.server);
    if (where == addresses.end()) {
        return;
    }
    client.call(where->second,
                { "GET", "/load", {}, "" },
                loadLimits,
                [self = weak_from_this(), zone, server = read.server](const http_call_end &end, const http_response &response) {
                    const auto strong = self.lock();
                    if (!strong || strong->isStopped) {
                        return;
                    }
                    deputy_input::load_read event;
                    event.server = server;
                    const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
                    event.isAnswered = end.error == error_kind::None && response.status == 200 && body.is_object();
                    if (event.isAnswered) {
                        event.state = body.value("state", "");
                        event.baseVersion = body.value("weight_version", weight_version{ 0 });
                        const nlohmann::json versions = body.value("versions", nlohmann::json::object());
                        for (const auto &[run, version] : versions.items()) {
                            event.versions[run_id(run)] = version.is_number_unsigned() ? version.get<weight_version>() : 0;
                        }
                    }
                    strong->dispatchToDeputy(zone, event);
                });
}

void weight_service::implementation::perform(const zone_id &, const deputy_action::report &report)
{
    const std::optional<run_owner_view> owner = runs->ownerOf(report.content.run);
    if (!owner) {
        return;
    }
    if (owner->node == fleet->self()) {
        boost::asio::post(context.control, [self = weak_from_this(), content = report.content] {
            if (const auto strong = self.lock(); strong && !strong->isStopped) {
                strong->dispatchToRollout(content.run, rollout_input::zone_reported{ content });
            }
        });
        return;
    }
    const std::optional<link_id> link = fleet->linkToSteward(owner->node);
    if (link) {
        fleet->bus().send(*link, report.content);
    }
}

void weight_service::implementation::pollPublished()
{
    const std::weak_ptr<implementation> self = weak_from_this();
    const std::shared_ptr<const fleet_document> document = fleet->document();
    const std::optional<endpoint> where = document ? endpointOf(document->weightStoreAddress) : std::nullopt;
    for (const auto &[run, rollout] : rollouts) {
        if (!where || rollout.phase() == rollout_phase::Standby) {
            continue;
        }
        const std::string target = "/v1/models/" + run.str() + "/latest";
        client.call(*where, { "GET", target, {}, "" }, publishedVersionLimits, [self, run = run](const http_call_end &end, const http_response &response) {
            const auto strong = self.lock();
            const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
            if (!strong || strong->isStopped || end.error != error_kind::None || response.status != 200 || !body.is_object()) {
                return;
            }
            strong->dispatchToRollout(run, rollout_input::version_published{ body.value("version", weight_version{ 0 }) });
        });
    }
    pollTimer.expires_after(publishedPollInterval);
    pollTimer.async_wait([self](const boost::system::error_code &error) {
        const auto strong = self.lock();
        if (!error && strong && !strong->isStopped) {
            strong->pollPublished();
        }
    });
}

void weight_service::implementation::armTimer()
{
    time_point next = timeNever;
    for (const auto &[run, rollout] : rollouts) {
        next = std::min(next, rollout.nextDeadline());
    }
    for (const auto &[zone, deputy] : deputies) {
        next = std::min(next, deputy.nextDeadline());
    }
    if (next == timeNever || isStopped) {
        return;
    }
    timer.expires_after(std::max(duration(1000), next - monotonicNow()));
    timer.async_wait([self = weak_from_this()](const boost::system::error_code &error) {
        const auto strong = self.lock();
        if (!error && strong && !strong->isStopped) {
            strong->onTimer();
        }
    });
}

void weight_service::implementation::onTimer()
{
    const time_point now = monotonicNow();
    std::vector<run_id> dueRuns;
    for (const auto &[run, rollout] : rollouts) {
        if (rollout.nextDeadline() <= now) {
            dueRuns.push_back(run);
        }
    }
    std::vector<zone_id> dueZones;
    for (const auto &[zone, deputy] : deputies) {
        if (deputy.nextDeadline() <= now) {
            dueZones.push_back(zone);
        }
    }
    for (const run_id &run : dueRuns) {
        dispatchToRollout(run, rollout_input::timer{});
    }
    for (const zone_id &zone : dueZones) {
        dispatchToDeputy(zone, deputy_input::timer{});
    }
    armTimer();
}

} // namespace reedtrail
