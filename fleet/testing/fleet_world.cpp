// Each node's cores run as in the steward: a step is performed at once, and the next deadline is an event of virtual time. A paused node holds back whatever
// reaches it, timers included, and takes it in order when it wakes. Stale timer events find nothing due, which costs little and needs no cancelling.

#include "fleet/testing/fleet_world.h"

#include <algorithm>

namespace reedtrail::testing {
namespace {

constexpr duration dutyDelay = std::chrono::milliseconds(200);
constexpr std::size_t settingsWatchersPerZone = 2;
constexpr std::uint64_t failedReadsUntilUnable = 4;
constexpr std::ptrdiff_t mostUnableInAZone = 4;
constexpr std::uint64_t frameBytes = 6 + 40; // WebSocket header with mask, TCP and IP headers
constexpr std::uint64_t questionBytes = 60;
constexpr std::size_t seedNodes = 3;
constexpr std::size_t longestSummary = 60;

} // namespace

fleet_world::fleet_world(fleet_world_options options, std::uint64_t seed)
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

void fleet_world::run(duration span)
{
    m_time.runUntil(m_time.now() + span);
}

std::optional<std::size_t> fleet_world::indexOf(const std::string &address) const
{
    const auto found = m_byAddress.find(address);
    return found == m_byAddress.end() ? std::nullopt : std::optional(found->second);
}

void fleet_world::start(std::size_t index)
{
    world_node &node = m_nodes[index];
    const std::uint64_t generation = ++node.generation;
    node.isUp = true;
    node.isPaused = false;
    node.held.clear();
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
    node.areDutiesOld = true;
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < std::min(seedNodes, m_nodes.size()); ++i) {
        seeds.push_back(m_nodes[i].address);
    }
    node.gossip->setSeedAddresses(seeds);
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

void fleet_world::kill(std::size_t index)
{
    world_node &node = m_nodes[index];
    node.isUp = false;
    ++node.generation;
    node.held.clear();
    m_store.forgetClient(node.name);
}

void fleet_world::leave(std::size_t index)
{
    perform(index, m_nodes[index].gossip->leave(m_time.now()));
    kill(index);
}

void fleet_world::replace(std::size_t index, const std::string &name)
{
    kill(index);
    m_nodes[index].name = name;
    m_nodes[index].disk.reset();
    start(index);
}

void fleet_world::pause(std::size_t index, duration span)
{
    m_nodes[index].isPaused = true;
    m_time.after(span, [this, index, generation = m_nodes[index].generation] {
        world_node &node = m_nodes[index];
        if (!node.isUp || node.generation != generation) {
            return;
        }
        node.isPaused = false;
        while (!node.held.empty() && !node.isPaused) {
            const std::function<void()> action = std::move(node.held.front());
            node.held.pop_front();
            action();
        }
    });
}

void fleet_world::cut(std::size_t from, std::size_t to, bool isCut)
{
    m_network.cut(m_nodes[from].address, m_nodes[to].address, isCut);
}

void fleet_world::cutZone(std::size_t zone, bool isCut)
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

void fleet_world::cutRegion(std::size_t region, bool isCut)
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

void fleet_world::confirm(std::size_t index, const std::string &text, std::function<void(const settings_confirm_end &)> onEnd)
{
    world_node &node = m_nodes[index];
    const std::uint64_t number = m_nextConfirm++;
    node.confirms[number] = std::move(onEnd);
    settings_change change;
    change.baseRevision = node.settings->revision();
    change.operation = node.name + "/" + std::to_string(node.generation) + "/" + std::to_string(number);
    change.operatorName = "operator";
    change.summary = text.substr(0, longestSummary);
    change.document = { { "text", text } };
    perform(index, node.settings->confirm(m_time.now(), number, std::move(change)));
}

/** Runs @p action for the process of that generation, or holds it back while the process stands still. */
void fleet_world::deliver(std::size_t to, std::uint64_t generation, std::function<void()> action)
{
    world_node &node = m_nodes[to];
    if (!node.isUp || node.generation != generation) {
        return;
    }
    if (node.isPaused) {
        node.held.push_back(std::move(action));
        return;
    }
    action();
}

void fleet_world::perform(std::size_t index, const membership_step &step)
{
    for (const membership_send &send : step.sends) {
        sendHeartbeat(index, send);
    }
    for (const membership_change &change : step.changes) {
        m_zoneLosses += change.isReachable ? 0 : 1;
        m_nodes[index].suspicions += change.cause == "silent" ? 1 : 0;
        const bool isDeath = !change.node.empty() && change.state == member_state::Dead;
        const auto subject = std::ranges::find(m_nodes, change.node.str(), &world_node::name);
        if (isDeath && subject != m_nodes.end() && subject->isUp) {
            ++m_falseDeaths;
        }
    }
    if (step.hasNewView || m_nodes[index].areDutiesOld) {
        refreshDuties(index);
    }
    schedule(index);
}

/** Looks the duties up a little later, so that many changes at once cost one look. */
void fleet_world::refreshDuties(std::size_t index)
{
    world_node &node = m_nodes[index];
    if (node.isDutyLookScheduled) {
        return;
    }
    node.areDutiesOld = false;
    node.isDutyLookScheduled = true;
    m_time.after(dutyDelay, [this, index, generation = node.generation] {
        m_nodes[index].isDutyLookScheduled = false;
        deliver(index, generation, [this, index] {
            world_node &node = m_nodes[index];
            const std::vector<member_info> &members = node.gossip->reachable();
            const bool isWatcher = hasDuty("settings-watcher", node.gossip->self().zone, members, settingsWatchersPerZone, node.gossip->self().node);
            perform(index, node.settings->setWatcher(m_time.now(), isWatcher));
        });
    });
}

/** Encodes and decodes a message as two processes would, and counts it. */
std::shared_ptr<const heartbeat> fleet_world::throughCodec(std::size_t from, std::size_t to, const heartbeat &message)
{
    const std::vector<std::uint8_t> bytes = encodeMessage(message);
    countSent(from, to, bytes.size() + frameBytes);
    auto decoded = std::make_shared<heartbeat>();
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(received, decodeEnvelope(bytes));
        BOOST_LEAF_ASSIGN(*decoded, decodeBody<heartbeat>(received));
        return {};
    });
    REEDTRAIL_CHECK(!error, "a heartbeat must pass through its codec");
    return decoded;
}

void fleet_world::countSent(std::size_t from, std::size_t to, std::uint64_t bytes)
{
    m_nodes[from].traffic.sentBytes += bytes;
    m_nodes[to].traffic.receivedBytes += bytes;
    ++m_nodes[from].traffic.sentMessages;
}

void fleet_world::sendHeartbeat(std::size_t from, const membership_send &send)
{
    const std::optional<std::size_t> to = indexOf(send.address);
    if (!to) {
        return;
    }
    const std::shared_ptr<const heartbeat> carried = m_isCounting ? throughCodec(from, *to, *send.message) : send.message;
    m_network.send(m_nodes[from].address, send.address, [this, to = *to, message = carried] {
        deliver(to, m_nodes[to].generation, [this, to, message] {
            perform(to, m_nodes[to].gossip->onHeartbeat(m_time.now(), *message));
            if (message->revision > m_nodes[to].settings->revision()) {
                perform(to, m_nodes[to].settings->onPeerRevision(m_time.now(), message->address, message->revision));
            }
        });
    });
}

void fleet_world::perform(std::size_t index, const settings_step &step)
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

void fleet_world::act(std::size_t index, const settings_adopt &action)
{
    world_node &node = m_nodes[index];
    REEDTRAIL_CHECK(action.record->revision >= node.highestRevision, "a node's settings must never revert");
    node.highestRevision = action.record->revision;
    if (m_options.hasDisk) {
        node.disk = *action.record;
    }
    node.gossip->setRevision(m_time.now(), action.record->revision);
}

void fleet_world::act(std::size_t index, const settings_ask &action)
{
    const std::optional<std::size_t> to = indexOf(action.address);
    if (!to) {
        return;
    }
    const std::uint64_t asker = m_nodes[index].generation;
    if (m_isCounting) {
        countSent(index, *to, questionBytes);
    }
    m_network.send(m_nodes[index].address, action.address, [this, index, asker, to = *to] {
        deliver(to, m_nodes[to].generation, [this, index, asker, to] {
            const auto record = m_nodes[to].settings->inForce();
            if (!record) {
                return;
            }
            if (m_isCounting) {
                countSent(to, index, encodeMessage(*record).size() + frameBytes);
            }
            m_network.send(m_nodes[to].address, m_nodes[index].address, [this, index, asker, record] {
                deliver(index, asker, [this, index, record] {
                    perform(index, m_nodes[index].settings->onRecord(m_time.now(), *record));
                });
            });
        });
    });
}

void fleet_world::act(std::size_t index, const settings_read &action)
{
    m_store.client(m_nodes[index].name)
        .range({ action.key, false, 0 }, [this, index, key = action.key, generation = m_nodes[index].generation](const store_range_answer &answer) {
            deliver(index, generation, [this, index, key, answer] {
                world_node &node = m_nodes[index];
                perform(index, node.settings->onStoreRange(m_time.now(), key, answer));
                const bool isUnable = node.settings->failedReads() >= failedReadsUntilUnable;
                const auto unable = std::ranges::count_if(node.gossip->reachable(), [&](const member_info &member) {
                    return member.zone == node.gossip->self().zone && !member.isStoreReachable;
                });
                if (!isUnable || unable < mostUnableInAZone) {
                    node.gossip->setStoreReachable(!isUnable);
                    refreshDuties(index);
                }
            });
        });
}

void fleet_world::act(std::size_t index, const settings_open_watch & /*action*/)
{
    world_node &node = m_nodes[index];
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

void fleet_world::act(std::size_t index, const settings_close_watch & /*action*/)
{
    m_store.client(m_nodes[index].name).cancelWatch(m_nodes[index].watch);
}

void fleet_world::act(std::size_t index, const settings_commit &action)
{
    m_store.client(m_nodes[index].name)
        .txn(action.txn, [this, index, number = action.number, generation = m_nodes[index].generation](const store_txn_answer &answer) {
            deliver(index, generation, [this, index, number, answer] {
                perform(index, m_nodes[index].settings->onTxnAnswer(m_time.now(), number, answer));
            });
        });
}

void fleet_world::act(std::size_t index, const settings_confirm_end &action)
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

void fleet_world::schedule(std::size_t index)
{
    world_node &node = m_nodes[index];
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

node_traffic fleet_world::totalTraffic() const
{
    node_traffic total;
    for (const world_node &node : m_nodes) {
        total.sentBytes += node.traffic.sentBytes;
        total.receivedBytes += node.traffic.receivedBytes;
        total.sentMessages += node.traffic.sentMessages;
    }
    return total;
}

std::size_t fleet_world::believersIn(std::size_t index) const
{
    std::size_t believers = 0;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const bool counts = m_nodes[i].isUp && i != index && std::ranges::any_of(m_nodes[i].gossip->reachable(), [&](const member_info &member) {
                                return member.node.str() == m_nodes[index].name;
                            });
        believers += counts ? 1 : 0;
    }
    return believers;
}

bool fleet_world::isAgreed() const
{
    std::vector<std::string> running;
    for (const world_node &node : m_nodes) {
        if (node.isUp) {
            running.push_back(node.name);
        }
    }
    std::ranges::sort(running);
    return std::ranges::all_of(m_nodes, [&](const world_node &node) {
        if (!node.isUp) {
            return true;
        }
        const std::vector<member_info> &seen = node.gossip->reachable();
        return std::ranges::equal(seen, running, {}, [](const member_info &member) {
            return member.node.str();
        });
    });
}

std::uint64_t fleet_world::lowestRevision() const
{
    std::uint64_t lowest = ~std::uint64_t{ 0 };
    for (const world_node &node : m_nodes) {
        lowest = node.isUp ? std::min(lowest, node.settings->revision()) : lowest;
    }
    return lowest;
}

} // namespace reedtrail::testing
