// Connects the state machines, which do no I/O (sampling/run_ownership.h, sampling/run_owner.h), to the store, the peer bus and the clock. This file decides
// only which nodes compete for a run and which gates the run uses. Both are chosen by rendezvous hashing, so that the number of store calls and links of a run
// does not grow with the fleet.

#include "steward/run_service.h"

#include "base/hash.h"
#include "kernel/log.h"
#include "steward/run_service_implementation.h"

#include <algorithm>

namespace reedtrail {
namespace {

/** Maximum number of gates that one run uses. */
constexpr std::size_t gatesPerRun = 32;

/** Interval at which owners exchange their needs and update the candidates, gates and spools of each run. */
constexpr duration reviewInterval = std::chrono::seconds(1);

/** Interval at which an owner repeats its announcement while nothing changes. */
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
    for (const auto &[run, managed] : m_implementation->managedRuns) {
        runs[run.str()] = { { "claim", managed.claim.dump() }, { "owner", managed.owner.dump() } };
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

void run_service::onOwnershipChange(std::function<void(const run_ownership_update &update)> action)
{
    m_implementation->listeners.push_back(std::move(action));
}

void run_service::onWeightVersions(const run_id &run, weight_version published, weight_version served)
{
    m_implementation->dispatchToOwner(run, run_event::versions_changed{ published, served });
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
    registerPeerHandlers();
    fleet->onChange([self = weak_from_this()] {
        if (const auto strong = self.lock(); strong && !strong->isStopped) {
            strong->onFleetChanged();
        }
    });
    fleet->onLinkClosed([self = weak_from_this()](link_id link) {
        if (const auto strong = self.lock(); strong && !strong->isStopped) {
            strong->handleLinkClosed(link);
        }
    });
    onFleetChanged();
    scheduleReview();
}

void run_service::implementation::registerPeerHandlers()
{
    peer_bus &bus = fleet->bus();
    bus.onQuestion<pull_question, pull_answer>([self = weak_from_this()](link_id from, pull_question question, peer_bus::reply<pull_answer> reply) {
        if (const auto strong = self.lock()) {
            strong->handlePull(from, std::move(question), std::move(reply));
        }
    });
    bus.onMessage<draft_result>([self = weak_from_this()](link_id, const draft_result &result) {
        if (const auto strong = self.lock()) {
            strong->handleResult(result);
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
            strong->dispatchToClaim(handover.run, ownership_event::handover_requested{ handover.epoch });
        }
    });
    bus.onMessage<run_need_update>([self = weak_from_this()](link_id, const run_need_update &update) {
        if (const auto strong = self.lock()) {
            strong->needs[update.run] = { update.openSlots, std::chrono::milliseconds(update.untilNeededMs), update.isTrainerWaiting };
        }
    });
}

void run_service::implementation::onFleetChanged()
{
    const std::shared_ptr<const fleet_document> document = fleet->document();
    if (!document) {
        return;
    }
    for (const run_settings &run : document->runs) {
        auto found = managedRuns.find(run.id);
        if (found == managedRuns.end()) {
            const std::string prefix = fleet->self().str() + "-" + std::to_string(context.processIncarnation);
            run_ownership claim(fleet->self(), prefix, context.settings.listen.stewardPeer.text(), {});
            found = managedRuns.try_emplace(run.id, run.id, std::move(claim), &log).first;
        }
        found->second.settings = run;
        updateRank(found->second);
        updateGates(found->second);
        dispatchToOwner(run.id, run_event::settings_changed{ run });
    }
    std::vector<run_id> removedRuns;
    for (const auto &[run, managed] : managedRuns) {
        if (document->findRun(run) == nullptr) {
            removedRuns.push_back(run);
        }
    }
    for (const run_id &run : removedRuns) {
        dispatchToClaim(run, ownership_event::release_requested{});
        if (managedRuns.at(run).watch != 0) {
            store->cancelWatch(managedRuns.at(run).watch);
        }
        managedRuns.erase(run);
    }
    armTimer();
}

void run_service::implementation::updateRank(managed_run &managed)
{
    std::vector<std::string> candidates;
    for (const member_info &member : fleet->members()) {
        if (member.isStoreReachable || member.node == fleet->self()) {
            candidates.push_back(member.node.str());
        }
    }
    const std::vector<std::size_t> chosen = rendezvousChoose(managed.settings.id.view(), candidates, ownership_options{}.candidateCount);
    std::optional<std::size_t> rank;
    for (std::size_t place = 0; place < chosen.size(); ++place) {
        if (candidates[chosen[place]] == fleet->self().view()) {
            rank = place;
        }
    }
    if (isDraining) {
        rank.reset();
    }
    if (rank && managed.watch == 0) {
        watchOwner(managed.settings.id, managed);
    } else if (!rank && managed.watch != 0 && managed.claim.phase() == claim_phase::Watching) {
        store->cancelWatch(managed.watch);
        managed.watch = 0;
    }
    dispatchToClaim(managed.settings.id, ownership_event::rank_changed{ rank });
}

void run_service::implementation::watchOwner(const run_id &run, managed_run &managed)
{
    store_watch_handlers handlers;
    handlers.onReport = [self = weak_from_this(), run](const store_watch_report &report) {
        const auto strong = self.lock();
        if (!strong) {
            return;
        }
        for (const store_watch_event &change : report.events) {
            const bool isPut = change.type == store_watch_event::kind::Put;
            strong->dispatchToClaim(run, ownership_event::owner_changed{ decodeOwner(isPut ? &change.item : nullptr) });
        }
    };
    handlers.onEnd = [self = weak_from_this(), run](const store_watch_end &) {
        const auto strong = self.lock();
        if (strong && strong->managedRuns.contains(run)) {
            strong->managedRuns.at(run).watch = 0; // The next review opens a new watch; until then the claim polls the owner key.
        }
    };
    managed.watch = store->watch({ .key = ownerKey(run) }, std::move(handlers));
}

void run_service::implementation::updateGates(managed_run &managed)
{
    if (!managed.claim.isOwning()) {
        return;
    }
    std::vector<std::string> others;
    for (const member_info &member : fleet->members()) {
        if (member.node != fleet->self()) {
            others.push_back(member.node.str());
        }
    }
    std::vector<node_id> chosen{ fleet->self() };
    for (const std::size_t index : rendezvousChoose(managed.settings.id.view(), others, gatesPerRun - 1)) {
        chosen.emplace_back(others[index]);
    }
    run_event::gates_changed event;
    for (const node_id &node : chosen) {
        const std::optional<link_id> link = node == fleet->self() ? fleet->gateLink() : fleet->linkToGate(node);
        if (link) {
            event.gates.push_back({ node, 0 });
        }
    }
    needs[managed.settings.id] = managed.owner.need(monotonicNow());
    const std::uint64_t drafts = maximumDraftsInFlight(*fleet->document(), managed.settings.id, needs);
    for (draft_gate &gate : event.gates) {
        gate.capacity = std::max<std::uint64_t>(1, (drafts + event.gates.size() - 1) / event.gates.size());
    }
    dispatchToOwner(managed.settings.id, event);
}

void run_service::implementation::updateSpools(managed_run &managed)
{
    if (!managed.claim.isOwning()) {
        return;
    }
    run_event::spools_changed event;
    for (const member_info &member : fleet->members()) {
        if (!member.spoolAddress.empty()) {
            event.nodes.push_back(member.node);
        }
    }
    dispatchToOwner(managed.settings.id, event);
}

void run_service::implementation::scheduleReview()
{
    reviewTimer.expires_after(reviewInterval);
    reviewTimer.async_wait([self = weak_from_this()](const boost::system::error_code &error) {
        const auto strong = self.lock();
        if (error || !strong || strong->isStopped) {
            return;
        }
        strong->review();
        strong->scheduleReview();
    });
}

void run_service::implementation::review()
{
    if (!fleet->document()) {
        return;
    }
    for (auto &[run, managed] : managedRuns) {
        updateRank(managed);
        updateGates(managed);
        updateSpools(managed);
        announceOwnership(run, managed);
    }
    forwardBufferedResults();
    sendNeeds();
    finishDrainIfDone();
    armTimer();
}

void run_service::implementation::announceOwnership(const run_id &run, managed_run &managed)
{
    const bool hasNewStep = managed.announcedStep != managed.owner.trainerStep();
    if (!managed.claim.isOwning() || (!hasNewStep && monotonicNow() < managed.nextAnnouncement)) {
        return;
    }
    managed.nextAnnouncement = monotonicNow() + announceInterval;
    managed.announcedStep = managed.owner.trainerStep();
    fleet->announceOwner({ run, fleet->self(), managed.claim.epoch(), context.settings.listen.stewardPeer.text(), managed.announcedStep });
}

void run_service::implementation::sendNeeds()
{
    for (const auto &[run, managed] : managedRuns) {
        if (!managed.claim.isOwning()) {
            continue;
        }
        const run_need need = managed.owner.need(monotonicNow());
        const std::int64_t untilNeeded = std::chrono::duration_cast<std::chrono::milliseconds>(need.untilNeeded).count();
        const run_need_update update{ run, need.openSlots, untilNeeded, need.isTrainerWaiting };
        for (const auto &[other, otherManaged] : managedRuns) {
            const std::optional<run_owner_view> owner = other == run || otherManaged.settings.pool != managed.settings.pool ? std::nullopt : ownerOf(other);
            const std::optional<link_id> link = owner && owner->node != fleet->self() ? fleet->linkToSteward(owner->node) : std::nullopt;
            if (link) {
                fleet->bus().send(*link, update);
            }
        }
    }
}

void run_service::implementation::dispatchToClaim(const run_id &run, const ownership_input &event)
{
    const auto found = managedRuns.find(run);
    if (found == managedRuns.end()) {
        return;
    }
    for (const ownership_action_item &action : found->second.claim.onEvent(monotonicNow(), event)) {
        perform(run, found->second, action);
    }
    armTimer();
}

void run_service::implementation::perform(const run_id &run, managed_run &managed, const ownership_action_item &item)
{
    const std::weak_ptr<implementation> self = weak_from_this();
    const auto dispatch = [self, run](const ownership_input &event) {
        if (const auto strong = self.lock(); strong && !strong->isStopped) {
            strong->dispatchToClaim(run, event);
        }
    };
    if (std::holds_alternative<ownership_action::poll_owner>(item)) {
        store->range({ .key = ownerKey(run) }, [dispatch](const store_range_answer &answer) {
            if (answer.error) {
                dispatch(ownership_event::poll_failed{});
            } else {
                dispatch(ownership_event::owner_changed{ decodeOwnerAnswer(answer) });
            }
        });
    } else if (const auto *grant = std::get_if<ownership_action::grant_lease>(&item)) {
        store->grant({ grant->seconds }, [dispatch](const store_lease_answer &answer) {
            dispatch(ownership_event::lease_granted{ answer.error, answer.lease });
        });
    } else if (const auto *claim = std::get_if<ownership_action::claim>(&item)) {
        store->txn(claimTxn(run, *claim), [dispatch](const store_txn_answer &answer) {
            dispatch(decodeClaimAnswer(answer));
        });
    } else if (std::holds_alternative<ownership_action::read_batches>(item)) {
        store->range(batchesRange(run), [dispatch, run](const store_range_answer &answer) {
            dispatch(decodeBatchesAnswer(run, answer));
        });
    } else if (const auto *keepAlive = std::get_if<ownership_action::keep_alive>(&item)) {
        store->keepAlive({ keepAlive->lease }, [dispatch, askedAt = monotonicNow(), self, run](const store_lease_answer &answer) {
            dispatch(ownership_event::keep_alive_ended{ askedAt, answer.error });
            const auto strong = self.lock();
            if (strong && strong->managedRuns.contains(run)) {
                strong->notifyListeners(run, strong->managedRuns.at(run), false);
            }
        });
    } else if (const auto *revoke = std::get_if<ownership_action::revoke_lease>(&item)) {
        store->revoke({ revoke->lease }, [](const store_lease_answer &) {
            // If the revocation fails, the lease expires at the end of its TTL.
        });
    } else if (const auto *gained = std::get_if<ownership_action::gained>(&item)) {
        logLine(log_level::Info, "run-owned", { { "run", run.str() }, { "epoch", std::to_string(gained->epoch) } });
        dispatchToOwner(run, run_event::ownership_gained{ gained->epoch, gained->batches });
        dispatchToOwner(run, run_event::settings_changed{ managed.settings });
        updateGates(managed);
        managed.nextAnnouncement = {};
        announceOwnership(run, managed);
        notifyListeners(run, managed, gained->batches.empty());
    } else if (std::holds_alternative<ownership_action::lost>(item)) {
        logLine(log_level::Info, "run-lost", { { "run", run.str() } });
        dispatchToOwner(run, run_event::ownership_lost{});
        notifyListeners(run, managed, false);
    }
}

void run_service::implementation::notifyListeners(const run_id &run, const managed_run &managed, bool isFirstOwner)
{
    const run_ownership_update update{ run, managed.claim.isOwning() ? managed.claim.epoch() : 0, managed.claim.leaseUntil(), isFirstOwner };
    for (const auto &listener : listeners) {
        listener(update);
    }
}

void run_service::implementation::dispatchToOwner(const run_id &run, const run_input &event)
{
    const auto found = managedRuns.find(run);
    if (found == managedRuns.end()) {
        return;
    }
    for (const run_action_item &action : found->second.owner.onEvent(monotonicNow(), event)) {
        perform(run, found->second, action);
    }
    armTimer();
}

void run_service::implementation::sendToGate(const node_id &gate, const auto &message)
{
    const std::optional<link_id> link = gate == fleet->self() ? fleet->gateLink() : fleet->linkToGate(gate);
    if (link) {
        fleet->bus().send(*link, message);
    }
}

void run_service::implementation::perform(const run_id &run, managed_run &managed, const run_action_item &item)
{
    const std::weak_ptr<implementation> self = weak_from_this();
    const auto dispatch = [self, run](const run_input &event) {
        if (const auto strong = self.lock(); strong && !strong->isStopped) {
            strong->dispatchToOwner(run, event);
        }
    };
    if (const auto *order = std::get_if<run_action::order_draft>(&item)) {
        sendToGate(order->gate, order->order);
    } else if (const auto *cancel = std::get_if<run_action::cancel_draft>(&item)) {
        sendToGate(cancel->gate, draft_cancel{ run, cancel->draft });
    } else if (const auto *move = std::get_if<run_action::move_draft>(&item)) {
        sendToGate(move->gate, draft_move{ run, move->draft });
    } else if (const auto *write = std::get_if<run_action::write_seal>(&item)) {
        store->txn(writeSealTxn(run, write->record),
                   [dispatch, number = write->record.number, attempt = write->attempt, epoch = write->record.epoch](const store_txn_answer &answer) {
                       dispatch(run_event::seal_write_ended{ number, attempt, decodeSealWriteAnswer(answer, epoch) });
                   });
    } else if (const auto *read = std::get_if<run_action::read_seal>(&item)) {
        store->txn(readSealTxn(run, *read), [dispatch, run, read = *read, epoch = managed.owner.epoch()](const store_txn_answer &answer) {
            dispatch(decodeSealReadAnswer(run, read, epoch, answer));
        });
    } else if (const auto *remove = std::get_if<run_action::remove_seals>(&item)) {
        store->txn(removeSealsTxn(run, *remove), [](const store_txn_answer &) {
            // If the removal fails, the next owner reads the remaining records and removes them.
        });
    } else if (const auto *answer = std::get_if<run_action::answer_pull>(&item)) {
        const auto found = pulls.find(answer->token);
        if (found != pulls.end()) {
            const pending_pull pull = std::move(found->second);
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
    } else if (const auto *stepDown = std::get_if<run_action::step_down>(&item)) {
        dispatchToClaim(run, ownership_event::fenced{ stepDown->epoch });
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
    const auto managed = managedRuns.find(run);
    if (managed != managedRuns.end()) {
        const observed_owner &seen = managed->second.claim.owner();
        if (seen.isPresent && (!best || seen.epoch > best->epoch)) {
            best = run_owner_view{ run, seen.record.node, seen.epoch, seen.record.stewardAddress, 0 };
        }
    }
    return best;
}

} // namespace reedtrail
