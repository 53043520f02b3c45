// A server that has not staged a version downloads its shard during the switch; the baseline of the benchmark works so. The weight store refuses a download
// that would exceed its rate, and the server tries again later.

#include "weights/testing/fake_servers.h"

#include <algorithm>

namespace reedtrail::harness {
namespace {

constexpr std::int64_t leaseSeconds = 5;
constexpr duration tickInterval = std::chrono::milliseconds(20);
constexpr duration ownershipLossDelay = std::chrono::seconds(4);
constexpr duration orderDelay = std::chrono::milliseconds(2);

} // namespace

fake_servers::fake_servers(fake_servers_options options)
    : m_options(options)
    , m_random(options.seed)
    , m_network(m_world, m_random.fork(), options.network)
{
    m_servers.resize(options.servers);
    m_deputies.resize(options.zones);
    std::vector<deputy_input::servers_changed> zones(options.zones);
    std::vector<run_id> runs;
    for (std::size_t run = 0; run < options.runs; ++run) {
        runs.emplace_back(std::to_string(run));
    }
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        server &each = m_servers[index];
        each.id = server_id("engine-" + std::to_string(index));
        each.zone = index % options.zones;
        each.checksFencing = m_random.chance(options.fencingShare);
        each.slowFactor = m_random.chance(options.slowShare) ? options.slowServerFactor : 1;
        for (std::size_t run = 0; run < options.runs; ++run) {
            each.versions[run] = 1;
        }
        m_serverIndex[each.id] = index;
        zones[each.zone].servers.push_back({ each.id, each.checksFencing, runs });
    }
    for (std::size_t zone = 0; zone < options.zones; ++zone) {
        m_deputies[zone].name = "deputy-" + std::to_string(zone);
        m_deputies[zone].core = std::make_unique<weight_deputy>(zone_id(std::to_string(zone)), m_deputies[zone].name, deputy_options{});
        notifyDeputy(zone, zones[zone]);
    }
    addOwner(true);
}

fake_servers::~fake_servers() = default;

std::size_t fake_servers::runIndex(const run_id &run)
{
    return std::stoul(run.str());
}

void fake_servers::runFor(duration span)
{
    m_world.runUntil(m_world.now() + span);
}

void fake_servers::addOwner(bool isFirst)
{
    run_owner each;
    each.name = "owner-" + std::to_string(m_owners.size());
    each.epoch = m_owners.size() + 1;
    each.leaseUntil = m_world.now() + std::chrono::seconds(leaseSeconds);
    for (std::size_t run = 0; run < m_options.runs; ++run) {
        each.rollouts.push_back(std::make_unique<weight_rollout>(run_id(std::to_string(run)), m_options.rollout));
    }
    m_owners.push_back(std::move(each));
    const std::size_t index = m_owners.size() - 1;
    rollout_input::servers_changed event;
    event.bytesPerSecond = m_options.bytesPerSecond / static_cast<double>(m_options.runs);
    event.shardBytes = m_options.shardBytes;
    for (const server &target : m_servers) {
        event.servers.push_back({ target.id, zone_id(std::to_string(target.zone)), target.checksFencing });
    }
    for (std::size_t run = 0; run < m_options.runs; ++run) {
        notifyRollout(index, run, event);
        notifyRollout(index, run, rollout_input::ownership_gained{ m_owners[index].epoch, m_owners[index].leaseUntil, isFirst });
        if (m_published.contains(run)) {
            notifyRollout(index, run, rollout_input::version_published{ m_published.at(run) });
        }
    }
    scheduleTick(index);
}

void fake_servers::publish(weight_version version, std::size_t run)
{
    m_published[run] = version;
    for (std::size_t index = 0; index < m_owners.size(); ++index) {
        notifyRollout(index, run, rollout_input::version_published{ version });
    }
}

void fake_servers::deliver(std::size_t index, std::function<void()> action)
{
    if (m_owners[index].isPaused) {
        m_owners[index].deferred.push_back(std::move(action));
    } else {
        action();
    }
}

void fake_servers::scheduleTick(std::size_t index)
{
    m_world.after(tickInterval, [this, index] {
        deliver(index, [this, index] {
            run_owner &each = m_owners[index];
            if (!each.isLeaseExpired) {
                each.leaseUntil = m_world.now() + std::chrono::seconds(leaseSeconds);
            }
            for (std::size_t run = 0; run < m_options.runs; ++run) {
                if (!each.isLeaseExpired) {
                    notifyRollout(index, run, rollout_input::lease_renewed{ each.leaseUntil });
                }
                notifyRollout(index, run, rollout_input::timer{});
            }
            scheduleTick(index);
        });
    });
}

void fake_servers::takeOver(duration leaseLeft)
{
    const std::size_t previous = m_owners.size() - 1;
    if (m_owners[previous].isLeaseExpired) {
        return; // A takeover is already in progress.
    }
    m_owners[previous].isLeaseExpired = true;
    m_world.after(leaseLeft, [this] {
        addOwner(false);
    });
    m_world.after(leaseLeft + ownershipLossDelay, [this, previous] {
        deliver(previous, [this, previous] {
            for (std::size_t run = 0; run < m_options.runs; ++run) {
                notifyRollout(previous, run, rollout_input::ownership_lost{}); // The store reports the loss of ownership with a delay.
            }
        });
    });
}

void fake_servers::pauseOwner(duration span)
{
    const std::size_t index = m_owners.size() - 1;
    m_owners[index].isPaused = true;
    m_world.after(span, [this, index] {
        m_owners[index].isPaused = false;
        std::vector<std::function<void()>> deferred;
        deferred.swap(m_owners[index].deferred);
        for (const auto &action : deferred) {
            deliver(index, action);
        }
    });
}

void fake_servers::partitionZone(std::size_t zone, bool isPartitioned)
{
    for (const run_owner &each : m_owners) {
        m_network.cutBoth(each.name, m_deputies[zone].name, isPartitioned);
    }
}

void fake_servers::restartServer(std::size_t index)
{
    server &each = m_servers[index];
    ++each.incarnation;
    each.isSwapping = false;
    each.staged.clear();
    each.fencing.clear();
    for (auto &[run, version] : each.versions) {
        version = 1;
    }
}

void fake_servers::notifyRollout(std::size_t index, std::size_t run, const rollout_event_item &event)
{
    weight_rollout &core = *m_owners[index].rollouts[run];
    for (const zone_order &order : core.onEvent(m_world.now(), event)) {
        if (order.order.operation == switchOperation) {
            m_switchStartedAt.emplace(order.order.version, m_world.now());
        }
        const std::size_t zone = std::stoul(order.zone.str());
        m_network.send(m_owners[index].name, m_deputies[zone].name, [this, zone, content = order.order] {
            notifyDeputy(zone, deputy_input::order_received{ content });
        });
    }
}

void fake_servers::notifyDeputy(std::size_t zone, const deputy_event &event)
{
    for (const deputy_action_item &action : m_deputies[zone].core->onEvent(m_world.now(), event)) {
        std::visit(
            [this, zone](const auto &known) {
                perform(zone, known);
            },
            action);
    }
    armDeputyTimer(zone);
}

void fake_servers::armDeputyTimer(std::size_t zone)
{
    deputy &each = m_deputies[zone];
    const time_point next = each.core->nextDeadline();
    if (next == timeNever || (each.timerAt <= next && each.timerAt > m_world.now())) {
        return;
    }
    each.timerAt = std::max(next, m_world.now() + std::chrono::milliseconds(1));
    m_world.at(each.timerAt, [this, zone, generation = ++each.timerGeneration] {
        if (m_deputies[zone].timerGeneration == generation) {
            m_deputies[zone].timerAt = timeNever;
            notifyDeputy(zone, deputy_input::timer{});
        }
    });
}

void fake_servers::perform(std::size_t zone, const deputy_action::order_server &order)
{
    const bool isDelayed = m_random.chance(m_options.delayedOrderShare);
    m_world.after(isDelayed ? fromSeconds(m_random.uniform(0, 20)) : orderDelay, [this, zone, order] {
        execute(zone, m_serverIndex.at(order.server), order);
    });
}

void fake_servers::execute(std::size_t zone, std::size_t index, const deputy_action::order_server &order)
{
    server &each = m_servers[index];
    epoch_number &highest = each.fencing[runIndex(order.run)];
    if (order.fencing < highest) {
        if (each.checksFencing) {
            answer(zone, order, deputy_input::order_answered::outcome::Refused);
            return;
        }
        ++m_staleOrdersExecuted;
    }
    highest = std::max(highest, order.fencing);
    if (order.operation == stageOperation) {
        stage(zone, index, order);
    } else {
        swap(zone, index, order);
    }
}

void fake_servers::addDownloadRate(double rate)
{
    m_downloadRate += rate;
    m_peakDownloadRate = std::max(m_peakDownloadRate, m_downloadRate);
}

void fake_servers::stage(std::size_t zone, std::size_t index, const deputy_action::order_server &order)
{
    const double rate = m_options.linkBytesPerSecond / m_servers[index].slowFactor;
    addDownloadRate(rate);
    m_world.after(fromSeconds(m_options.shardBytes / rate), [this, zone, index, order, rate, incarnation = m_servers[index].incarnation] {
        addDownloadRate(-rate);
        if (m_servers[index].incarnation == incarnation) {
            m_servers[index].staged[runIndex(order.run)].insert(order.version);
            answer(zone, order, deputy_input::order_answered::outcome::Done);
        } else {
            answer(zone, order, deputy_input::order_answered::outcome::Unknown);
        }
    });
}

void fake_servers::swap(std::size_t zone, std::size_t index, const deputy_action::order_server &order)
{
    server &each = m_servers[index];
    const std::size_t run = runIndex(order.run);
    if (each.versions[run] == order.version || each.isSwapping) { // An older version is loaded too: a server that ignores fencing tokens accepts it.
        answer(zone, order, each.isSwapping ? deputy_input::order_answered::outcome::Failed : deputy_input::order_answered::outcome::Done);
        return;
    }
    each.isSwapping = true;
    std::size_t swapping = 0;
    std::size_t inZone = 0;
    for (const server &other : m_servers) {
        inZone += other.zone == each.zone ? 1 : 0;
        swapping += other.zone == each.zone && other.isSwapping ? 1 : 0;
    }
    m_maxSwappingShare = std::max(m_maxSwappingShare, static_cast<double>(swapping) / static_cast<double>(inZone));
    const duration span = fromSeconds(toSeconds(m_options.switchTime) * each.slowFactor * m_random.uniform(0.8, 1.2));
    if (each.staged[run].contains(order.version)) {
        m_world.after(span, [this, zone, index, order, incarnation = each.incarnation] {
            finishSwap(zone, index, order, incarnation);
        });
        return;
    }
    const double rate = m_options.linkBytesPerSecond / each.slowFactor;
    if (m_downloadRate + rate > m_options.bytesPerSecond) {
        each.isSwapping = false;
        m_world.after(std::chrono::milliseconds(500), [this, zone, index, order] {
            swap(zone, index, order); // The weight store refused the download with status 429.
        });
        return;
    }
    addDownloadRate(rate);
    m_world.after(span + fromSeconds(m_options.shardBytes / rate), [this, zone, index, order, rate, incarnation = each.incarnation] {
        addDownloadRate(-rate);
        finishSwap(zone, index, order, incarnation);
    });
}

void fake_servers::finishSwap(std::size_t zone, std::size_t index, const deputy_action::order_server &order, std::uint64_t incarnation)
{
    server &each = m_servers[index];
    if (each.incarnation != incarnation) {
        answer(zone, order, deputy_input::order_answered::outcome::Unknown);
        return;
    }
    each.isSwapping = false;
    const bool isFailed = m_random.chance(m_options.partialFailureShare);
    each.versions[runIndex(order.run)] = isFailed ? 0 : order.version;
    answer(zone, order, isFailed ? deputy_input::order_answered::outcome::Failed : deputy_input::order_answered::outcome::Done);
}

void fake_servers::answer(std::size_t zone, const deputy_action::order_server &order, deputy_input::order_answered::outcome outcome)
{
    m_world.after(orderDelay, [this, zone, order, outcome] {
        notifyDeputy(zone, deputy_input::order_answered{ order.server, order.run, order.operation, order.version, outcome });
    });
}

void fake_servers::perform(std::size_t zone, const deputy_action::read_load &read)
{
    const server &each = m_servers[m_serverIndex.at(read.server)];
    deputy_input::load_read event{
        .server = read.server, .isAnswered = true, .state = each.isSwapping ? "swapping" : "ready", .baseVersion = 1, .versions = {}
    };
    for (const auto &[run, version] : each.versions) {
        event.versions[run_id(std::to_string(run))] = version;
        event.state = version == 0 && !each.isSwapping ? "unknown-version" : event.state;
    }
    m_world.after(m_options.loadReportDelay, [this, zone, event] {
        notifyDeputy(zone, event);
    });
}

void fake_servers::perform(std::size_t zone, const deputy_action::report &report)
{
    for (std::size_t index = 0; index < m_owners.size(); ++index) {
        m_network.send(m_deputies[zone].name, m_owners[index].name, [this, index, content = report.content] {
            deliver(index, [this, index, content] {
                notifyRollout(index, runIndex(content.run), rollout_input::zone_reported{ content });
            });
        });
    }
}

std::size_t fake_servers::serversAt(weight_version version, std::size_t run) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_servers, [version, run](const server &each) {
        return each.versions.at(run) >= version;
    }));
}

std::size_t fake_servers::unknownInSampling() const
{
    std::size_t count = 0;
    for (std::size_t run = 0; run < m_options.runs; ++run) {
        const std::vector<server_id> out = rollout(run).serversExcludedFromSampling();
        for (const server &each : m_servers) {
            count += each.versions.at(run) == 0 && std::ranges::find(out, each.id) == out.end() ? 1 : 0;
        }
    }
    return count;
}

std::optional<time_point> fake_servers::switchStartedAt(weight_version version) const
{
    const auto found = m_switchStartedAt.find(version);
    return found == m_switchStartedAt.end() ? std::nullopt : std::optional(found->second);
}

const weight_rollout &fake_servers::rollout(std::size_t run) const
{
    return *m_owners.back().rollouts[run];
}

} // namespace reedtrail::harness
