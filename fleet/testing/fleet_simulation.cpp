// The state machines of each node run as in the steward: the actions of a step are performed at once, and the next deadline is scheduled in virtual time. A
// paused node queues all its events, timers included, and handles them in order when it resumes. Timer events that have become obsolete are not cancelled; the
// timer handler then finds nothing due.

#include "fleet/testing/fleet_simulation.h"

#include <algorithm>

namespace reedtrail::testing {
namespace {

constexpr duration dutyRefreshDelay = std::chrono::milliseconds(200);
constexpr std::size_t settingsWatchersPerZone = 2;
constexpr std::uint64_t failedReadsUntilUnreachable = 4;
constexpr std::ptrdiff_t maximumUnreachablePerZone = 4;
constexpr std::uint64_t frameBytes = 6 + 40; // WebSocket header with mask, TCP and IP headers
constexpr std::uint64_t requestBytes = 60;
constexpr std::size_t seedNodeCount = 3;
constexpr std::size_t maximumSummaryLength = 60;

} // namespace

fleet_simulation::fleet_simulation(fleet_simulation_options options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
    , m_network(m_time, m_random.fork(), { .loss = options.loss })
    , m_store(m_time, m_random.fork(), options.store)
    , m_nodes(options.nodes)
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        m_nodes[i].name = "node-" + std::to_string(i);
        m_nodes[i].address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":7003";
        m_byAddress[m_nodes[i].address] = i;
        start(i);
    }
}

void fleet_simulation::run(duration interval)
{
    m_time.runUntil(m_time.now() + interval);
}

std::optional<std::size_t> fleet_simulation::indexOf(const std::string &address) const
{
    const auto found = m_byAddress.find(address);
    return found == m_byAddress.end() ? std::nullopt : std::optional(found->second);
}

void fleet_simulation::start(std::size_t index)
{
    node_state &node = m_nodes[index];
    const std::uint64_t generation = ++node.generation;
    node.isUp = true;
    node.isPaused = false;
    node.heldEvents.clear();
    node.confirms.clear();
    member_info info;
    info.node = node_id(node.name);
    info.zone = zone_id("zone-" + std::to_string(zoneOf(index)));
    info.region = region_id("region-" + std::to_string(regionOf(index)));
    info.incarnation = static_cast<std::uint64_t>(m_time.now().time_since_epoch().count()) + 1;
    info.stewardAddress = node.address;
    info.gateAddress = node.address + "1";
    node.gossip = std::make_unique<membership>(m_options.gossip, info, m_random.next());
    node.settings = std::make_unique<settings_core>(m_options.settings, m_random.next());
    node.highestRevision = 0;
    node.gossipAt = timeNever;
    node.settingsAt = timeNever;
    node.areDutiesStale = true;
    std::vector<std::string> seedAddresses;
    for (std::size_t i = 0; i < std::min(seedNodeCount, m_nodes.size()); ++i) {
        seedAddresses.push_back(m_nodes[i].address);
    }
    node.gossip->setSeedAddresses(seedAddresses);
    if (m_options.hasDisk && node.disk) {
        node.highestRevision = node.disk->revision;
        perform(index, node.settings->onRecord(m_time.now(), *node.disk));
    }
    const duration phase = duration(static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(m_options.gossip.heartbeatInterval.count()))));
    m_time.after(phase, [this, index, generation] {
        deliver(index, generation, [this, index] {
            perform(index, m_nodes[index].gossip->onTimer(m_time.now()));
        });
    });
}

void fleet_simulation::kill(std::size_t index)
{
    node_state &node = m_nodes[index];
    node.isUp = false;
    ++node.generation;
    node.heldEvents.clear();
    m_store.forgetClient(node.name);
}

void fleet_simulation::leave(std::size_t index)
{
    perform(index, m_nodes[index].gossip->leave(m_time.now()));
    kill(index);
}

void fleet_simulation::replace(std::size_t index, const std::string &name)
{
    kill(index);
    m_nodes[index].name = name;
    m_nodes[index].disk.reset();
    start(index);
}

void fleet_simulation::pause(std::size_t index, duration interval)
{
    m_nodes[index].isPaused = true;
    m_time.after(interval, [this, index, generation = m_nodes[index].generation] {
        node_state &node = m_nodes[index];
        if (!node.isUp || node.generation != generation) {
            return;
        }
        node.isPaused = false;
        while (!node.heldEvents.empty() && !node.isPaused) {
            const std::function<void()> action = std::move(node.heldEvents.front());
            node.heldEvents.pop_front();
            action();
        }
    });
}

void fleet_simulation::cut(std::size_t from, std::size_t to, bool isCut)
{
    m_network.cut(m_nodes[from].address, m_nodes[to].address, isCut);
}

void fleet_simulation::cutZone(std::size_t zone, bool isCut)
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (zoneOf(i) != zone) {
            continue;
        }
        m_store.setCut(m_nodes[i].name, isCut);
        for (std::size_t j = 0; j < m_nodes.size(); ++j) {
            if (zoneOf(j) != zone) {
                m_network.cutBoth(m_nodes[i].address, m_nodes[j].address, isCut);
            }
        }
    }
}

void fleet_simulation::cutRegion(std::size_t region, bool isCut)
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (regionOf(i) != region) {
            continue;
        }
        m_store.setCut(m_nodes[i].name, isCut && region != 0);
        for (std::size_t j = 0; j < m_nodes.size(); ++j) {
            if (regionOf(j) != region) {
                m_network.cutBoth(m_nodes[i].address, m_nodes[j].address, isCut);
            }
        }
    }
}

void fleet_simulation::confirm(std::size_t index, const std::string &text, std::function<void(const settings_confirm_end &)> onEnd)
{
    node_state &node = m_nodes[index];
    const std::uint64_t number = m_nextConfirm++;
    node.confirms[number] = std::move(onEnd);
    settings_change change;
    change.baseRevision = node.settings->revision();
    change.operation = node.name + "/" + std::to_string(node.generation) + "/" + std::to_string(number);
    change.operatorName = "operator";
    change.summary = text.substr(0, maximumSummaryLength);
    change.document = { { "text", text } };
    perform(index, node.settings->confirm(m_time.now(), number, std::move(change)));
}

/** Runs @p action if the process of that generation still runs, or queues it while the process is paused. */
void fleet_simulation::deliver(std::size_t to, std::uint64_t generation, std::function<void()> action)
{
    node_state &node = m_nodes[to];
    if (!node.isUp || node.generation != generation) {
        return;
    }
    if (node.isPaused) {
        node.heldEvents.push_back(std::move(action));
        return;
    }
    action();
}

void fleet_simulation::perform(std::size_t index, const membership_step &step)
{
    for (const membership_send &send : step.sends) {
        sendHeartbeat(index, send);
    }
    for (const membership_change &change : step.changes) {
        m_zonesLost += change.isReachable ? 0 : 1;
        m_nodes[index].suspicions += change.cause == "silent" ? 1 : 0;
        const bool isDeath = !change.node.empty() && change.state == member_state::Dead;
        const auto subject = std::ranges::find(m_nodes, change.node.str(), &node_state::name);
        if (isDeath && subject != m_nodes.end() && subject->isUp) {
            ++m_falseDeaths;
        }
    }
    if (step.hasNewView || m_nodes[index].areDutiesStale) {
        refreshDuties(index);
    }
    schedule(index);
}

/** Schedules one recomputation of the node's duties for all changes within dutyRefreshDelay. */
void fleet_simulation::refreshDuties(std::size_t index)
{
    node_state &node = m_nodes[index];
    if (node.isDutyRefreshScheduled) {
        return;
    }
    node.areDutiesStale = false;
    node.isDutyRefreshScheduled = true;
    m_time.after(dutyRefreshDelay, [this, index, generation = node.generation] {
        m_nodes[index].isDutyRefreshScheduled = false;
        deliver(index, generation, [this, index] {
            node_state &node = m_nodes[index];
            const std::vector<member_info> &members = node.gossip->reachable();
            const bool isWatcher = hasDuty("settings-watcher", node.gossip->self().zone, members, settingsWatchersPerZone, node.gossip->self().node);
            perform(index, node.settings->setWatcher(m_time.now(), isWatcher));
        });
    });
}

/** Encodes and decodes a message as between two processes, and counts its bytes. */
std::shared_ptr<const heartbeat> fleet_simulation::encodeAndDecode(std::size_t from, std::size_t to, const heartbeat &message)
{
    const std::vector<std::uint8_t> bytes = encodeMessage(message);
    countSent(from, to, bytes.size() + frameBytes);
    auto decoded = std::make_shared<heartbeat>();
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(received, decodeEnvelope(bytes));
        BOOST_LEAF_ASSIGN(*decoded, decodeBody<heartbeat>(received));
        return {};
    });
    REEDTRAIL_CHECK(!error, "a heartbeat must survive encoding and decoding");
    return decoded;
}

void fleet_simulation::countSent(std::size_t from, std::size_t to, std::uint64_t bytes)
{
    m_nodes[from].traffic.sentBytes += bytes;
    m_nodes[to].traffic.receivedBytes += bytes;
    ++m_nodes[from].traffic.sentMessages;
}

void fleet_simulation::sendHeartbeat(std::size_t from, const membership_send &send)
{
    const std::optional<std::size_t> to = indexOf(send.address);
    if (!to) {
        return;
    }
    const std::shared_ptr<const heartbeat> delivered = m_isCountingTraffic ? encodeAndDecode(from, *to, *send.message) : send.message;
    m_network.send(m_nodes[from].address, send.address, [this, to = *to, message = delivered] {
        deliver(to, m_nodes[to].generation, [this, to, message] {
            perform(to, m_nodes[to].gossip->onHeartbeat(m_time.now(), *message));
            if (message->revision > m_nodes[to].settings->revision()) {
                perform(to, m_nodes[to].settings->onPeerRevision(m_time.now(), message->address, message->revision));
            }
        });
    });
}

void fleet_simulation::perform(std::size_t index, const settings_step &step)
{
    for (const settings_action &action : step) {
        std::visit(
            [this, index](const auto &each) {
                act(index, each);
            },
            action);
    }
    schedule(index);
}

void fleet_simulation::act(std::size_t index, const settings_adopt &action)
{
    node_state &node = m_nodes[index];
    REEDTRAIL_CHECK(action.record->revision >= node.highestRevision, "the settings revision of a node must not decrease");
    node.highestRevision = action.record->revision;
    if (m_options.hasDisk) {
        node.disk = *action.record;
    }
    node.gossip->setRevision(m_time.now(), action.record->revision);
}

void fleet_simulation::act(std::size_t index, const settings_ask &action)
{
    const std::optional<std::size_t> to = indexOf(action.address);
    if (!to) {
        return;
    }
    const std::uint64_t requesterGeneration = m_nodes[index].generation;
    if (m_isCountingTraffic) {
        countSent(index, *to, requestBytes);
    }
    m_network.send(m_nodes[index].address, action.address, [this, index, requesterGeneration, to = *to] {
        deliver(to, m_nodes[to].generation, [this, index, requesterGeneration, to] {
            const auto record = m_nodes[to].settings->inForce();
            if (!record) {
                return;
            }
            if (m_isCountingTraffic) {
                countSent(to, index, encodeMessage(*record).size() + frameBytes);
            }
            m_network.send(m_nodes[to].address, m_nodes[index].address, [this, index, requesterGeneration, record] {
                deliver(index, requesterGeneration, [this, index, record] {
                    perform(index, m_nodes[index].settings->onRecord(m_time.now(), *record));
                });
            });
        });
    });
}

void fleet_simulation::act(std::size_t index, const settings_read &action)
{
    m_store.client(m_nodes[index].name)
        .range({ action.key, false, 0 }, [this, index, key = action.key, generation = m_nodes[index].generation](const store_range_answer &answer) {
            deliver(index, generation, [this, index, key, answer] {
                node_state &node = m_nodes[index];
                perform(index, node.settings->onStoreRange(m_time.now(), key, answer));
                const bool isStoreUnreachable = node.settings->failedReads() >= failedReadsUntilUnreachable;
                const auto membersWithoutStore = std::ranges::count_if(node.gossip->reachable(), [&](const member_info &member) {
                    return member.zone == node.gossip->self().zone && !member.isStoreReachable;
                });
                if (!isStoreUnreachable || membersWithoutStore < maximumUnreachablePerZone) {
                    node.gossip->setStoreReachable(!isStoreUnreachable);
                    refreshDuties(index);
                }
            });
        });
}

void fleet_simulation::act(std::size_t index, const settings_open_watch & /*action*/)
{
    node_state &node = m_nodes[index];
    const std::uint64_t generation = node.generation;
    node.watch = m_store.client(node.name).watch({ settings_keys::revision, false, 0 },
                                                 { [this, index, generation](const store_watch_report &report) {
                                                      deliver(index, generation, [this, index, report] {
                                                          perform(index, m_nodes[index].settings->onWatchReport(m_time.now(), report));
                                                      });
                                                  },
                                                   [this, index, generation](const store_watch_end &) {
                                                       deliver(index, generation, [this, index] {
                                                           perform(index, m_nodes[index].settings->onWatchEnd(m_time.now()));
                                                       });
                                                   } });
}

void fleet_simulation::act(std::size_t index, const settings_close_watch & /*action*/)
{
    m_store.client(m_nodes[index].name).cancelWatch(m_nodes[index].watch);
}

void fleet_simulation::act(std::size_t index, const settings_commit &action)
{
    m_store.client(m_nodes[index].name)
        .txn(action.txn, [this, index, number = action.number, generation = m_nodes[index].generation](const store_txn_answer &answer) {
            deliver(index, generation, [this, index, number, answer] {
                perform(index, m_nodes[index].settings->onTxnAnswer(m_time.now(), number, answer));
            });
        });
}

void fleet_simulation::act(std::size_t index, const settings_confirm_end &action)
{
    const auto found = m_nodes[index].confirms.find(action.number);
    if (found != m_nodes[index].confirms.end()) {
        const auto onEnd = found->second;
        m_nodes[index].confirms.erase(found);
        if (onEnd) {
            onEnd(action);
        }
    }
}

void fleet_simulation::schedule(std::size_t index)
{
    node_state &node = m_nodes[index];
    const time_point gossipAt = node.gossip->deadline();
    if (gossipAt < node.gossipAt || node.gossipAt <= m_time.now()) {
        node.gossipAt = gossipAt;
        m_time.at(gossipAt, [this, index, gossipAt, generation = node.generation] {
            deliver(index, generation, [this, index, gossipAt] {
                m_nodes[index].gossipAt = m_nodes[index].gossipAt == gossipAt ? timeNever : m_nodes[index].gossipAt;
                perform(index, m_nodes[index].gossip->onTimer(m_time.now()));
            });
        });
    }
    const time_point settingsAt = node.settings->deadline();
    if (settingsAt != timeNever && (settingsAt < node.settingsAt || node.settingsAt <= m_time.now())) {
        node.settingsAt = settingsAt;
        m_time.at(settingsAt, [this, index, settingsAt, generation = node.generation] {
            deliver(index, generation, [this, index, settingsAt] {
                m_nodes[index].settingsAt = m_nodes[index].settingsAt == settingsAt ? timeNever : m_nodes[index].settingsAt;
                perform(index, m_nodes[index].settings->onTimer(m_time.now()));
            });
        });
    }
}

node_traffic fleet_simulation::totalTraffic() const
{
    node_traffic total;
    for (const node_state &node : m_nodes) {
        total.sentBytes += node.traffic.sentBytes;
        total.receivedBytes += node.traffic.receivedBytes;
        total.sentMessages += node.traffic.sentMessages;
    }
    return total;
}

std::size_t fleet_simulation::viewsContaining(std::size_t index) const
{
    std::size_t views = 0;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const bool counts = m_nodes[i].isUp && i != index && std::ranges::any_of(m_nodes[i].gossip->reachable(), [&](const member_info &member) {
                                return member.node.str() == m_nodes[index].name;
                            });
        views += counts ? 1 : 0;
    }
    return views;
}

bool fleet_simulation::hasConverged() const
{
    std::vector<std::string> running;
    for (const node_state &node : m_nodes) {
        if (node.isUp) {
            running.push_back(node.name);
        }
    }
    std::ranges::sort(running);
    return std::ranges::all_of(m_nodes, [&](const node_state &node) {
        if (!node.isUp) {
            return true;
        }
        const std::vector<member_info> &view = node.gossip->reachable();
        return std::ranges::equal(view, running, {}, [](const member_info &member) {
            return member.node.str();
        });
    });
}

std::uint64_t fleet_simulation::lowestRevision() const
{
    std::uint64_t lowest = ~std::uint64_t{ 0 };
    for (const node_state &node : m_nodes) {
        lowest = node.isUp ? std::min(lowest, node.settings->revision()) : lowest;
    }
    return lowest;
}

} // namespace reedtrail::testing
