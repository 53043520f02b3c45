// Only the interfaces of sampling/ are imitated: a gate keeps the tokens of its drafts and lets a broken one go on elsewhere; a node that dies loses its drafts
// and cores; a paused one does everything that arrived meanwhile when it wakes.

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
    , m_store(m_world, m_random.fork(), {})
    , m_network(m_world, m_random.fork(), options.network)
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
    reportGates();
}

fake_fleet::~fake_fleet() = default;

void fake_fleet::runFor(duration span)
{
    m_world.runUntil(m_world.now() + span);
}

const trainer_record &fake_fleet::record(const run_id &run) const
{
    return m_trainers.at(run).record;
}

void fake_fleet::deliver(std::size_t index, std::uint64_t life, std::function<void()> action)
{
    node &target = m_nodes[index];
    if (!target.isUp || target.life != life) {
        return;
    }
    if (target.isPaused) {
        target.held.push_back(std::move(action));
        return;
    }
    action();
}

void fake_fleet::openRun(const run_settings &settings, duration trainTime)
{
    trainer each;
    each.settings = settings;
    each.trainTime = trainTime;
    each.wantedAt = m_world.now();
    m_trainers.emplace(settings.id, std::move(each));
    for (server &target : m_servers) {
        target.versions[settings.id] = 1;
    }
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        openUnit(index, settings);
    }
    membershipChanged();
    m_world.after(std::chrono::milliseconds(10), [this, run = settings.id] {
        pull(run);
    });
}

void fake_fleet::changeRun(const run_settings &settings)
{
    m_trainers.at(settings.id).settings = settings;
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        deliver(index, m_nodes[index].life, [this, index, settings] {
            tellOwner(index, settings.id, run_event::settings_changed{ settings });
        });
    }
}

void fake_fleet::openUnit(std::size_t index, const run_settings &settings)
{
    node &each = m_nodes[index];
    const std::string prefix = each.name + "-" + std::to_string(each.life);
    each.units[settings.id] = std::make_unique<run_unit>(settings.id, node_id(each.name), prefix, m_options);
    tellOwner(index, settings.id, run_event::settings_changed{ settings });
    const std::uint64_t served = m_trainers.at(settings.id).published;
    tellOwner(index, settings.id, run_event::versions_changed{ served, m_servers.front().versions[settings.id] });
}

void fake_fleet::membershipChanged()
{
    std::vector<std::string> alive;
    std::vector<draft_gate> gates;
    run_event::spools_changed spools;
    for (const node &each : m_nodes) {
        if (each.isKnownUp && each.hasDisk) {
            spools.nodes.emplace_back(each.name);
        }
        if (each.isKnownUp) {
            alive.push_back(each.name);
            gates.push_back({ node_id(each.name), 0 });
        }
    }
    for (const auto &[run, each] : m_trainers) {
        const std::size_t share = m_servers.size() * m_options.slots * 5 / 4 / m_trainers.size();
        for (draft_gate &gate : gates) {
            gate.capacity = std::max<std::size_t>(1, share / std::max<std::size_t>(1, gates.size()));
        }
        const std::vector<std::size_t> chosen = rendezvousChoose(run.view(), alive, m_options.claim.candidateCount);
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            std::optional<std::size_t> rank;
            for (std::size_t place = 0; place < chosen.size(); ++place) {
                if (alive[chosen[place]] == m_nodes[index].name) {
                    rank = place;
                }
            }
            deliver(index, m_nodes[index].life, [this, index, run = run, rank, gates, spools] {
                watchOwner(index, run, rank.has_value());
                tellClaim(index, run, ownership_event::rank_changed{ rank });
                tellOwner(index, run, run_event::gates_changed{ gates });
                tellOwner(index, run, spools);
            });
        }
    }
}

void fake_fleet::watchOwner(std::size_t index, const run_id &run, bool isWanted)
{
    run_unit &unit = *m_nodes[index].units.at(run);
    fake_store_client client = m_store.client(m_nodes[index].name);
    if (!isWanted && unit.watch != 0) {
        client.cancelWatch(unit.watch);
        unit.watch = 0;
    }
    if (!isWanted || unit.watch != 0) {
        return;
    }
    const std::uint64_t life = m_nodes[index].life;
    store_watch_handlers handlers;
    handlers.onReport = [this, index, run, life](const store_watch_report &report) {
        deliver(index, life, [this, index, run, report] {
            for (const store_watch_event &change : report.events) {
                const bool isPut = change.type == store_watch_event::kind::Put;
                tellClaim(index, run, ownership_event::owner_changed{ decodeOwner(isPut ? &change.item : nullptr) });
            }
        });
    };
    handlers.onEnd = [this, index, run, life](const store_watch_end &) {
        deliver(index, life, [this, index, run] {
            m_nodes[index].units.at(run)->watch = 0;
        });
    };
    unit.watch = client.watch({ .key = ownerKey(run) }, std::move(handlers));
}

void fake_fleet::killNode(std::size_t index, duration downTime, bool losesDisk)
{
    node &each = m_nodes[index];
    if (!each.isUp) {
        return;
    }
    ++m_kills;
    each.isUp = false;
    each.isPaused = false;
    ++each.life;
    each.held.clear();
    if (losesDisk) {
        each.payloads.clear();
    }
    m_store.forgetClient(each.name);
    const std::set<std::uint64_t> drafts = each.drafts;
    for (const std::uint64_t key : drafts) {
        forgetDraft(key);
    }
    m_world.after(m_options.detection, [this, index, life = each.life] {
        if (!m_nodes[index].isUp && m_nodes[index].life == life) {
            m_nodes[index].isKnownUp = false;
            membershipChanged();
        }
    });
    m_world.after(downTime, [this, index] {
        startNode(index);
    });
}

void fake_fleet::startNode(std::size_t index)
{
    node &each = m_nodes[index];
    each.isUp = true;
    each.units.clear();
    for (const auto &[run, trainer] : m_trainers) {
        openUnit(index, trainer.settings);
    }
    each.isKnownUp = true;
    membershipChanged();
}

void fake_fleet::pauseNode(std::size_t index, duration span)
{
    node &each = m_nodes[index];
    if (!each.isUp || each.isPaused) {
        return;
    }
    each.isPaused = true;
    m_world.after(m_options.detection, [this, index, life = each.life] {
        if (m_nodes[index].isPaused && m_nodes[index].life == life) {
            m_nodes[index].isKnownUp = false;
            membershipChanged();
        }
    });
    m_world.after(span, [this, index, life = each.life] {
        node &woken = m_nodes[index];
        if (woken.life != life || !woken.isUp) {
            return;
        }
        woken.isPaused = false;
        std::vector<std::function<void()>> held;
        held.swap(woken.held);
        for (const auto &action : held) {
            deliver(index, life, action);
        }
        woken.isKnownUp = true;
        membershipChanged();
    });
}

void fake_fleet::cutNode(std::size_t index, duration span)
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
    m_world.after(m_options.detection, [this, index] {
        m_nodes[index].isKnownUp = false;
        membershipChanged();
    });
    m_world.after(span, [this, index, setCut] {
        setCut(false);
        m_nodes[index].isKnownUp = m_nodes[index].isUp;
        membershipChanged();
    });
}

void fake_fleet::killOwnerAt(std::size_t actionIndex, bool isAfter, std::uint64_t count)
{
    m_killAt = { actionIndex, isAfter };
    m_killCountdown = count;
}

std::optional<std::size_t> fake_fleet::ownerOf(const run_id &run) const
{
    std::optional<std::size_t> best;
    epoch_number newest = 0;
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        const auto unit = m_nodes[index].units.find(run);
        if (m_nodes[index].isUp && unit != m_nodes[index].units.end() && unit->second->claim.isOwning() && unit->second->claim.epoch() > newest) {
            best = index;
            newest = unit->second->claim.epoch();
        }
    }
    return best;
}

const run_owner *fake_fleet::owner(const run_id &run) const
{
    const std::optional<std::size_t> index = ownerOf(run);
    return index ? &m_nodes[*index].units.at(run)->owner : nullptr;
}

void fake_fleet::tellClaim(std::size_t index, const run_id &run, const ownership_input &event)
{
    run_unit &unit = *m_nodes[index].units.at(run);
    const std::uint64_t life = m_nodes[index].life;
    for (const ownership_action_item &action : unit.claim.onEvent(m_world.now(), event)) {
        if (m_nodes[index].life != life) {
            return;
        }
        perform(index, run, action);
    }
    if (m_nodes[index].life == life) {
        armTimer(index, run);
    }
}

void fake_fleet::tellOwner(std::size_t index, const run_id &run, const run_input &event)
{
    run_unit &unit = *m_nodes[index].units.at(run);
    const std::uint64_t life = m_nodes[index].life;
    for (const run_action_item &action : unit.owner.onEvent(m_world.now(), event)) {
        if (m_nodes[index].life != life) {
            return; // It died in the middle of what it was doing.
        }
        perform(index, run, action);
    }
    if (m_nodes[index].life == life) {
        armTimer(index, run);
    }
}

void fake_fleet::armTimer(std::size_t index, const run_id &run)
{
    run_unit &unit = *m_nodes[index].units.at(run);
    const time_point next = std::min(unit.claim.nextDeadline(), unit.owner.nextDeadline());
    if (next == timeNever || (unit.timerAt <= next && unit.timerAt > m_world.now())) {
        return;
    }
    unit.timerAt = std::max(next, m_world.now() + duration(1));
    const std::uint64_t turn = ++unit.timerTurn;
    m_world.at(unit.timerAt, [this, index, run, turn, life = m_nodes[index].life] {
        deliver(index, life, [this, index, run, turn] {
            run_unit &due = *m_nodes[index].units.at(run);
            if (due.timerTurn != turn) {
                return;
            }
            due.timerAt = timeNever;
            if (due.claim.nextDeadline() <= m_world.now()) {
                tellClaim(index, run, ownership_event::timer{});
            }
            if (m_nodes[index].isUp && due.owner.nextDeadline() <= m_world.now()) {
                tellOwner(index, run, run_event::timer{});
            }
            if (m_nodes[index].isUp) {
                armTimer(index, run);
            }
        });
    });
}

void fake_fleet::perform(std::size_t index, const run_id &run, const ownership_action_item &item)
{
    const std::uint64_t life = m_nodes[index].life;
    fake_store_client client = m_store.client(m_nodes[index].name);
    const auto tell = [this, index, run, life](const ownership_input &event) {
        deliver(index, life, [this, index, run, event] {
            tellClaim(index, run, event);
        });
    };
    if (std::holds_alternative<ownership_action::poll_owner>(item)) {
        client.range({ .key = ownerKey(run) }, [tell](const store_range_answer &answer) {
            answer.error ? tell(ownership_event::poll_failed{}) : tell(ownership_event::owner_changed{ decodeOwnerAnswer(answer) });
        });
    } else if (const auto *grant = std::get_if<ownership_action::grant_lease>(&item)) {
        client.grant({ grant->seconds }, [tell](const store_lease_answer &answer) {
            tell(ownership_event::lease_granted{ answer.error, answer.lease });
        });
    } else if (const auto *claim = std::get_if<ownership_action::claim>(&item)) {
        client.txn(claimTxn(run, *claim), [tell](const store_txn_answer &answer) {
            tell(decodeClaimAnswer(answer));
        });
    } else if (std::holds_alternative<ownership_action::read_batches>(item)) {
        client.range(batchesRange(run), [tell, run](const store_range_answer &answer) {
            tell(decodeBatchesAnswer(run, answer));
        });
    } else if (const auto *keepAlive = std::get_if<ownership_action::keep_alive>(&item)) {
        client.keepAlive({ keepAlive->lease }, [tell, askedAt = m_world.now()](const store_lease_answer &answer) {
            tell(ownership_event::keep_alive_ended{ askedAt, answer.error });
        });
    } else if (const auto *revoke = std::get_if<ownership_action::revoke_lease>(&item)) {
        client.revoke({ revoke->lease }, [](const store_lease_answer &) {});
    } else if (const auto *gained = std::get_if<ownership_action::gained>(&item)) {
        tellOwner(index, run, run_event::ownership_gained{ gained->epoch, gained->batches });
    } else {
        tellOwner(index, run, run_event::ownership_lost{});
    }
}

void fake_fleet::perform(std::size_t index, const run_id &run, const run_action_item &item)
{
    const bool isDue = m_killAt && m_killAt->first == item.index() && --m_killCountdown == 0;
    if (!isDue) {
        carryOut(index, run, item);
        return;
    }
    const bool isAfter = m_killAt->second;
    m_killAt.reset();
    if (isAfter) {
        carryOut(index, run, item);
    }
    killNode(index, std::chrono::seconds(20), true);
}

void fake_fleet::carryOut(std::size_t index, const run_id &run, const run_action_item &item)
{
    const std::uint64_t life = m_nodes[index].life;
    fake_store_client client = m_store.client(m_nodes[index].name);
    const auto tell = [this, index, run, life](const run_input &event) {
        deliver(index, life, [this, index, run, event] {
            tellOwner(index, run, event);
        });
    };
    const auto toGate = [this, index](const node_id &gate, std::function<void(std::size_t)> action) {
        const auto found = std::ranges::find(m_nodes, gate.str(), &node::name);
        const auto target = static_cast<std::size_t>(found - m_nodes.begin());
        m_network.send(m_nodes[index].name, gate.str(), [this, target, action, targetLife = found->life] {
            deliver(target, targetLife, [action, target] {
                action(target);
            });
        });
    };
    if (const auto *order = std::get_if<run_action::order_draft>(&item)) {
        toGate(order->gate, [this, order = order->order](std::size_t gate) {
            takeOrder(gate, order);
        });
    } else if (const auto *cancel = std::get_if<run_action::cancel_draft>(&item)) {
        toGate(cancel->gate, [this, draft = cancel->draft, run](std::size_t gate) {
            const std::set<std::uint64_t> drafts = m_nodes[gate].drafts;
            for (const std::uint64_t key : drafts) {
                if (m_drafts.at(key).order.draft == draft && m_drafts.at(key).order.slot.run == run) {
                    forgetDraft(key);
                }
            }
        });
    } else if (const auto *move = std::get_if<run_action::move_draft>(&item)) {
        toGate(move->gate, [this, draft = move->draft, run](std::size_t gate) {
            for (const std::uint64_t key : m_nodes[gate].drafts) {
                if (m_drafts.at(key).order.draft == draft && m_drafts.at(key).order.slot.run == run && !m_drafts.at(key).isQueued) {
                    breakDraft(key);
                    return;
                }
            }
        });
    } else if (const auto *write = std::get_if<run_action::write_seal>(&item)) {
        client.txn(writeSealTxn(run, write->record), [tell, write = *write](const store_txn_answer &answer) {
            tell(run_event::seal_write_ended{ write.record.number, write.attempt, decodeSealWriteAnswer(answer, write.record.epoch) });
        });
    } else if (const auto *read = std::get_if<run_action::read_seal>(&item)) {
        const epoch_number epoch = m_nodes[index].units.at(run)->owner.epoch();
        client.txn(readSealTxn(run, *read), [tell, run, read = *read, epoch](const store_txn_answer &answer) {
            tell(decodeSealReadAnswer(run, read, epoch, answer));
        });
    } else if (const auto *remove = std::get_if<run_action::remove_seals>(&item)) {
        client.txn(removeSealsTxn(run, *remove), [](const store_txn_answer &) {});
    } else if (const auto *answer = std::get_if<run_action::answer_pull>(&item)) {
        const auto found = m_pulls.find(answer->token);
        if (found != m_pulls.end()) {
            const auto reply = std::move(found->second);
            m_pulls.erase(found);
            reply(answer->answer);
        }
    } else if (const auto *release = std::get_if<run_action::release>(&item)) {
        for (node &each : m_nodes) {
            std::erase_if(each.payloads, [release](const auto &stored) {
                return stored.first.first == release->payloads.run && stored.first.second < release->payloads.beforeStep;
            });
        }
    } else if (const auto *standDown = std::get_if<run_action::step_down>(&item)) {
        tellClaim(index, run, ownership_event::fenced{ standDown->epoch });
    }
}

} // namespace reedtrail::harness
