// The owner follows the shape of the transaction coordinator in "Kafka Transactions": ownership carries an epoch that only rises, the outcome (which draft of
// a slot counts) is recorded before anyone can see it, and what was not recorded may be forgotten at any time. Unlike a transaction log, the record is also
// the answer: batch N in the store is what pull N gets, so no marker has to follow it and any later owner answers alike.
//
// Order of a slot: ordered, drafted, payload in a spool, ready, in a record, answered, acknowledged. A crash between any two loses at most work:
//   - before the record: the slot is open for the next owner, or its draft is reported again by the gate that has it;
//   - after the record, its answer lost: reading the key back shows whose write it was, and the write is repeated unchanged only if it is not there;
//   - after the record: every owner reads it before it does anything else.
// An owner that was paused and wakes still holds an epoch that the owner key no longer has. Its writes fail their compare; what it answers to pulls are fixed
// records, which are right whoever hands them out; its orders cost some drafting at most, since drafts of any epoch are equal until one is sealed.
//
// Cost: one store write each sealInterval while samples become ready, one read at a takeover, one removal a step; none depends on nodes or samples. Memory:
// about 300 bytes a slot of the steps worked on, and 200 bytes a sample of the batches not yet removed.

#include "sampling/run_owner.h"

#include "base/check.h"
#include "sampling/sample_check.h"

#include <algorithm>

namespace reedtrail {

run_owner::run_owner(run_id run, run_owner_options options, decision_log *log)
    : m_run(std::move(run))
    , m_options(options)
    , m_log(log)
    , m_book(m_run)
    , m_stragglers(options.stragglers)
{
}

run_actions run_owner::onEvent(time_point now, const run_input &event)
{
    m_now = now;
    m_actions.clear();
    std::visit(
        [this](const auto &known) {
            handle(known);
        },
        event);
    proceed();
    return std::move(m_actions);
}

void run_owner::proceed()
{
    if (!isOwner() || !m_settings) {
        return;
    }
    redrawOldDrafts();
    orderDrafts();
    sealWhatIsReady();
    answerPulls();
    if (m_nextTick <= m_now) {
        m_nextTick = m_now + m_options.tick;
    }
}

time_point run_owner::nextDeadline() const
{
    if (!isOwner()) {
        return timeNever;
    }
    time_point next = m_nextTick;
    if (m_write && m_write->isWaiting) {
        next = std::min(next, m_write->retryAt);
    }
    for (const waiting_pull &pull : m_pulls) {
        next = std::min(next, pull.until);
    }
    return next;
}

void run_owner::handle(const run_event::settings_changed &event)
{
    m_settings = event.settings;
    m_machine.onOrder(event.settings.state);
}

step_shape run_owner::shape() const
{
    return m_settings ? step_shape{ static_cast<std::uint32_t>(m_settings->groups), static_cast<std::uint32_t>(m_settings->groupSize) } : step_shape{};
}

void run_owner::handle(const run_event::ownership_gained &event)
{
    REEDTRAIL_CHECK(event.epoch > m_epoch, "the epoch of a run only rises");
    m_epoch = event.epoch;
    m_nextDraft = (event.epoch << 24U) + 1;
    m_write.reset();
    m_fixed.clear();
    m_reportingGates.clear();
    m_orderFrom = m_now + (event.batches.empty() ? duration::zero() : m_options.adoptionWindow);
    m_nextTick = m_now;
    m_machine.onOwnership(true);
    for (const seal_record &record : event.batches) {
        m_fixed[record.number] = record;
        m_acknowledged = std::max(m_acknowledged, record.acknowledged);
    }
    for (auto &[step, slots] : m_book.steps()) {
        for (slot_entry &entry : slots.entries) {
            if (entry.phase == slot_phase::Sealing) {
                m_book.setPhase(entry, slot_phase::Ready); // The write is not known to have been done; the records just read decide.
            }
        }
    }
    m_broken.clear();
    for (const auto &[number, record] : m_fixed) {
        adoptBatch(record);
    }
    noteLostSpools();
    if (!m_fixed.empty()) {
        forgetStepsBefore(m_fixed.begin()->second.step);
    }
    advanceTrainer(std::max(m_asked, m_acknowledged));
    note(decision_kind::TookOver,
         subject_kind::Run,
         m_run.str(),
         error_kind::None,
         "epoch " + std::to_string(m_epoch) + ", batches " + std::to_string(m_fixed.size()));
}

void run_owner::adoptBatch(const seal_record &record)
{
    m_lastFixed = std::max(m_lastFixed, record.number);
    const std::uint64_t open = record.isStepComplete ? record.step + 1 : record.step;
    m_nextStepToSeal = std::max(m_nextStepToSeal, open);
    m_book.findOrAddStep(record.step, { record.groups, record.groupSize });
    for (const sealed_sample &sample : record.samples) {
        slot_entry *entry = m_book.find(sample.slot);
        REEDTRAIL_CHECK(entry != nullptr, "a record names slots of its own shape");
        if (entry == nullptr) {
            continue;
        }
        endAttempt(*entry);
        m_book.setPhase(*entry, slot_phase::Sealed);
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
    m_machine.onOwnership(false);
    m_write.reset();
    for (const waiting_pull &pull : m_pulls) {
        answerEmpty(pull.token, pull.number, error_kind::NotOwner);
    }
    m_pulls.clear();
    note(decision_kind::Fenced, subject_kind::Run, m_run.str(), error_kind::NotOwner, "epoch " + std::to_string(m_epoch) + " ended");
}

void run_owner::handle(const run_event::gates_changed &event)
{
    m_gates = event.gates;
    for (auto &[step, slots] : m_book.steps()) {
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
    if (m_spools) {
        for (const node_id &node : *m_spools) {
            if (!reachable.contains(node)) {
                m_spoolGoneAt.try_emplace(node, m_now);
            }
        }
    }
    const bool isFirst = !m_spools;
    m_spools = std::move(reachable);
    if (isFirst) {
        noteLostSpools();
    }
    std::erase_if(m_spoolGoneAt, [this](const auto &gone) {
        return m_spools->contains(gone.first);
    });
}

void run_owner::handle(const run_event::versions_seen &event)
{
    if (event.published > m_published) {
        m_published = event.published;
        m_publishedAt = m_now;
    }
    m_served = std::max(m_served, event.served);
}

void run_owner::handle(const run_event::timer &)
{
    if (m_now >= m_nextWatch && isOwner()) {
        m_nextWatch = m_now + m_options.watchInterval;
        watchStragglers();
        loseUnreachable();
    }
    if (m_write && m_write->isWaiting && m_now >= m_write->retryAt) {
        sendWrite();
    }
}

run_need run_owner::need(time_point now) const
{
    run_need need;
    const auto found = m_book.steps().find(m_nextStepToSeal);
    need.openSlots = shape().slotCount();
    if (found != m_book.steps().end()) {
        need.openSlots -= found->second.count(slot_phase::Ready) + found->second.count(slot_phase::Sealing) + found->second.count(slot_phase::Sealed);
    }
    need.isTrainerWaiting = !m_pulls.empty();
    need.untilNeeded = need.isTrainerWaiting ? duration::zero() : m_objective.expectedNeedTime(m_nextStepToSeal, now) - now;
    return need;
}

void run_owner::note(decision_kind kind, subject_kind subject, std::string id, error_kind cause, std::string detail)
{
    if (m_log != nullptr) {
        m_log->add({ m_now, kind, subject, std::move(id), cause, std::move(detail) });
    }
}

nlohmann::json run_owner::dump() const
{
    nlohmann::json steps = nlohmann::json::array();
    for (const auto &[step, slots] : m_book.steps()) {
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
        const auto active = m_activeByGate.find(gate.node);
        gates.push_back({ { "node", gate.node }, { "capacity", gate.capacity }, { "drafts", active == m_activeByGate.end() ? 0 : active->second } });
    }
    return {
        { "run", m_run },
        { "phase", runPhaseName(m_machine.phase()) },
        { "epoch", m_epoch },
        { "trainerStep", m_trainerStep },
        { "nextStepToSeal", m_nextStepToSeal },
        { "lastFixed", m_lastFixed },
        { "acknowledged", m_acknowledged },
        { "asked", m_asked },
        { "published", m_published },
        { "served", m_served },
        { "waitingPulls", m_pulls.size() },
        { "isWriting", m_write.has_value() },
        { "stepPeriodMs", std::chrono::duration_cast<std::chrono::milliseconds>(m_objective.stepPeriod()).count() },
        { "draftTimeMs", std::chrono::duration_cast<std::chrono::milliseconds>(m_objective.draftTime()).count() },
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
