// Glue between the pure cores (sampling/run_ownership.h, sampling/run_owner.h) and the store, the peer bus and the clock. Nothing is decided here beyond which
// nodes compete for a run and which gates it uses: both are chosen by rendezvous hash, so that the store calls and links of a run do not grow with the fleet.

#include "steward/run_service.h"

#include "base/hash.h"
#include "kernel/log.h"
#include "steward/run_service_implementation.h"

#include <algorithm>

namespace reedtrail {
namespace {

/** Gates that one run uses at most. */
constexpr std::size_t gatesPerRun = 32;

/** How often needs are exchanged and gates are looked over. */
constexpr duration reviewInterval = std::chrono::seconds(1);

/** How often an owner announces itself while nothing changes. */
constexpr duration announceInterval = std::chrono::seconds(5);

} // namespace

run_service::run_service(process_context &context)
    : m_implementation(std::make_shared<implementation>(context))
{
}

run_service::~run_service()
{
    stop();
}

result<void> run_service::start(kernel &process)
{
    BOOST_LEAF_ASSIGN(m_implementation->fleet, process.find<fleet_service>("fleet"));
    BOOST_LEAF_ASSIGN(m_implementation->store, process.find<store_service>("store"));
    m_implementation->start();
    return {};
}

void run_service::drain(std::function<void()> done)
{
    m_implementation->beginDrain(std::move(done));
}

void run_service::stop()
{
    m_implementation->isStopped = true;
    m_implementation->timer.cancel();
    m_implementation->reviewTimer.cancel();
}

nlohmann::json run_service::dump() const
{
    nlohmann::json runs = nlohmann::json::object();
    for (const auto &[run, unit] : m_implementation->units) {
        runs[run.str()] = { { "claim", unit.claim.dump() }, { "owner", unit.owner.dump() } };
    }
    nlohmann::json decisions = nlohmann::json::array();
    for (const decision_record &record : m_implementation->log.newest(50)) {
        decisions.push_back({ { "kind", decisionName(record.kind) },
                              { "subject", subjectName(record.subject) },
                              { "id", record.id },
                              { "cause", answerFor(record.cause).name },
                              { "detail", record.detail } });
    }
    return { { "runs", std::move(runs) }, { "waitingPulls", m_implementation->pulls.size() }, { "decisions", std::move(decisions) } };
}

void run_service::onOwnership(std::function<void(const run_ownership_news &news)> action)
{
    m_implementation->listeners.push_back(std::move(action));
}

void run_service::versionsSeen(const run_id &run, weight_version published, weight_version served)
{
    m_implementation->tellOwner(run, run_event::versions_changed{ published, served });
}

std::optional<run_owner_view> run_service::ownerOf(const run_id &run) const
{
    return m_implementation->ownerOf(run);
}

const decision_log &run_service::decisions() const
{
    return m_implementation->log;
}

void run_service::implementation::start()
{
    listenToPeers();
    fleet->onChange([self = weak_from_this()] {
        if (const auto strong = self.lock(); strong && !strong->isStopped) {
            strong->fleetChanged();
        }
    });
    fleet->onLinkClosed([self = weak_from_this()](link_id link) {
        if (const auto strong = self.lock(); strong && !strong->isStopped) {
            strong->linkClosed(link);
        }
    });
    fleetChanged();
    startReview();
}

void run_service::implementation::listenToPeers()
{
    peer_bus &bus = fleet->bus();
    bus.onQuestion<pull_question, pull_answer>([self = weak_from_this()](link_id from, pull_question question, peer_bus::reply<pull_answer> reply) {
        if (const auto strong = self.lock()) {
            strong->takePull(from, std::move(question), std::move(reply));
        }
    });
    bus.onMessage<draft_result>([self = weak_from_this()](link_id, const draft_result &result) {
        if (const auto strong = self.lock()) {
            strong->takeResult(result);
        }
    });
    bus.onMessage<draft_progress>([self = weak_from_this()](link_id, const draft_progress &progress) {
        if (const auto strong = self.lock()) {
            strong->forward(progress.run, progress);
        }
    });
    bus.onMessage<payload_missing>([self = weak_from_this()](link_id, const payload_missing &missing) {
        if (const auto strong = self.lock()) {
            strong->forward(missing.slot.run, missing);
        }
    });
    bus.onMessage<run_handover>([self = weak_from_this()](link_id, const run_handover &handover) {
        if (const auto strong = self.lock()) {
            strong->tellClaim(handover.run, ownership_event::handover_requested{ handover.epoch });
        }
    });
    bus.onMessage<run_need_update>([self = weak_from_this()](link_id, const run_need_update &news) {
        if (const auto strong = self.lock()) {
            strong->needs[news.run] = { news.openSlots, std::chrono::milliseconds(news.untilNeededMs), news.isTrainerWaiting };
        }
    });
}

void run_service::implementation::fleetChanged()
{
    const std::shared_ptr<const fleet_document> document = fleet->document();
    if (!document) {
        return;
    }
    for (const run_settings &run : document->runs) {
        auto found = units.find(run.id);
        if (found == units.end()) {
            const std::string prefix = fleet->self().str() + "-" + std::to_string(context.processIncarnation);
            run_ownership claim(fleet->self(), prefix, context.settings.listen.stewardPeer.text(), {});
            found = units.try_emplace(run.id, run.id, std::move(claim), &log).first;
        }
        found->second.settings = run;
        setRank(found->second);
        setGates(found->second);
        tellOwner(run.id, run_event::settings_changed{ run });
    }
    std::vector<run_id> gone;
    for (const auto &[run, unit] : units) {
        if (document->findRun(run) == nullptr) {
            gone.push_back(run);
        }
    }
    for (const run_id &run : gone) {
        tellClaim(run, ownership_event::release_requested{});
        if (units.at(run).watch != 0) {
            store->cancelWatch(units.at(run).watch);
        }
        units.erase(run);
    }
    armTimer();
}

void run_service::implementation::setRank(run_unit &unit)
{
    std::vector<std::string> candidates;
    for (const member_info &member : fleet->members()) {
        if (member.isStoreReachable || member.node == fleet->self()) {
            candidates.push_back(member.node.str());
        }
    }
    const std::vector<std::size_t> chosen = rendezvousChoose(unit.settings.id.view(), candidates, ownership_options{}.candidateCount);
    std::optional<std::size_t> rank;
    for (std::size_t place = 0; place < chosen.size(); ++place) {
        if (candidates[chosen[place]] == fleet->self().view()) {
            rank = place;
        }
    }
    if (isDraining) {
        rank.reset();
    }
    if (rank && unit.watch == 0) {
        watchOwner(unit.settings.id, unit);
    } else if (!rank && unit.watch != 0 && unit.claim.phase() == claim_phase::Watching) {
        store->cancelWatch(unit.watch);
        unit.watch = 0;
    }
    tellClaim(unit.settings.id, ownership_event::rank_changed{ rank });
}

void run_service::implementation::watchOwner(const run_id &run, run_unit &unit)
{
    store_watch_handlers handlers;
    handlers.onReport = [self = weak_from_this(), run](const store_watch_report &report) {
        const auto strong = self.lock();
        if (!strong) {
            return;
        }
        for (const store_watch_event &change : report.events) {
            const bool isPut = change.type == store_watch_event::kind::Put;
            strong->tellClaim(run, ownership_event::owner_changed{ decodeOwner(isPut ? &change.item : nullptr) });
        }
    };
    handlers.onEnd = [self = weak_from_this(), run](const store_watch_end &) {
        const auto strong = self.lock();
        if (strong && strong->units.contains(run)) {
            strong->units.at(run).watch = 0; // Opened again at the next review; polls go on meanwhile.
        }
    };
    unit.watch = store->watch({ .key = ownerKey(run) }, std::move(handlers));
}

void run_service::implementation::setGates(run_unit &unit)
{
    if (!unit.claim.isOwning()) {
        return;
    }
    std::vector<std::string> others;
    for (const member_info &member : fleet->members()) {
        if (member.node != fleet->self()) {
            others.push_back(member.node.str());
        }
    }
    std::vector<node_id> chosen{ fleet->self() };
    for (const std::size_t index : rendezvousChoose(unit.settings.id.view(), others, gatesPerRun - 1)) {
        chosen.emplace_back(others[index]);
    }
    run_event::gates_changed event;
    for (const node_id &node : chosen) {
        const std::optional<link_id> link = node == fleet->self() ? fleet->gateLink() : fleet->linkToGate(node);
        if (link) {
            event.gates.push_back({ node, 0 });
        }
    }
    needs[unit.settings.id] = unit.owner.need(monotonicNow());
    const std::uint64_t drafts = maximumDraftsInFlight(*fleet->document(), unit.settings.id, needs);
    for (draft_gate &gate : event.gates) {
        gate.capacity = std::max<std::uint64_t>(1, (drafts + event.gates.size() - 1) / event.gates.size());
    }
    tellOwner(unit.settings.id, event);
}

void run_service::implementation::setSpools(run_unit &unit)
{
    if (!unit.claim.isOwning()) {
        return;
    }
    run_event::spools_changed event;
    for (const member_info &member : fleet->members()) {
        if (!member.spoolAddress.empty()) {
            event.nodes.push_back(member.node);
        }
    }
    tellOwner(unit.settings.id, event);
}

void run_service::implementation::startReview()
{
    reviewTimer.expires_after(reviewInterval);
    reviewTimer.async_wait([self = weak_from_this()](const boost::system::error_code &error) {
        const auto strong = self.lock();
        if (error || !strong || strong->isStopped) {
            return;
        }
        strong->review();
        strong->startReview();
    });
}

void run_service::implementation::review()
{
    if (!fleet->document()) {
        return;
    }
    for (auto &[run, unit] : units) {
        setRank(unit);
        setGates(unit);
        setSpools(unit);
        announce(run, unit);
    }
    forwardKept();
    tellNeeds();
    finishDrainIfDone();
    armTimer();
}

void run_service::implementation::announce(const run_id &run, run_unit &unit)
{
    const bool isNews = unit.announcedStep != unit.owner.trainerStep();
    if (!unit.claim.isOwning() || (!isNews && monotonicNow() < unit.announceAt)) {
        return;
    }
    unit.announceAt = monotonicNow() + announceInterval;
    unit.announcedStep = unit.owner.trainerStep();
    fleet->announceOwner({ run, fleet->self(), unit.claim.epoch(), context.settings.listen.stewardPeer.text(), unit.announcedStep });
}

void run_service::implementation::tellNeeds()
{
    for (const auto &[run, unit] : units) {
        if (!unit.claim.isOwning()) {
            continue;
        }
        const run_need need = unit.owner.need(monotonicNow());
        const std::int64_t untilNeeded = std::chrono::duration_cast<std::chrono::milliseconds>(need.untilNeeded).count();
        const run_need_update news{ run, need.openSlots, untilNeeded, need.isTrainerWaiting };
        for (const auto &[other, otherUnit] : units) {
            const std::optional<run_owner_view> owner = other == run || otherUnit.settings.pool != unit.settings.pool ? std::nullopt : ownerOf(other);
            const std::optional<link_id> link = owner && owner->node != fleet->self() ? fleet->linkToSteward(owner->node) : std::nullopt;
            if (link) {
                fleet->bus().send(*link, news);
            }
        }
    }
}

void run_service::implementation::tellClaim(const run_id &run, const ownership_input &event)
{
    const auto found = units.find(run);
    if (found == units.end()) {
        return;
    }
    for (const ownership_action_item &action : found->second.claim.onEvent(monotonicNow(), event)) {
        perform(run, found->second, action);
    }
    armTimer();
}

void run_service::implementation::perform(const run_id &run, run_unit &unit, const ownership_action_item &item)
{
    const std::weak_ptr<implementation> self = weak_from_this();
    const auto tell = [self, run](const ownership_input &event) {
        if (const auto strong = self.lock(); strong && !strong->isStopped) {
            strong->tellClaim(run, event);
        }
    };
    if (std::holds_alternative<ownership_action::poll_owner>(item)) {
        store->range({ .key = ownerKey(run) }, [tell](const store_range_answer &answer) {
            if (answer.error) {
                tell(ownership_event::poll_failed{});
            } else {
                tell(ownership_event::owner_changed{ decodeOwnerAnswer(answer) });
            }
        });
    } else if (const auto *grant = std::get_if<ownership_action::grant_lease>(&item)) {
        store->grant({ grant->seconds }, [tell](const store_lease_answer &answer) {
            tell(ownership_event::lease_granted{ answer.error, answer.lease });
        });
    } else if (const auto *claim = std::get_if<ownership_action::claim>(&item)) {
        store->txn(claimTxn(run, *claim), [tell](const store_txn_answer &answer) {
            tell(decodeClaimAnswer(answer));
        });
    } else if (std::holds_alternative<ownership_action::read_batches>(item)) {
        store->range(batchesRange(run), [tell, run](const store_range_answer &answer) {
            tell(decodeBatchesAnswer(run, answer));
        });
    } else if (const auto *keepAlive = std::get_if<ownership_action::keep_alive>(&item)) {
        store->keepAlive({ keepAlive->lease }, [tell, askedAt = monotonicNow(), self, run](const store_lease_answer &answer) {
            tell(ownership_event::keep_alive_ended{ askedAt, answer.error });
            const auto strong = self.lock();
            if (strong && strong->units.contains(run)) {
                strong->tellListeners(run, strong->units.at(run), false);
            }
        });
    } else if (const auto *revoke = std::get_if<ownership_action::revoke_lease>(&item)) {
        store->revoke({ revoke->lease }, [](const store_lease_answer &) {
            // It ends by itself if this did not arrive.
        });
    } else if (const auto *gained = std::get_if<ownership_action::gained>(&item)) {
        logLine(log_level::Info, "run-owned", { { "run", run.str() }, { "epoch", std::to_string(gained->epoch) } });
        tellOwner(run, run_event::ownership_gained{ gained->epoch, gained->batches });
        tellOwner(run, run_event::settings_changed{ unit.settings });
        setGates(unit);
        unit.announceAt = {};
        announce(run, unit);
        tellListeners(run, unit, gained->batches.empty());
    } else if (std::holds_alternative<ownership_action::lost>(item)) {
        logLine(log_level::Info, "run-lost", { { "run", run.str() } });
        tellOwner(run, run_event::ownership_lost{});
        tellListeners(run, unit, false);
    }
}

void run_service::implementation::tellListeners(const run_id &run, const run_unit &unit, bool isFirstOwner)
{
    const run_ownership_news news{ run, unit.claim.isOwning() ? unit.claim.epoch() : 0, unit.claim.leaseUntil(), isFirstOwner };
    for (const auto &listener : listeners) {
        listener(news);
    }
}

void run_service::implementation::tellOwner(const run_id &run, const run_input &event)
{
    const auto found = units.find(run);
    if (found == units.end()) {
        return;
    }
    for (const run_action_item &action : found->second.owner.onEvent(monotonicNow(), event)) {
        perform(run, found->second, action);
    }
    armTimer();
}

void run_service::implementation::toGate(const node_id &gate, const auto &message)
{
    const std::optional<link_id> link = gate == fleet->self() ? fleet->gateLink() : fleet->linkToGate(gate);
    if (link) {
        fleet->bus().send(*link, message);
    }
}

void run_service::implementation::perform(const run_id &run, run_unit &unit, const run_action_item &item)
{
    const std::weak_ptr<implementation> self = weak_from_this();
    const auto tell = [self, run](const run_input &event) {
        if (const auto strong = self.lock(); strong && !strong->isStopped) {
            strong->tellOwner(run, event);
        }
    };
    if (const auto *order = std::get_if<run_action::order_draft>(&item)) {
        toGate(order->gate, order->order);
    } else if (const auto *cancel = std::get_if<run_action::cancel_draft>(&item)) {
        toGate(cancel->gate, draft_cancel{ run, cancel->draft });
    } else if (const auto *move = std::get_if<run_action::move_draft>(&item)) {
        toGate(move->gate, draft_move{ run, move->draft });
    } else if (const auto *write = std::get_if<run_action::write_seal>(&item)) {
        store->txn(writeSealTxn(run, write->record),
                   [tell, number = write->record.number, attempt = write->attempt, epoch = write->record.epoch](const store_txn_answer &answer) {
                       tell(run_event::seal_write_ended{ number, attempt, decodeSealWriteAnswer(answer, epoch) });
                   });
    } else if (const auto *read = std::get_if<run_action::read_seal>(&item)) {
        store->txn(readSealTxn(run, *read), [tell, run, read = *read, epoch = unit.owner.epoch()](const store_txn_answer &answer) {
            tell(decodeSealReadAnswer(run, read, epoch, answer));
        });
    } else if (const auto *remove = std::get_if<run_action::remove_seals>(&item)) {
        store->txn(removeSealsTxn(run, *remove), [](const store_txn_answer &) {
            // What is left is removed by the next owner, which reads it.
        });
    } else if (const auto *answer = std::get_if<run_action::answer_pull>(&item)) {
        const auto found = pulls.find(answer->token);
        if (found != pulls.end()) {
            const open_pull pull = std::move(found->second);
            pulls.erase(found);
            pull.reply(answer->answer);
        }
    } else if (const auto *release = std::get_if<run_action::release>(&item)) {
        for (const member_info &member : fleet->members()) {
            const std::optional<link_id> link = member.spoolAddress.empty() ? std::nullopt : fleet->linkToSpool(member.node);
            if (link) {
                fleet->bus().send(*link, release->payloads);
            }
        }
    } else if (const auto *standDown = std::get_if<run_action::step_down>(&item)) {
        tellClaim(run, ownership_event::fenced{ standDown->epoch });
    }
}

std::optional<run_owner_view> run_service::implementation::ownerOf(const run_id &run) const
{
    std::optional<run_owner_view> best;
    for (const run_owner_view &view : fleet->owners()) {
        if (view.run == run) {
            best = view;
        }
    }
    const auto unit = units.find(run);
    if (unit != units.end()) {
        const observed_owner &seen = unit->second.claim.owner();
        if (seen.isPresent && (!best || seen.epoch > best->epoch)) {
            best = run_owner_view{ run, seen.record.node, seen.epoch, seen.record.stewardAddress, 0 };
        }
    }
    return best;
}

} // namespace reedtrail
