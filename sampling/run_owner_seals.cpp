// Sealing of samples in batches, and delivery of batches to the trainer. At most one record is written at a time, and it does not change until the result of
// the write is known.

#include "base/check.h"
#include "sampling/run_owner.h"
#include "sampling/sample_check.h"

#include <algorithm>

namespace reedtrail {
namespace {

/** Idle time weight from which a step is sealed before the trainer requests it. */
constexpr double sealAheadMinimumWeight = 0.5;

} // namespace

void run_owner::sealReadySamples()
{
    if (m_pendingWrite || !maySeal() || startAmendment()) {
        return;
    }
    const std::uint64_t stepsAhead = m_settings->idleTimeWeight >= sealAheadMinimumWeight ? 1 : 0;
    step_slots *slots = m_stepTable.findStep(m_nextStepToSeal);
    if (slots != nullptr && m_nextStepToSeal <= m_trainerStep + stepsAhead && isSealDue(*slots)) {
        startSeal(*slots);
    }
}

bool run_owner::isSealDue(const step_slots &slots) const
{
    const std::size_t ready = slots.count(slot_phase::Ready);
    if (ready == 0) {
        return false;
    }
    const bool isComplete = slots.count(slot_phase::Open) + slots.count(slot_phase::Drafting) == 0;
    return isComplete || ready >= m_options.maximumBatchSamples || m_now >= m_lastSealAt + m_options.sealInterval;
}

void run_owner::startSeal(step_slots &slots)
{
    seal_record record;
    record.number = m_lastBatchNumber + 1;
    record.step = slots.step;
    record.epoch = m_epoch;
    record.acknowledged = m_acknowledgedBatch;
    record.groups = slots.shape.groups;
    record.groupSize = slots.shape.groupSize;
    std::size_t remaining = 0;
    for (slot_entry &entry : slots.entries) {
        if (entry.isReplacement || entry.phase == slot_phase::Sealed) {
            continue; // Already in a record.
        }
        if (entry.phase != slot_phase::Ready || record.samples.size() == m_options.maximumBatchSamples) {
            ++remaining;
            continue;
        }
        if (stepsBehind(slots.step, oldestVersion(entry.sample.versions)) > static_cast<std::uint64_t>(m_settings->stalenessBound)) {
            dropDraft(entry, error_kind::Stale, false); // The staleness bound was lowered after the sample was drafted.
            ++remaining;
            continue;
        }
        record.samples.push_back(entry.sample);
        m_stepTable.setPhase(entry, slot_phase::Sealing);
    }
    if (record.samples.empty()) {
        return;
    }
    record.isStepComplete = remaining == 0;
    m_lastSealAt = m_now;
    m_pendingWrite = pending_write{ .record = std::move(record), .backoff = m_options.initialStoreBackoff };
    sendWrite();
}

bool run_owner::isUnacknowledged(const slot_entry &entry) const
{
    return entry.phase == slot_phase::Sealed && entry.batch > m_acknowledgedBatch && m_batches.contains(entry.batch);
}

bool run_owner::startAmendment()
{
    for (const std::uint64_t number : m_batchesToAmend) {
        seal_record record = m_batches.at(number);
        bool isComplete = true;
        for (sealed_sample &sample : record.samples) {
            const slot_entry *entry = m_stepTable.find(sample.slot);
            if (entry->isReplacement) {
                isComplete = isComplete && entry->phase == slot_phase::Ready;
                sample = entry->sample;
            }
        }
        if (!isComplete) {
            continue;
        }
        for (const sealed_sample &sample : record.samples) {
            m_stepTable.setPhase(*m_stepTable.find(sample.slot), slot_phase::Sealing);
        }
        ++record.revision;
        record.epoch = m_epoch;
        m_pendingWrite = pending_write{ .record = std::move(record), .backoff = m_options.initialStoreBackoff };
        sendWrite();
        return true;
    }
    return false;
}

void run_owner::sendWrite()
{
    m_pendingWrite->attempt = m_nextWriteAttempt++;
    m_pendingWrite->isBackingOff = false;
    if (m_pendingWrite->isReadingBack) {
        m_actions.emplace_back(run_action::read_seal{ m_pendingWrite->record.step, m_pendingWrite->record.number, m_pendingWrite->attempt });
    } else {
        ++m_counts.sealWrites;
        m_actions.emplace_back(run_action::write_seal{ m_pendingWrite->record, m_pendingWrite->attempt });
    }
}

void run_owner::scheduleWriteRetry()
{
    m_pendingWrite->isBackingOff = true;
    m_pendingWrite->retryAt = m_now + m_pendingWrite->backoff;
    m_pendingWrite->backoff = std::min(2 * m_pendingWrite->backoff, m_options.maximumStoreBackoff);
}

void run_owner::handle(const run_event::seal_write_ended &event)
{
    if (!m_pendingWrite || event.attempt != m_pendingWrite->attempt || m_pendingWrite->isBackingOff) {
        return;
    }
    switch (event.outcome) {
    case seal_outcome::Written:
        completeWrite();
        break;
    case seal_outcome::Fenced:
        stepDown();
        break;
    case seal_outcome::Unknown:
        m_pendingWrite->isReadingBack = true;
        sendWrite();
        break;
    case seal_outcome::NotWritten:
        scheduleWriteRetry();
        break;
    }
}

void run_owner::handle(const run_event::seal_read_ended &event)
{
    if (!m_pendingWrite || event.attempt != m_pendingWrite->attempt || m_pendingWrite->isBackingOff) {
        return;
    }
    if (!event.isAnswered) {
        scheduleWriteRetry();
    } else if (event.isFound && event.record == m_pendingWrite->record) {
        completeWrite();
    } else if (!event.isOwner) {
        stepDown();
    } else {
        REEDTRAIL_CHECK(!event.isFound || event.record.revision < m_pendingWrite->record.revision, "no other owner writes records under this epoch");
        m_pendingWrite->isReadingBack = false;
        sendWrite();
    }
}

void run_owner::completeWrite()
{
    const seal_record record = std::move(m_pendingWrite->record);
    m_pendingWrite.reset();
    for (const sealed_sample &sample : record.samples) {
        slot_entry *entry = m_stepTable.find(sample.slot);
        REEDTRAIL_CHECK(entry != nullptr && entry->phase == slot_phase::Sealing && entry->sample.draft == sample.draft,
                        "each slot of the written record is being sealed with the draft in the record");
        if (entry != nullptr) {
            m_stepTable.setPhase(*entry, slot_phase::Sealed);
            entry->batch = record.number;
            entry->isReplacement = false;
        }
    }
    if (record.revision == 0) {
        REEDTRAIL_CHECK(record.number == m_lastBatchNumber + 1, "batch numbers are consecutive");
        m_counts.sealed += record.samples.size();
        m_lastBatchNumber = record.number;
        m_nextStepToSeal = record.isStepComplete ? record.step + 1 : record.step;
    }
    m_batchesToAmend.erase(record.number);
    logDecision(decision_kind::Sealed,
                subject_kind::Run,
                m_run.str(),
                error_kind::None,
                "batch " + std::to_string(record.number) + " step " + std::to_string(record.step) + " samples " + std::to_string(record.samples.size()));
    m_batches[record.number] = record;
    advanceTrainerStep(m_highestRequested);
}

void run_owner::stepDown()
{
    m_pendingWrite.reset();
    m_actions.emplace_back(run_action::step_down{ m_epoch });
    handle(run_event::ownership_lost{});
}

void run_owner::handle(const run_event::payload_lost &event)
{
    slot_entry *entry = m_stepTable.find(event.slot);
    if (!isOwner() || entry == nullptr || entry->sample.draft != event.draft) {
        return;
    }
    if (entry->phase == slot_phase::Ready) {
        dropDraft(*entry, error_kind::NotFound, false);
        return;
    }
    if (isUnacknowledged(*entry)) {
        requestReplacement(*entry, entry->batch, error_kind::NotFound);
    }
}

/** Starts the timeout of unreachable spools that hold samples of the batches in the store. */
void run_owner::recordUnreachableSpools()
{
    for (const auto &[number, record] : m_batches) {
        for (const sealed_sample &sample : record.samples) {
            if (m_reachableSpools && !m_reachableSpools->contains(sample.spoolNode)) {
                m_spoolUnreachableSince.try_emplace(sample.spoolNode, m_now);
            }
        }
    }
}

/** Reopens the slots of ready samples and of unacknowledged sealed samples whose spool was unreachable for spoolTimeout. */
void run_owner::discardUnreachableSamples()
{
    std::set<node_id> unreachable;
    for (const auto &[node, unreachableSince] : m_spoolUnreachableSince) {
        if (m_now - unreachableSince >= m_options.spoolTimeout) {
            unreachable.insert(node);
        }
    }
    if (unreachable.empty() || !maySeal()) {
        return;
    }
    for (auto &[step, slots] : m_stepTable.steps()) {
        for (slot_entry &entry : slots.entries) {
            const bool hasSample = entry.phase == slot_phase::Ready || entry.phase == slot_phase::Sealed;
            if (!hasSample || entry.isReplacement || !unreachable.contains(entry.sample.spoolNode)) {
                continue;
            }
            if (entry.phase == slot_phase::Ready) {
                dropDraft(entry, error_kind::PeerUnreachable, false);
            } else if (isUnacknowledged(entry)) {
                requestReplacement(entry, entry.batch, error_kind::PeerUnreachable);
            }
        }
    }
}

void run_owner::requestReplacement(slot_entry &entry, std::uint64_t number, error_kind cause)
{
    logDecision(decision_kind::Dropped,
                subject_kind::Slot,
                m_run.str() + "/" + std::to_string(entry.slot.step) + "/" + std::to_string(entry.slot.group) + "/" + std::to_string(entry.slot.index),
                cause,
                "sealed in batch " + std::to_string(number) + ", not delivered; drawn anew");
    m_batchesToAmend.insert(number);
    entry.isReplacement = true;
    entry.retryAt = m_now;
    m_stepTable.setPhase(entry, slot_phase::Open);
    ++m_counts.regenerated;
}

void run_owner::handle(const run_event::pull_requested &event)
{
    const pull_question &question = event.question;
    if (!isOwner() || !m_settings) {
        answerWithoutSamples(event.token, question.number, error_kind::NotOwner);
        return;
    }
    if (question.number == 0 || question.have >= question.number) {
        answerWithoutSamples(event.token, question.number, error_kind::BadRequest);
        return;
    }
    acknowledge(question.have);
    m_highestRequested = std::max(m_highestRequested, std::min(question.number, m_lastBatchNumber + 1));
    advanceTrainerStep(m_highestRequested);
    if (question.number <= m_lastBatchNumber && !m_batches.contains(question.number)) {
        answerWithoutSamples(event.token, question.number, error_kind::NotFound);
        return;
    }
    if (m_waitingPulls.size() >= m_options.maximumWaitingPulls) {
        answerWithoutSamples(m_waitingPulls.front().token, m_waitingPulls.front().number, error_kind::None);
        m_waitingPulls.pop_front();
    }
    m_waitingPulls.push_back({ event.token, question.number, m_now + std::chrono::milliseconds(std::max<std::int64_t>(0, question.waitMs)) });
}

void run_owner::handle(const run_event::pull_abandoned &event)
{
    std::erase_if(m_waitingPulls, [&event](const waiting_pull &pull) {
        return pull.token == event.token;
    });
}

void run_owner::answerPulls()
{
    std::erase_if(m_waitingPulls, [this](const waiting_pull &pull) {
        return tryAnswer(pull);
    });
}

bool run_owner::tryAnswer(const waiting_pull &pull)
{
    const auto found = m_batches.find(pull.number);
    if (found != m_batches.end() && !m_batchesToAmend.contains(pull.number) && checkStaleness(found->second)) {
        answerPull(pull.token, found->second);
        return true;
    }
    if (m_stateMachine.phase() == run_phase::Closed && found == m_batches.end()) {
        answerWithoutSamples(pull.token, pull.number, error_kind::NotFound);
        return true;
    }
    if (m_now >= pull.until) {
        answerWithoutSamples(pull.token, pull.number, error_kind::None);
        return true;
    }
    return false;
}

bool run_owner::checkStaleness(const seal_record &record)
{
    bool isFresh = true;
    for (const sealed_sample &sample : record.samples) {
        if (stepsBehind(record.step, oldestVersion(sample.versions)) <= static_cast<std::uint64_t>(m_settings->stalenessBound)) {
            continue;
        }
        isFresh = false; // The staleness bound was lowered after the sample was sealed.
        slot_entry *entry = m_stepTable.find(sample.slot);
        if (entry != nullptr && isUnacknowledged(*entry)) {
            requestReplacement(*entry, record.number, error_kind::Stale);
        }
    }
    return isFresh;
}

void run_owner::answerPull(pull_token token, const seal_record &record)
{
    pull_answer answer;
    answer.error = answerFor(error_kind::None).name;
    answer.number = record.number;
    answer.step = record.step;
    answer.samples = record.samples;
    answer.isStepComplete = record.isStepComplete;
    logDecision(decision_kind::Delivered, subject_kind::Run, m_run.str(), error_kind::None, "batch " + std::to_string(record.number));
    m_actions.emplace_back(run_action::answer_pull{ token, std::move(answer) });
}

void run_owner::answerWithoutSamples(pull_token token, std::uint64_t number, error_kind kind)
{
    pull_answer answer;
    answer.error = answerFor(kind).name;
    answer.number = number;
    answer.step = m_trainerStep;
    m_actions.emplace_back(run_action::answer_pull{ token, std::move(answer) });
}

void run_owner::acknowledge(std::uint64_t have)
{
    if (have <= m_acknowledgedBatch || have > m_lastBatchNumber) {
        return; // A number beyond the batches known here means that this owner was paused and another took over.
    }
    m_acknowledgedBatch = have;
    releaseAcknowledged();
}

void run_owner::releaseAcknowledged()
{
    std::uint64_t firstKeptStep = m_releasedBeforeStep;
    for (const auto &[number, record] : m_batches) {
        if (number <= m_acknowledgedBatch && record.isStepComplete) {
            firstKeptStep = std::max(firstKeptStep, record.step + 1);
        }
    }
    if (firstKeptStep == m_releasedBeforeStep) {
        return;
    }
    m_releasedBeforeStep = firstKeptStep;
    m_actions.emplace_back(run_action::release{ { m_run, firstKeptStep } });
    run_action::remove_seals removal{ m_epoch, {} };
    while (!m_batches.empty() && m_batches.begin()->second.step < firstKeptStep && m_batches.begin()->first < m_lastBatchNumber) {
        const seal_record &record = m_batches.begin()->second;
        removal.batches.push_back({ record.step, record.number });
        m_batchesToAmend.erase(record.number);
        m_batches.erase(m_batches.begin());
        if (removal.batches.size() == m_options.recordsPerRemoval) {
            m_actions.emplace_back(std::exchange(removal, { m_epoch, {} }));
        }
    }
    if (!removal.batches.empty()) {
        m_actions.emplace_back(std::move(removal));
    }
    discardStepsBefore(std::min(firstKeptStep, m_batches.empty() ? firstKeptStep : m_batches.begin()->second.step));
}

void run_owner::advanceTrainerStep(std::uint64_t requestedNumber)
{
    for (const auto &[number, record] : m_batches) {
        const std::uint64_t step = number < requestedNumber && record.isStepComplete ? record.step + 1 : record.step;
        if (number <= requestedNumber && step > m_trainerStep) {
            m_trainerStep = step;
        }
    }
    m_leadPlanner.onStepStarted(m_now, m_trainerStep);
}

} // namespace reedtrail
