// The simulation imitates only the interfaces that sampling/ uses. A gate keeps the tokens of its drafts, so an interrupted draft can resume on another server.
// A killed node loses its drafts and state machines. A paused node runs everything that arrived meanwhile when it resumes.

#include "sampling/testing/fake_fleet.h"

#include "base/check.h"
#include "base/hash.h"
#include "sampling/run_store.h"
#include "sampling/sample_check.h"

#include <algorithm>

namespace reedtrail::harness {
namespace {

constexpr duration pullTimeout = std::chrono::seconds(4);
constexpr std::int64_t pullWaitMs = 2000;

} // namespace

fake_fleet::fake_fleet(fake_fleet_options options)
    : m_options(options)
    , m_random(options.seed)
    , m_store(m_clock, m_random.fork(), {})
    , m_network(m_clock, m_random.fork(), options.network)
{
    m_nodes.resize(options.nodes);
    m_servers.resize(options.servers);
    for (server &each : m_servers) {
        each.speed = m_random.uniform(0.8, 1.2);
    }
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        m_nodes[index].name = "node-" + std::to_string(index);
        m_nodes[index].hasDisk = index < options.spools;
    }
    sendGateReports();
}

fake_fleet::~fake_fleet() = default;

void fake_fleet::runFor(duration span)
{
    m_clock.runUntil(m_clock.now() + span);
}

const trainer_stats &fake_fleet::trainerStats(const run_id &run) const
{
    return m_trainers.at(run).stats;
}

void fake_fleet::runOnNode(std::size_t index, std::uint64_t incarnation, std::function<void()> action)
{
    node &target = m_nodes[index];
    if (!target.isUp || target.incarnation != incarnation) {
        return;
    }
    if (target.isPaused) {
        target.deferredActions.push_back(std::move(action));
        return;
    }
    action();
}

void fake_fleet::openRun(const run_settings &settings, duration trainTime)
{
    trainer state;
    state.settings = settings;
    state.trainTime = trainTime;
    state.waitingSince = m_clock.now();
    m_trainers.emplace(settings.id, std::move(state));
    for (server &target : m_servers) {
        target.versions[settings.id] = 1;
    }
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        createCores(index, settings);
    }
    announceMembership();
    m_clock.after(std::chrono::milliseconds(10), [this, run = settings.id] {
        pull(run);
    });
}

void fake_fleet::changeRun(const run_settings &settings)
{
    m_trainers.at(settings.id).settings = settings;
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        runOnNode(index, m_nodes[index].incarnation, [this, index, settings] {
            notifyOwner(index, settings.id, run_event::settings_changed{ settings });
        });
    }
}

void fake_fleet::createCores(std::size_t index, const run_settings &settings)
{
    node &target = m_nodes[index];
    const std::string prefix = target.name + "-" + std::to_string(target.incarnation);
    target.cores[settings.id] = std::make_unique<run_cores>(settings.id, node_id(target.name), prefix, m_options);
    notifyOwner(index, settings.id, run_event::settings_changed{ settings });
    const std::uint64_t served = m_trainers.at(settings.id).publishedVersion;
    notifyOwner(index, settings.id, run_event::versions_changed{ served, m_servers.front().versions[settings.id] });
}

void fake_fleet::announceMembership()
{
    std::vector<std::string> alive;
    std::vector<draft_gate> gates;
    run_event::spools_changed spools;
    for (const node &each : m_nodes) {
        if (each.isConsideredUp && each.hasDisk) {
            spools.nodes.emplace_back(each.name);
        }
        if (each.isConsideredUp) {
            alive.push_back(each.name);
            gates.push_back({ node_id(each.name), 0 });
        }
    }
    for (const auto &[run, state] : m_trainers) {
        const std::size_t share = m_servers.size() * m_options.slots * 5 / 4 / m_trainers.size();
        for (draft_gate &gate : gates) {
            gate.capacity = std::max<std::size_t>(1, share / std::max<std::size_t>(1, gates.size()));
        }
        const std::vector<std::size_t> candidates = rendezvousChoose(run.view(), alive, m_options.ownership.candidateCount);
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            std::optional<std::size_t> rank;
            for (std::size_t position = 0; position < candidates.size(); ++position) {
                if (alive[candidates[position]] == m_nodes[index].name) {
                    rank = position;
                }
            }
            runOnNode(index, m_nodes[index].incarnation, [this, index, run = run, rank, gates, spools] {
                updateOwnerWatch(index, run, rank.has_value());
                notifyOwnership(index, run, ownership_event::rank_changed{ rank });
                notifyOwner(index, run, run_event::gates_changed{ gates });
                notifyOwner(index, run, spools);
            });
        }
    }
}

void fake_fleet::updateOwnerWatch(std::size_t index, const run_id &run, bool isWanted)
{
    run_cores &cores = *m_nodes[index].cores.at(run);
    fake_store_client client = m_store.client(m_nodes[index].name);
    if (!isWanted && cores.watch != 0) {
        client.cancelWatch(cores.watch);
        cores.watch = 0;
    }
    if (!isWanted || cores.watch != 0) {
        return;
    }
    const std::uint64_t incarnation = m_nodes[index].incarnation;
    store_watch_handlers handlers;
    handlers.onReport = [this, index, run, incarnation](const store_watch_report &report) {
        runOnNode(index, incarnation, [this, index, run, report] {
            for (const store_watch_event &change : report.events) {
                const bool isPut = change.type == store_watch_event::kind::Put;
                notifyOwnership(index, run, ownership_event::owner_changed{ decodeOwner(isPut ? &change.item : nullptr) });
            }
        });
    };
    handlers.onEnd = [this, index, run, incarnation](const store_watch_end &) {
        runOnNode(index, incarnation, [this, index, run] {
            m_nodes[index].cores.at(run)->watch = 0;
        });
    };
    cores.watch = client.watch({ .key = ownerKey(run) }, std::move(handlers));
}

void fake_fleet::killNode(std::size_t index, duration downTime, bool losesDisk)
{
    node &target = m_nodes[index];
    if (!target.isUp) {
        return;
    }
    ++m_kills;
    target.isUp = false;
    target.isPaused = false;
    ++target.incarnation;
    target.deferredActions.clear();
    if (losesDisk) {
        target.payloads.clear();
    }
    m_store.forgetClient(target.name);
    const std::set<std::uint64_t> drafts = target.drafts;
    for (const std::uint64_t key : drafts) {
        discardDraft(key);
    }
    m_clock.after(m_options.failureDetectionDelay, [this, index, incarnation = target.incarnation] {
        if (!m_nodes[index].isUp && m_nodes[index].incarnation == incarnation) {
            m_nodes[index].isConsideredUp = false;
            announceMembership();
        }
    });
    m_clock.after(downTime, [this, index] {
        restartNode(index);
    });
}

void fake_fleet::restartNode(std::size_t index)
{
    node &target = m_nodes[index];
    target.isUp = true;
    target.cores.clear();
    for (const auto &[run, trainer] : m_trainers) {
        createCores(index, trainer.settings);
    }
    target.isConsideredUp = true;
    announceMembership();
}

void fake_fleet::pauseNode(std::size_t index, duration span)
{
    node &target = m_nodes[index];
    if (!target.isUp || target.isPaused) {
        return;
    }
    target.isPaused = true;
    m_clock.after(m_options.failureDetectionDelay, [this, index, incarnation = target.incarnation] {
        if (m_nodes[index].isPaused && m_nodes[index].incarnation == incarnation) {
            m_nodes[index].isConsideredUp = false;
            announceMembership();
        }
    });
    m_clock.after(span, [this, index, incarnation = target.incarnation] {
        node &resumed = m_nodes[index];
        if (resumed.incarnation != incarnation || !resumed.isUp) {
            return;
        }
        resumed.isPaused = false;
        std::vector<std::function<void()>> deferredActions;
        deferredActions.swap(resumed.deferredActions);
        for (const auto &action : deferredActions) {
            runOnNode(index, incarnation, action);
        }
        resumed.isConsideredUp = true;
        announceMembership();
    });
}

void fake_fleet::partitionNode(std::size_t index, duration span)
{
    const std::string name = m_nodes[index].name;
    const auto setCut = [this, name](bool isCut) {
        m_store.setCut(name, isCut);
        for (const node &other : m_nodes) {
            if (other.name != name) {
                m_network.cutBoth(name, other.name, isCut);
            }
        }
        m_network.cutBoth(name, "trainer", isCut);
    };
    setCut(true);
    m_clock.after(m_options.failureDetectionDelay, [this, index] {
        m_nodes[index].isConsideredUp = false;
        announceMembership();
    });
    m_clock.after(span, [this, index, setCut] {
        setCut(false);
        m_nodes[index].isConsideredUp = m_nodes[index].isUp;
        announceMembership();
    });
}

void fake_fleet::killOwnerAtAction(std::size_t actionIndex, bool isAfter, std::uint64_t count)
{
    m_killPoint = { actionIndex, isAfter };
    m_killCountdown = count;
}

std::optional<std::size_t> fake_fleet::ownerOf(const run_id &run) const
{
    std::optional<std::size_t> best;
    epoch_number newest = 0;
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        const auto found = m_nodes[index].cores.find(run);
        if (m_nodes[index].isUp && found != m_nodes[index].cores.end() && found->second->ownership.isOwning() && found->second->ownership.epoch() > newest) {
            best = index;
            newest = found->second->ownership.epoch();
        }
    }
    return best;
}

const run_owner *fake_fleet::owner(const run_id &run) const
{
    const std::optional<std::size_t> index = ownerOf(run);
    return index ? &m_nodes[*index].cores.at(run)->owner : nullptr;
}

void fake_fleet::notifyOwnership(std::size_t index, const run_id &run, const ownership_input &event)
{
    run_cores &cores = *m_nodes[index].cores.at(run);
    const std::uint64_t incarnation = m_nodes[index].incarnation;
    for (const ownership_action_item &action : cores.ownership.onEvent(m_clock.now(), event)) {
        if (m_nodes[index].incarnation != incarnation) {
            return;
        }
        execute(index, run, action);
    }
    if (m_nodes[index].incarnation == incarnation) {
        armTimer(index, run);
    }
}

void fake_fleet::notifyOwner(std::size_t index, const run_id &run, const run_input &event)
{
    run_cores &cores = *m_nodes[index].cores.at(run);
    const std::uint64_t incarnation = m_nodes[index].incarnation;
    for (const run_action_item &action : cores.owner.onEvent(m_clock.now(), event)) {
        if (m_nodes[index].incarnation != incarnation) {
            return; // An earlier action killed the node, so the remaining actions are lost.
        }
        execute(index, run, action);
    }
    if (m_nodes[index].incarnation == incarnation) {
        armTimer(index, run);
    }
}

void fake_fleet::armTimer(std::size_t index, const run_id &run)
{
    run_cores &cores = *m_nodes[index].cores.at(run);
    const time_point next = std::min(cores.ownership.nextDeadline(), cores.owner.nextDeadline());
    if (next == timeNever || (cores.timerAt <= next && cores.timerAt > m_clock.now())) {
        return;
    }
    cores.timerAt = std::max(next, m_clock.now() + duration(1));
    const std::uint64_t timerGeneration = ++cores.timerGeneration;
    m_clock.at(cores.timerAt, [this, index, run, timerGeneration, incarnation = m_nodes[index].incarnation] {
        runOnNode(index, incarnation, [this, index, run, timerGeneration] {
            run_cores &due = *m_nodes[index].cores.at(run);
            if (due.timerGeneration != timerGeneration) {
                return;
            }
            due.timerAt = timeNever;
            if (due.ownership.nextDeadline() <= m_clock.now()) {
                notifyOwnership(index, run, ownership_event::timer{});
            }
            if (m_nodes[index].isUp && due.owner.nextDeadline() <= m_clock.now()) {
                notifyOwner(index, run, run_event::timer{});
            }
            if (m_nodes[index].isUp) {
                armTimer(index, run);
            }
        });
    });
}

void fake_fleet::execute(std::size_t index, const run_id &run, const ownership_action_item &item)
{
    const std::uint64_t incarnation = m_nodes[index].incarnation;
    fake_store_client client = m_store.client(m_nodes[index].name);
    const auto notify = [this, index, run, incarnation](const ownership_input &event) {
        runOnNode(index, incarnation, [this, index, run, event] {
            notifyOwnership(index, run, event);
        });
    };
    if (std::holds_alternative<ownership_action::poll_owner>(item)) {
        client.range({ .key = ownerKey(run) }, [notify](const store_range_answer &answer) {
            answer.error ? notify(ownership_event::poll_failed{}) : notify(ownership_event::owner_changed{ decodeOwnerAnswer(answer) });
        });
    } else if (const auto *grant = std::get_if<ownership_action::grant_lease>(&item)) {
        client.grant({ grant->seconds }, [notify](const store_lease_answer &answer) {
            notify(ownership_event::lease_granted{ answer.error, answer.lease });
        });
    } else if (const auto *claim = std::get_if<ownership_action::claim>(&item)) {
        client.txn(claimTxn(run, *claim), [notify](const store_txn_answer &answer) {
            notify(decodeClaimAnswer(answer));
        });
    } else if (std::holds_alternative<ownership_action::read_batches>(item)) {
        client.range(batchesRange(run), [notify, run](const store_range_answer &answer) {
            notify(decodeBatchesAnswer(run, answer));
        });
    } else if (const auto *keepAlive = std::get_if<ownership_action::keep_alive>(&item)) {
        client.keepAlive({ keepAlive->lease }, [notify, askedAt = m_clock.now()](const store_lease_answer &answer) {
            notify(ownership_event::keep_alive_ended{ askedAt, answer.error });
        });
    } else if (const auto *revoke = std::get_if<ownership_action::revoke_lease>(&item)) {
        client.revoke({ revoke->lease }, [](const store_lease_answer &) {});
    } else if (const auto *gained = std::get_if<ownership_action::gained>(&item)) {
        notifyOwner(index, run, run_event::ownership_gained{ gained->epoch, gained->batches });
    } else {
        notifyOwner(index, run, run_event::ownership_lost{});
    }
}

void fake_fleet::execute(std::size_t index, const run_id &run, const run_action_item &item)
{
    const bool isKillDue = m_killPoint && m_killPoint->first == item.index() && --m_killCountdown == 0;
    if (!isKillDue) {
        executeAction(index, run, item);
        return;
    }
    const bool isAfter = m_killPoint->second;
    m_killPoint.reset();
    if (isAfter) {
        executeAction(index, run, item);
    }
    killNode(index, std::chrono::seconds(20), true);
}

void fake_fleet::executeAction(std::size_t index, const run_id &run, const run_action_item &item)
{
    const std::uint64_t incarnation = m_nodes[index].incarnation;
    fake_store_client client = m_store.client(m_nodes[index].name);
    const auto notify = [this, index, run, incarnation](const run_input &event) {
        runOnNode(index, incarnation, [this, index, run, event] {
            notifyOwner(index, run, event);
        });
    };
    const auto sendToGate = [this, index](const node_id &gate, std::function<void(std::size_t)> action) {
        const auto found = std::ranges::find(m_nodes, gate.str(), &node::name);
        const auto target = static_cast<std::size_t>(found - m_nodes.begin());
        m_network.send(m_nodes[index].name, gate.str(), [this, target, action, targetIncarnation = found->incarnation] {
            runOnNode(target, targetIncarnation, [action, target] {
                action(target);
            });
        });
    };
    if (const auto *order = std::get_if<run_action::order_draft>(&item)) {
        sendToGate(order->gate, [this, order = order->order](std::size_t gate) {
            acceptOrder(gate, order);
        });
    } else if (const auto *cancel = std::get_if<run_action::cancel_draft>(&item)) {
        sendToGate(cancel->gate, [this, draft = cancel->draft, run](std::size_t gate) {
            const std::set<std::uint64_t> drafts = m_nodes[gate].drafts;
            for (const std::uint64_t key : drafts) {
                if (m_drafts.at(key).order.draft == draft && m_drafts.at(key).order.slot.run == run) {
                    discardDraft(key);
                }
            }
        });
    } else if (const auto *move = std::get_if<run_action::move_draft>(&item)) {
        sendToGate(move->gate, [this, draft = move->draft, run](std::size_t gate) {
            for (const std::uint64_t key : m_nodes[gate].drafts) {
                if (m_drafts.at(key).order.draft == draft && m_drafts.at(key).order.slot.run == run && !m_drafts.at(key).isQueued) {
                    interruptDraft(key);
                    return;
                }
            }
        });
    } else if (const auto *write = std::get_if<run_action::write_seal>(&item)) {
        client.txn(writeSealTxn(run, write->record), [notify, write = *write](const store_txn_answer &answer) {
            notify(run_event::seal_write_ended{ write.record.number, write.attempt, decodeSealWriteAnswer(answer, write.record.epoch) });
        });
    } else if (const auto *read = std::get_if<run_action::read_seal>(&item)) {
        const epoch_number epoch = m_nodes[index].cores.at(run)->owner.epoch();
        client.txn(readSealTxn(run, *read), [notify, run, read = *read, epoch](const store_txn_answer &answer) {
            notify(decodeSealReadAnswer(run, read, epoch, answer));
        });
    } else if (const auto *remove = std::get_if<run_action::remove_seals>(&item)) {
        client.txn(removeSealsTxn(run, *remove), [](const store_txn_answer &) {});
    } else if (const auto *answer = std::get_if<run_action::answer_pull>(&item)) {
        const auto found = m_pendingPulls.find(answer->token);
        if (found != m_pendingPulls.end()) {
            const auto reply = std::move(found->second);
            m_pendingPulls.erase(found);
            reply(answer->answer);
        }
    } else if (const auto *release = std::get_if<run_action::release>(&item)) {
        for (node &each : m_nodes) {
            std::erase_if(each.payloads, [release](const auto &stored) {
                return stored.first.first == release->payloads.run && stored.first.second < release->payloads.beforeStep;
            });
        }
    } else if (const auto *stepDown = std::get_if<run_action::step_down>(&item)) {
        notifyOwnership(index, run, ownership_event::fenced{ stepDown->epoch });
    }
}

} // namespace reedtrail::harness
