// The design follows the transaction coordinator of "Kafka Transactions": each ownership has a monotonically increasing epoch, the outcome (which draft of a
// slot is used) is recorded before it becomes visible, and unrecorded state may be lost at any time. Unlike a transaction log, the record is also the answer:
// batch N in the store is the answer to pull N, so no commit marker is needed and every later owner gives the same answer.
//
// A slot passes these stages: ordered, drafted, payload stored in a spool, ready, recorded, delivered, acknowledged. A crash between two stages loses no more
// than work that can be repeated:
//   - Before the record is written, the slot is open for the next owner, or the gate that has its draft reports the draft again.
//   - If the result of the write is lost, reading the key back shows whether the record is there. The same record is written again only if it is not.
//   - After the record is written, every new owner reads it before it does anything else.
// An owner that resumes after a pause may hold an epoch that the owner key no longer has. Its writes fail their compare. Its answers to pulls are recorded
// batches, which are the same from any owner. Its draft orders waste some generation at most, since a draft of any epoch is acceptable until one is sealed.
//
// Cost: one store write per sealInterval while samples become ready, one read per takeover, and one deletion per step. None of these depends on the number of
// nodes or samples. Memory: about 300 bytes per slot of the steps in progress, and 200 bytes per sample of the batches that are not yet deleted.

#include "sampling/run_owner.h"

#include "base/check.h"
#include "sampling/sample_check.h"

#include <algorithm>

namespace reedtrail {

run_owner::run_owner(run_id run, run_owner_options options, decision_log *log)
    : m_run(std::move(run))
    , m_options(options)
    , m_decisionLog(log)
    , m_stepTable(m_run)
    , m_stragglers(options.stragglers)
{
}

run_actions run_owner::onEvent(time_point now, const run_input &event)
{
    m_now = now;
    m_actions.clear();
    std::visit(
        [this](const auto &alternative) {
            handle(alternative);
        },
        event);
    runDueWork();
    return std::move(m_actions);
}

void run_owner::runDueWork()
{
    if (!isOwner() || !m_settings) {
        return;
    }
    redrawOutdatedDrafts();
    orderDrafts();
    sealReadySamples();
    answerPulls();
    if (m_nextTimerAt <= m_now) {
        m_nextTimerAt = m_now + m_options.timerInterval;
    }
}

time_point run_owner::nextDeadline() const
{
    if (!isOwner()) {
        return timeNever;
    }
    time_point next = m_nextTimerAt;
    if (m_pendingWrite && m_pendingWrite->isBackingOff) {
        next = std::min(next, m_pendingWrite->retryAt);
    }
    for (const waiting_pull &pull : m_waitingPulls) {
        next = std::min(next, pull.until);
    }
    return next;
}

void run_owner::handle(const run_event::settings_changed &event)
{
    m_settings = event.settings;
    m_stateMachine.onDesiredState(event.settings.state);
}

step_shape run_owner::shape() const
{
    return m_settings ? step_shape{ static_cast<std::uint32_t>(m_settings->groups), static_cast<std::uint32_t>(m_settings->groupSize) } : step_shape{};
}

void run_owner::handle(const run_event::ownership_gained &event)
{
    REEDTRAIL_CHECK(event.epoch > m_epoch, "the epoch of a run increases with each ownership");
    m_epoch = event.epoch;
    m_nextDraftId = (event.epoch << 24U) + 1; // The epoch in the upper bits makes draft IDs unique across owners.
    m_pendingWrite.reset();
    m_batches.clear();
    m_reportingGates.clear();
    m_ordersNotBefore = m_now + (event.batches.empty() ? duration::zero() : m_options.adoptionWindow);
    m_nextTimerAt = m_now;
    m_stateMachine.onOwnership(true);
    for (const seal_record &record : event.batches) {
        m_batches[record.number] = record;
        m_acknowledgedBatch = std::max(m_acknowledgedBatch, record.acknowledged);
    }
    for (auto &[step, slots] : m_stepTable.steps()) {
        for (slot_entry &entry : slots.entries) {
            if (entry.phase == slot_phase::Sealing) {
                m_stepTable.setPhase(entry, slot_phase::Ready); // The write's result is unknown. adoptBatch() marks the slot as sealed if it took effect.
            }
        }
    }
    m_batchesToAmend.clear();
    for (const auto &[number, record] : m_batches) {
        adoptBatch(record);
    }
    recordUnreachableSpools();
    if (!m_batches.empty()) {
        discardStepsBefore(m_batches.begin()->second.step);
    }
    advanceTrainerStep(std::max(m_highestRequested, m_acknowledgedBatch));
    logDecision(decision_kind::TookOver,
                subject_kind::Run,
                m_run.str(),
                error_kind::None,
                "epoch " + std::to_string(m_epoch) + ", batches " + std::to_string(m_batches.size()));
}

void run_owner::adoptBatch(const seal_record &record)
{
    m_lastBatchNumber = std::max(m_lastBatchNumber, record.number);
    const std::uint64_t firstOpenStep = record.isStepComplete ? record.step + 1 : record.step;
    m_nextStepToSeal = std::max(m_nextStepToSeal, firstOpenStep);
    m_stepTable.findOrAddStep(record.step, { record.groups, record.groupSize });
    for (const sealed_sample &sample : record.samples) {
        slot_entry *entry = m_stepTable.find(sample.slot);
        REEDTRAIL_CHECK(entry != nullptr, "every slot in a record is within the step shape of that record");
        if (entry == nullptr) {
            continue;
        }
        endAttempt(*entry);
        m_stepTable.setPhase(*entry, slot_phase::Sealed);
        entry->sample = sample;
        entry->batch = record.number;
        entry->isReplacement = false;
    }
}

void run_owner::handle(const run_event::ownership_lost &)
{
    if (!isOwner()) {
        return;
    }
    m_stateMachine.onOwnership(false);
    m_pendingWrite.reset();
    for (const waiting_pull &pull : m_waitingPulls) {
        answerWithoutSamples(pull.token, pull.number, error_kind::NotOwner);
    }
    m_waitingPulls.clear();
    logDecision(decision_kind::Fenced, subject_kind::Run, m_run.str(), error_kind::NotOwner, "epoch " + std::to_string(m_epoch) + " ended");
}

void run_owner::handle(const run_event::gates_changed &event)
{
    m_gates = event.gates;
    for (auto &[step, slots] : m_stepTable.steps()) {
        for (slot_entry &entry : slots.entries) {
            if (entry.phase == slot_phase::Drafting && !isGateKnown(entry.attempt.gate)) {
                dropDraft(entry, error_kind::PeerUnreachable, false);
            }
        }
    }
}

void run_owner::handle(const run_event::spools_changed &event)
{
    std::set<node_id> reachable(event.nodes.begin(), event.nodes.end());
    if (m_reachableSpools) {
        for (const node_id &node : *m_reachableSpools) {
            if (!reachable.contains(node)) {
                m_spoolUnreachableSince.try_emplace(node, m_now);
            }
        }
    }
    const bool isFirst = !m_reachableSpools;
    m_reachableSpools = std::move(reachable);
    if (isFirst) {
        recordUnreachableSpools();
    }
    std::erase_if(m_spoolUnreachableSince, [this](const auto &spool) {
        return m_reachableSpools->contains(spool.first);
    });
}

void run_owner::handle(const run_event::versions_changed &event)
{
    if (event.published > m_publishedVersion) {
        m_publishedVersion = event.published;
        m_publishedAt = m_now;
    }
    m_servedVersion = std::max(m_servedVersion, event.served);
}

void run_owner::handle(const run_event::timer &)
{
    if (m_now >= m_nextDraftCheckAt && isOwner()) {
        m_nextDraftCheckAt = m_now + m_options.draftCheckInterval;
        checkDraftProgress();
        discardUnreachableSamples();
    }
    if (m_pendingWrite && m_pendingWrite->isBackingOff && m_now >= m_pendingWrite->retryAt) {
        sendWrite();
    }
}

run_need run_owner::need(time_point now) const
{
    run_need need;
    const auto found = m_stepTable.steps().find(m_nextStepToSeal);
    need.openSlots = shape().slotCount();
    if (found != m_stepTable.steps().end()) {
        need.openSlots -= found->second.count(slot_phase::Ready) + found->second.count(slot_phase::Sealing) + found->second.count(slot_phase::Sealed);
    }
    need.isTrainerWaiting = !m_waitingPulls.empty();
    need.untilNeeded = need.isTrainerWaiting ? duration::zero() : m_leadPlanner.expectedNeedTime(m_nextStepToSeal, now) - now;
    return need;
}

void run_owner::logDecision(decision_kind kind, subject_kind subject, std::string id, error_kind cause, std::string detail)
{
    if (m_decisionLog != nullptr) {
        m_decisionLog->add({ m_now, kind, subject, std::move(id), cause, std::move(detail) });
    }
}

nlohmann::json run_owner::dump() const
{
    nlohmann::json steps = nlohmann::json::array();
    for (const auto &[step, slots] : m_stepTable.steps()) {
        steps.push_back({
            { "step", step },
            { "open", slots.count(slot_phase::Open) },
            { "drafting", slots.count(slot_phase::Drafting) },
            { "ready", slots.count(slot_phase::Ready) },
            { "sealing", slots.count(slot_phase::Sealing) },
            { "sealed", slots.count(slot_phase::Sealed) },
        });
    }
    nlohmann::json gates = nlohmann::json::array();
    for (const draft_gate &gate : m_gates) {
        const auto active = m_activeDraftsByGate.find(gate.node);
        gates.push_back({ { "node", gate.node }, { "capacity", gate.capacity }, { "drafts", active == m_activeDraftsByGate.end() ? 0 : active->second } });
    }
    return {
        { "run", m_run },
        { "phase", runPhaseName(m_stateMachine.phase()) },
        { "epoch", m_epoch },
        { "trainerStep", m_trainerStep },
        { "nextStepToSeal", m_nextStepToSeal },
        { "lastFixed", m_lastBatchNumber },
        { "acknowledged", m_acknowledgedBatch },
        { "asked", m_highestRequested },
        { "published", m_publishedVersion },
        { "served", m_servedVersion },
        { "waitingPulls", m_waitingPulls.size() },
        { "isWriting", m_pendingWrite.has_value() },
        { "stepPeriodMs", std::chrono::duration_cast<std::chrono::milliseconds>(m_leadPlanner.stepPeriod()).count() },
        { "draftTimeMs", std::chrono::duration_cast<std::chrono::milliseconds>(m_leadPlanner.draftTime()).count() },
        { "steps", std::move(steps) },
        { "gates", std::move(gates) },
        { "counts",
          { { "ordered", m_counts.ordered },
            { "redrawn", m_counts.redrawn },
            { "moved", m_counts.moved },
            { "givenUp", m_counts.givenUp },
            { "dropped", m_counts.dropped },
            { "sealed", m_counts.sealed },
            { "regenerated", m_counts.regenerated },
            { "sealWrites", m_counts.sealWrites } } },
    };
}

} // namespace reedtrail
