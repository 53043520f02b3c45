#include "fleet/testing/snapshot_simulation.h"

#include "base/hash.h"

#include <algorithm>

namespace reedtrail::testing {

using namespace std::chrono_literals;

namespace {

constexpr auto prefix = "records/";
constexpr duration callTimeout = 2s; // Of a question to a peer.
constexpr double longestDelaySeconds = 1.5; // Of a message that is delayed.
constexpr duration readerPause = 3s;
constexpr std::uint64_t keyCount = 12;
constexpr duration heartbeat = 1200ms; // Of the servers' registrations.
constexpr double shareThatLeaves = 0.25; // Of the changes.
constexpr duration storeTimeout = 700ms; // Of a call on the direct path.
constexpr duration witnessTimeout = 300ms;
constexpr duration hidingTime = 1s; // Before the store drops its history, reads of changes do not show the newest ones.

} // namespace

void node_loop::after(duration delay, std::function<void()> action)
{
    m_world.after(delay, [this, action = std::move(action)] {
        m_simulation.runOrDefer(m_node, action);
    });
}

void simulated_source::list(const std::string &listedPrefix, bool isPrefix, std::function<void(const store_range_answer &)> onListing)
{
    const time_point begunAt = m_simulation.m_nodes.at(m_node).loop->now();
    m_simulation.m_nodes.at(m_node).client->range({ listedPrefix, isPrefix, 0 }, [this, onListing, begunAt](const store_range_answer &answer) {
        m_simulation.runOrDefer(m_node, [this, onListing, answer, begunAt] {
            m_simulation.recordCall(m_node, begunAt, !answer.error);
            onListing(answer);
        });
    });
}

void simulated_source::changes(const std::string &listedPrefix, store_revision after, std::function<void(const store_change_answer &)> onChanges)
{
    // The answer is formed when the store answers, from the history up to the revision that it names.
    const time_point begunAt = m_simulation.m_nodes.at(m_node).loop->now();
    m_simulation.m_nodes.at(m_node).client->range({ listedPrefix, true, 0 }, [this, after, onChanges, begunAt](const store_range_answer &answer) {
        const store_change_answer changes = answer.error ? store_change_answer{ answer.error, 0, {} } : m_simulation.changesSince(after, answer.revision);
        m_simulation.runOrDefer(m_node, [this, onChanges, changes, begunAt] {
            m_simulation.recordCall(m_node, begunAt, !changes.error);
            onChanges(changes);
        });
    });
}

std::optional<std::string> simulated_source::reader() const
{
    const auto &self = m_simulation.m_nodes.at(m_node);
    const std::string *best = &m_node;
    for (const auto &[name, each] : m_simulation.m_nodes) {
        const auto pause = m_pausedUntil.find(name);
        const bool isUsable = each.zone == self.zone && (pause == m_pausedUntil.end() || pause->second <= self.loop->now());
        if (isUsable && rendezvousRank(self.zone, name) > rendezvousRank(self.zone, *best)) {
            best = &name;
        }
    }
    return best == &m_node ? std::nullopt : std::optional(*best);
}

void simulated_source::ask(const std::string &reader, const snapshot_query &query, std::function<void(const std::optional<snapshot_reply> &)> onReply)
{
    auto &self = m_simulation.m_nodes.at(m_node);
    const time_point askedAt = self.loop->now();
    const auto isPending = std::make_shared<bool>(true);
    const auto finish = [isPending, onReply](const std::optional<snapshot_reply> &reply) {
        if (std::exchange(*isPending, false)) {
            onReply(reply);
        }
    };
    self.loop->after(callTimeout, [finish] {
        finish(std::nullopt);
    });
    const follow_form form = m_simulation.m_form;
    snapshot_query sent = query;
    if (form == follow_form::UnchangedIsFresh) {
        sent.maxAgeUs = duration::max().count();
    }
    m_simulation.send(m_node, reader, [this, reader, sent, finish, askedAt, form] {
        const auto &answering = m_simulation.m_nodes.at(reader);
        if (form == follow_form::UnchangedIsFresh && !answering.follower->hasListed()) {
            return;
        }
        answering.follower->serve(sent, [this, reader, finish, askedAt, form](std::optional<snapshot_reply> reply) {
            m_simulation.send(reader, m_node, [this, finish, askedAt, form, reply]() mutable {
                if (reply && form == follow_form::UnchangedIsFresh) {
                    reply->ageUs = 0;
                }
                if (reply && form == follow_form::AgeFromReceipt) {
                    // The mirror subtracts the age from the moment of the question; this form subtracts it from the moment of arrival.
                    reply->ageUs -= (m_simulation.m_nodes.at(m_node).loop->now() - askedAt).count();
                }
                auto &receiver = m_simulation.m_nodes.at(m_node);
                if (reply) {
                    receiver.outages->recordContact(askedAt - reply->age(), receiver.loop->now());
                }
                finish(reply);
            });
        });
    });
}

void simulated_source::recordReaderFailure(const std::string &reader)
{
    m_pausedUntil[reader] = m_simulation.m_nodes.at(m_node).loop->now() + readerPause;
}

void simulated_source::recordReaderSuccess(const std::string &reader)
{
    m_pausedUntil.erase(reader);
}

snapshot_simulation::snapshot_simulation(std::uint64_t seed, follow_form form)
    : m_random(seed)
    , m_form(form)
    , m_store(m_world, random_source(seed * 31 + 7), { .timeout = storeTimeout })
{
}

void snapshot_simulation::run(duration length)
{
    m_end = m_world.now() + length;
    for (const char *zone : { "a", "b", "c" }) {
        for (std::size_t i = 0; i < m_nodesPerZone; ++i) {
            const std::string name = std::string(zone) + std::to_string(i);
            node &each = m_nodes[name];
            each.name = name;
            each.zone = zone;
            each.client = m_store.client(name);
            each.loop = std::make_unique<node_loop>(m_world, *this, name);
            each.source = std::make_unique<simulated_source>(*this, name);
        }
    }
    for (std::uint64_t key = 0; key < keyCount; ++key) {
        put(prefix + std::to_string(key));
    }
    for (auto &[name, each] : m_nodes) {
        startNode(each);
        scheduleDecision(name);
    }
    scheduleChange();
    if (m_hasFaults) {
        scheduleFault();
    }
    m_world.runUntil(m_end);
    for (auto &[name, each] : m_nodes) {
        each.follower->stop();
    }
}

/** Starts the node's process, which knows nothing. */
void snapshot_simulation::startNode(node &each)
{
    if (each.follower) {
        each.follower->stop();
    }
    each.deferred.clear();
    each.known.clear();
    each.directory = server_directory();
    each.outages.emplace(m_form == follow_form::OwnLossIsOutage ? duration(500ms) : heartbeat);
    each.isAskingWitnesses = false;
    ++each.incarnation;
    each.newest = 0;
    snapshot_mirror_options options;
    options.prefix = prefix;
    options.allowance = fromSeconds(toSeconds(bound) * 0.6);
    options.replyAge = fromSeconds(toSeconds(bound) * 0.45);
    options.prefetchAge = fromSeconds(toSeconds(bound) * 0.3);
    if (m_form == follow_form::AgeFromReceipt) {
        options.readerPatience = callTimeout; // This form waited for its reader.
    }
    if (m_form == follow_form::NoOverlap) {
        options.overlap = duration::zero();
    }
    snapshot_mirror_handlers handlers;
    handlers.onEvent = [this, &each](const store_watch_event &event, bool mayHaveLapsed) {
        applyEvent(each, event, mayHaveLapsed);
        if (event.type == store_watch_event::kind::Delete) {
            each.known.erase(event.item.key);
            return;
        }
        store_revision &revision = each.known[event.item.key];
        if (event.item.modRevision < revision) {
            m_regressions.push_back(each.name);
        }
        revision = event.item.modRevision;
    };
    handlers.onCaughtUp = [this, &each](bool mayHaveLapsed) {
        if (!mayHaveLapsed) {
            each.directory.dropLapsed(each.loop->now());
        }
        each.directory.expire(each.loop->now());
        resolveDoubt(each);
    };
    handlers.lapseGrace = [this, &each](time_point askedAt) {
        return each.outages->lapseGrace(askedAt);
    };
    handlers.isLapseKnown = [&each] {
        return !each.isAskingWitnesses;
    };
    each.follower = std::make_shared<mirror>(*each.source, *each.loop, options, std::move(handlers));
    each.follower->start();
}

void snapshot_simulation::applyEvent(node &each, const store_watch_event &event, bool mayHaveLapsed)
{
    if (event.type == store_watch_event::kind::Delete) {
        each.directory.remove(each.loop->now(), event.item.key, mayHaveLapsed ? std::optional(each.follower->lapseEnd()) : std::nullopt);
        return;
    }
    server_entry entry;
    entry.id = event.item.key;
    each.directory.put(std::move(entry));
}

void snapshot_simulation::recordCall(const std::string &name, time_point begunAt, bool isAnswered)
{
    node &each = m_nodes.at(name);
    isAnswered ? each.outages->recordContact(begunAt, each.loop->now()) : each.outages->recordFailure();
}

/** Asks two nodes of other zones for their longest time without the store. */
void snapshot_simulation::resolveDoubt(node &each)
{
    const auto doubt = each.outages->pendingDoubt();
    if (!doubt || each.isAskingWitnesses) {
        return;
    }
    if (m_form == follow_form::OwnLossIsOutage) {
        each.outages->resolveDoubt(std::nullopt);
        return;
    }
    each.isAskingWitnesses = true;
    each.directory.setGraceUsable(false);
    const auto earliest = std::make_shared<std::optional<time_point>>();
    for (auto &[name, other] : m_nodes) {
        if (other.zone == each.zone) {
            continue;
        }
        send(each.name, name, [this, &each, &other = other, earliest] {
            const time_point now = other.loop->now();
            const std::optional<time_point> since = other.outages->answersSince(now);
            if (!since) {
                return;
            }
            send(other.name, each.name, [&each, earliest, age = now - *since] {
                const time_point told = each.loop->now() - age;
                *earliest = std::min(earliest->value_or(told), told);
            });
        });
    }
    each.loop->after(witnessTimeout, [&each, earliest, incarnation = each.incarnation] {
        if (each.incarnation != incarnation) {
            return;
        }
        each.isAskingWitnesses = false;
        each.outages->resolveDoubt(*earliest);
        each.follower->onLapseKnown();
        each.directory.setGraceUsable(true);
        each.directory.limitGrace(each.follower->lapseEnd());
    });
}

void snapshot_simulation::put(const std::string &key)
{
    m_store.put(key, "state " + std::to_string(m_random.below(100)));
    m_history.push_back({ store_watch_event::kind::Put, m_store.peek(key).value() });
}

void snapshot_simulation::erase(const std::string &key)
{
    m_store.erase(key);
    store_watch_event event;
    event.type = store_watch_event::kind::Delete;
    event.item.key = key;
    event.item.modRevision = m_store.revision();
    m_history.push_back(event);
}

/** The store is back after an outage in which all registrations lapsed. The servers that live register again within two seconds. */
void snapshot_simulation::lapseRegistrations()
{
    for (std::uint64_t number = 0; number < keyCount; ++number) {
        const std::string key = prefix + std::to_string(number);
        if (!m_store.peek(key)) {
            continue;
        }
        erase(key);
        m_world.after(randomSpan(0.05, 1.9), [this, key] {
            if (const auto last = m_lastChanges.find(key); last != m_lastChanges.end() && last->second.isGone) {
                return;
            }
            put(key);
            m_lastChanges[key] = { m_world.now(), key, m_store.revision(), false, false };
        });
    }
}

void snapshot_simulation::runOrDefer(const std::string &name, std::function<void()> action)
{
    node &each = m_nodes.at(name);
    if (each.isRunning) {
        action();
    } else {
        each.deferred.push_back(std::move(action));
    }
}

/** Sends a message: late, overtaken, doubled, or held up by a cut until it heals. */
void snapshot_simulation::send(const std::string &from, const std::string &to, std::function<void()> arrive)
{
    if (m_cuts.contains({ from, to })) {
        if (m_random.chance(0.5)) {
            m_heldUp.emplace_back(from, to, std::move(arrive));
        }
        return;
    }
    const bool isDelayed = m_hasFaults && m_random.chance(0.03);
    const bool isDoubled = m_hasFaults && m_random.chance(0.03);
    const duration delay = randomSpan(0.001, isDelayed ? longestDelaySeconds : 0.003);
    for (int copy = 0; copy < (isDoubled ? 2 : 1); ++copy) {
        m_world.after(delay + copy * 30ms, [this, to, arrive] {
            runOrDefer(to, arrive);
        });
    }
}

store_change_answer snapshot_simulation::changesSince(store_revision after, store_revision reached) const
{
    store_change_answer answer;
    if (after < m_droppedBefore) {
        answer.error = failure{ error_kind::Stale, "history dropped" };
        return answer;
    }
    answer.revision = reached;
    for (const store_watch_event &event : m_history) {
        const bool isHidden = m_hiddenAfter > 0 && event.item.modRevision > m_hiddenAfter;
        if (event.item.modRevision > after && event.item.modRevision <= reached && !isHidden) {
            answer.events.push_back(event);
        }
    }
    return answer;
}

void snapshot_simulation::scheduleDecision(const std::string &name)
{
    m_world.after(fromSeconds(m_random.exponential(toSeconds(m_decisionInterval))), [this, name] {
        runOrDefer(name, [this, name] {
            decide(name, m_world.now());
        });
        scheduleDecision(name);
    });
}

void snapshot_simulation::decide(const std::string &name, time_point dueAt)
{
    node &each = m_nodes.at(name);
    if (!each.follower->hasListed()) {
        return; // Such a node refuses.
    }
    const bool mayDecide = each.follower->ensureFresh([this, name, dueAt] {
        decide(name, dueAt);
    });
    if (mayDecide) {
        check(each);
        if (each.frozenUntil < dueAt) {
            m_longestWait = std::max(m_longestWait, m_world.now() - dueAt);
        }
    }
}

void snapshot_simulation::check(node &each)
{
    each.directory.expire(each.loop->now());
    ++m_decisions;
    const time_point now = m_world.now();
    if (now < each.disturbedUntil + contactTime) {
        return;
    }
    ++m_checked;
    for (const auto &[key, last] : m_lastChanges) {
        if (last.isGone) {
            const bool isCutOff = now < each.cutUntil + contactTime; // Such a node can't ask whether the store was there.
            if (now - last.at > bound && last.isStable && !isCutOff && each.directory.isUsable(key, 0)) {
                m_late.push_back({ each.name, now, now - last.at, true, m_lastFault });
                return;
            }
            continue;
        }
        const auto known = each.known.find(key);
        const store_revision revision = known == each.known.end() ? 0 : known->second;
        if (revision >= last.revision || now - last.at <= bound) {
            continue;
        }
        m_late.push_back({ each.name, now, now - last.at, false, m_lastFault });
        return;
    }
}

/** Changes one key, as a server that leaves or starts. A key changes again only when all nodes must know its last change. */
void snapshot_simulation::scheduleChange()
{
    m_world.after(fromSeconds(m_random.exponential(0.25)), [this] {
        if (m_isStoreDown) {
            scheduleChange();
            return; // It acknowledges nothing.
        }
        const std::string key = prefix + std::to_string(m_random.below(keyCount));
        change &last = m_lastChanges[key];
        if (last.revision == 0 || m_world.now() - last.at > 2 * bound) {
            const bool leaves = m_store.peek(key) && m_random.chance(shareThatLeaves);
            leaves ? erase(key) : put(key);
            last = { m_world.now(), key, m_store.revision(), leaves, m_world.now() >= m_storeUnstableUntil };
        }
        scheduleChange();
    });
}

void snapshot_simulation::scheduleFault()
{
    m_world.after(randomSpan(0.5, 6), [this] {
        injectFault();
        scheduleFault();
    });
}

void snapshot_simulation::injectFault()
{
    node &target = randomNode();
    const duration length = randomSpan(0.3, 8);
    const time_point end = m_world.now() + length;
    switch (static_cast<simulated_fault>(m_random.below(8))) {
    case simulated_fault::Freeze:
        m_lastFault = "freeze of " + target.name;
        freeze(target, length, false);
        break;
    case simulated_fault::Suspend:
        m_lastFault = "suspension of " + target.name;
        freeze(target, length, true);
        break;
    case simulated_fault::CutFromStore:
        m_lastFault = "cut of " + target.name + " from the store";
        excuse(target, end);
        m_store.setCut(target.name, true);
        m_world.at(end, [this, name = target.name] {
            m_store.setCut(name, false);
        });
        break;
    case simulated_fault::CutFromPeers:
        m_lastFault = "cut of " + target.name + " from its peers";
        target.cutUntil = std::max(target.cutUntil, end);
        for (const auto &[name, other] : m_nodes) {
            m_cuts.emplace(name, target.name);
            m_cuts.emplace(target.name, name);
        }
        m_world.at(end, [this, name = target.name] {
            std::erase_if(m_cuts, [&](const auto &cut) {
                return cut.first == name || cut.second == name;
            });
            for (auto &[from, to, arrive] : std::exchange(m_heldUp, {})) {
                send(from, to, std::move(arrive));
            }
        });
        break;
    case simulated_fault::StoreSlow:
        m_lastFault = "slow store";
        excuseAll(end);
        m_storeUnstableUntil = std::max(m_storeUnstableUntil, end + contactTime);
        m_store.setSlow(true);
        m_world.at(end, [this] {
            m_store.setSlow(false);
        });
        break;
    case simulated_fault::StoreDown:
        m_lastFault = "store down";
        excuseAll(end);
        m_storeUnstableUntil = std::max(m_storeUnstableUntil, end + contactTime);
        m_store.setDown(true);
        m_isStoreDown = true;
        m_world.at(end, [this, length] {
            m_store.setDown(false);
            m_isStoreDown = false;
            if (length >= 3 * heartbeat) {
                lapseRegistrations();
            }
        });
        break;
    case simulated_fault::HistoryDropped:
        m_lastFault = "dropped history";
        excuseAll(m_world.now() + hidingTime);
        m_hiddenAfter = m_store.revision();
        m_world.after(hidingTime, [this] {
            m_hiddenAfter = 0;
            m_droppedBefore = m_store.revision();
        });
        break;
    case simulated_fault::KillAll:
        m_lastFault = "kill of all nodes";
        excuseAll(m_world.now());
        for (auto &[name, each] : m_nodes) {
            startNode(each);
        }
        break;
    }
}

void snapshot_simulation::freeze(node &each, duration length, bool isSuspended)
{
    if (!each.isRunning) {
        return;
    }
    each.isRunning = false;
    each.frozenUntil = m_world.now() + length;
    excuse(each, m_world.now() + length);
    m_world.after(length, [this, &each, length, isSuspended] {
        each.isRunning = true;
        if (isSuspended && m_form == follow_form::AgeWithoutSuspension) {
            each.loop->loseTime(length);
        }
        for (const auto &action : std::exchange(each.deferred, {})) {
            action();
        }
    });
}

void snapshot_simulation::excuse(node &each, time_point until)
{
    each.disturbedUntil = std::max(each.disturbedUntil, until);
}

void snapshot_simulation::excuseAll(time_point until)
{
    for (auto &[name, each] : m_nodes) {
        excuse(each, until);
    }
}

snapshot_simulation::node &snapshot_simulation::randomNode()
{
    return std::next(m_nodes.begin(), static_cast<std::ptrdiff_t>(m_random.below(m_nodes.size())))->second;
}

duration snapshot_simulation::randomSpan(double fromSecond, double toSecond)
{
    return fromSeconds(m_random.uniform(fromSecond, toSecond));
}

} // namespace reedtrail::testing
