// Sealing in batches, and delivery. One write is under way at a time; its record does not change until the store has said what became of it.

#include "base/check.h"
#include "sampling/run_owner.h"
#include "sampling/sample_check.h"

#include <algorithm>

namespace reedtrail {
namespace {

/** Weight above which a step is sealed before its trainer asks for it. */
constexpr double sealAheadWeight = 0.5;

} // namespace

void run_owner::sealWhatIsReady()
{
    if (m_write || !maySeal() || startAmendment()) {
        return;
    }
    const std::uint64_t ahead = m_settings->idleTimeWeight >= sealAheadWeight ? 1 : 0;
    step_slots *slots = m_book.findStep(m_nextStepToSeal);
    if (slots != nullptr && m_nextStepToSeal <= m_trainerStep + ahead && isSealDue(*slots)) {
        startSeal(*slots);
    }
}

bool run_owner::isSealDue(const step_slots &slots) const
{
    const std::size_t ready = slots.count(slot_phase::Ready);
    if (ready == 0) {
        return false;
    }
    const bool isWhole = slots.count(slot_phase::Open) + slots.count(slot_phase::Drafting) == 0;
    return isWhole || ready >= m_options.maximumBatch || m_now >= m_lastSealAt + m_options.sealInterval;
}

void run_owner::startSeal(step_slots &slots)
{
    seal_record record;
    record.number = m_lastFixed + 1;
    record.step = slots.step;
    record.epoch = m_epoch;
    record.acknowledged = m_acknowledged;
    record.groups = slots.shape.groups;
    record.groupSize = slots.shape.groupSize;
    std::size_t left = 0;
    for (slot_entry &entry : slots.entries) {
        if (entry.isReplacement || entry.phase == slot_phase::Sealed) {
            continue; // In a record already.
        }
        if (entry.phase != slot_phase::Ready || record.samples.size() == m_options.maximumBatch) {
            ++left;
            continue;
        }
        if (stepsBehind(slots.step, oldestVersion(entry.sample.versions)) > static_cast<std::uint64_t>(m_settings->stalenessBound)) {
            dropDraft(entry, error_kind::Stale, false); // The bound was lowered since it was drafted.
            ++left;
            continue;
        }
        record.samples.push_back(entry.sample);
        m_book.setPhase(entry, slot_phase::Sealing);
    }
    if (record.samples.empty()) {
        return;
    }
    record.isStepComplete = left == 0;
    m_lastSealAt = m_now;
    m_write = pending_write{ .record = std::move(record), .backoff = m_options.storeRetryFirst };
    sendWrite();
}

bool run_owner::isUndelivered(const slot_entry &entry) const
{
    return entry.phase == slot_phase::Sealed && entry.batch > m_acknowledged && m_fixed.contains(entry.batch);
}

bool run_owner::startAmendment()
{
    for (const std::uint64_t number : m_broken) {
        seal_record record = m_fixed.at(number);
        bool isWhole = true;
        for (sealed_sample &sample : record.samples) {
            const slot_entry *entry = m_book.find(sample.slot);
            if (entry->isReplacement) {
                isWhole = isWhole && entry->phase == slot_phase::Ready;
                sample = entry->sample;
            }
        }
        if (!isWhole) {
            continue;
        }
        for (const sealed_sample &sample : record.samples) {
            m_book.setPhase(*m_book.find(sample.slot), slot_phase::Sealing);
        }
        ++record.revision;
        record.epoch = m_epoch;
        m_write = pending_write{ .record = std::move(record), .backoff = m_options.storeRetryFirst };
        sendWrite();
        return true;
    }
    return false;
}

void run_owner::sendWrite()
{
    m_write->attempt = m_nextAttempt++;
    m_write->isWaiting = false;
    if (m_write->isReading) {
        m_actions.emplace_back(run_action::read_seal{ m_write->record.step, m_write->record.number, m_write->attempt });
    } else {
        ++m_counts.sealWrites;
        m_actions.emplace_back(run_action::write_seal{ m_write->record, m_write->attempt });
    }
}

void run_owner::retryWriteLater()
{
    m_write->isWaiting = true;
    m_write->retryAt = m_now + m_write->backoff;
    m_write->backoff = std::min(2 * m_write->backoff, m_options.storeRetryLongest);
}

void run_owner::handle(const run_event::seal_write_ended &event)
{
    if (!m_write || event.attempt != m_write->attempt || m_write->isWaiting) {
        return;
    }
    switch (event.outcome) {
    case seal_outcome::Written:
        completeWrite();
        break;
    case seal_outcome::Fenced:
        abandonWrite();
        break;
    case seal_outcome::Unknown:
        m_write->isReading = true;
        sendWrite();
        break;
    case seal_outcome::NotWritten:
        retryWriteLater();
        break;
    }
}

void run_owner::handle(const run_event::seal_read_ended &event)
{
    if (!m_write || event.attempt != m_write->attempt || m_write->isWaiting) {
        return;
    }
    if (!event.isAnswered) {
        retryWriteLater();
    } else if (event.isFound && event.record == m_write->record) {
        completeWrite();
    } else if (!event.isOwner) {
        abandonWrite();
    } else {
        REEDTRAIL_CHECK(!event.isFound || event.record.revision < m_write->record.revision, "nobody else writes a record under this epoch");
        m_write->isReading = false;
        sendWrite();
    }
}

void run_owner::completeWrite()
{
    const seal_record record = std::move(m_write->record);
    m_write.reset();
    for (const sealed_sample &sample : record.samples) {
        slot_entry *entry = m_book.find(sample.slot);
        REEDTRAIL_CHECK(entry != nullptr && entry->phase == slot_phase::Sealing && entry->sample.draft == sample.draft,
                        "a slot is sealed once, with the draft written");
        if (entry != nullptr) {
            m_book.setPhase(*entry, slot_phase::Sealed);
            entry->batch = record.number;
            entry->isReplacement = false;
        }
    }
    if (record.revision == 0) {
        REEDTRAIL_CHECK(record.number == m_lastFixed + 1, "batches are numbered without gap");
        m_counts.sealed += record.samples.size();
        m_lastFixed = record.number;
        m_nextStepToSeal = record.isStepComplete ? record.step + 1 : record.step;
    }
    m_broken.erase(record.number);
    note(decision_kind::Sealed,
         subject_kind::Run,
         m_run.str(),
         error_kind::None,
         "batch " + std::to_string(record.number) + " step " + std::to_string(record.step) + " samples " + std::to_string(record.samples.size()));
    m_fixed[record.number] = record;
    advanceTrainer(m_asked);
}

void run_owner::abandonWrite()
{
    m_write.reset();
    m_actions.emplace_back(run_action::stand_down{ m_epoch });
    handle(run_event::ownership_lost{});
}

void run_owner::handle(const run_event::payload_lost &event)
{
    slot_entry *entry = m_book.find(event.slot);
    if (!isOwner() || entry == nullptr || entry->sample.draft != event.draft) {
        return;
    }
    if (entry->phase == slot_phase::Ready) {
        dropDraft(*entry, error_kind::NotFound, false);
        return;
    }
    if (isUndelivered(*entry)) {
        loseSample(*entry, entry->batch, error_kind::NotFound);
    }
}

/** Notes the spools that hold samples of the batches just read and cannot be reached; the patience with them starts now. */
void run_owner::noteLostSpools()
{
    for (const auto &[number, record] : m_fixed) {
        for (const sealed_sample &sample : record.samples) {
            if (m_spools && !m_spools->contains(sample.spoolNode)) {
                m_spoolGoneAt.try_emplace(sample.spoolNode, m_now);
            }
        }
    }
}

/** Draws anew what lies in spools that have been out of reach for long: ready samples, and sealed ones that the trainer does not hold. */
void run_owner::loseUnreachable()
{
    std::set<node_id> lost;
    for (const auto &[node, goneAt] : m_spoolGoneAt) {
        if (m_now - goneAt >= m_options.spoolPatience) {
            lost.insert(node);
        }
    }
    if (lost.empty() || !maySeal()) {
        return;
    }
    for (auto &[step, slots] : m_book.steps()) {
        for (slot_entry &entry : slots.entries) {
            const bool isKept = entry.phase == slot_phase::Ready || entry.phase == slot_phase::Sealed;
            if (!isKept || entry.isReplacement || !lost.contains(entry.sample.spoolNode)) {
                continue;
            }
            if (entry.phase == slot_phase::Ready) {
                dropDraft(entry, error_kind::PeerUnreachable, false);
            } else if (isUndelivered(entry)) {
                loseSample(entry, entry.batch, error_kind::PeerUnreachable);
            }
        }
    }
}

void run_owner::loseSample(slot_entry &entry, std::uint64_t number, error_kind cause)
{
    note(decision_kind::Dropped,
         subject_kind::Slot,
         m_run.str() + "/" + std::to_string(entry.slot.step) + "/" + std::to_string(entry.slot.group) + "/" + std::to_string(entry.slot.index),
         cause,
         "sealed in batch " + std::to_string(number) + ", not delivered; drawn anew");
    m_broken.insert(number);
    entry.isReplacement = true;
    entry.retryAt = m_now;
    m_book.setPhase(entry, slot_phase::Open);
    ++m_counts.regenerated;
}

void run_owner::handle(const run_event::pull_asked &event)
{
    const pull_question &question = event.question;
    if (!isOwner() || !m_settings) {
        answerEmpty(event.token, question.number, error_kind::NotOwner);
        return;
    }
    if (question.number == 0 || question.have >= question.number) {
        answerEmpty(event.token, question.number, error_kind::BadRequest);
        return;
    }
    acknowledge(question.have);
    m_asked = std::max(m_asked, std::min(question.number, m_lastFixed + 1));
    advanceTrainer(m_asked);
    if (question.number <= m_lastFixed && !m_fixed.contains(question.number)) {
        answerEmpty(event.token, question.number, error_kind::NotFound);
        return;
    }
    if (m_pulls.size() >= m_options.maximumWaitingPulls) {
        answerEmpty(m_pulls.front().token, m_pulls.front().number, error_kind::None);
        m_pulls.pop_front();
    }
    m_pulls.push_back({ event.token, question.number, m_now + std::chrono::milliseconds(std::max<std::int64_t>(0, question.waitMs)) });
}

void run_owner::handle(const run_event::pull_gone &event)
{
    std::erase_if(m_pulls, [&event](const waiting_pull &pull) {
        return pull.token == event.token;
    });
}

void run_owner::answerPulls()
{
    std::erase_if(m_pulls, [this](const waiting_pull &pull) {
        return tryAnswer(pull);
    });
}

bool run_owner::tryAnswer(const waiting_pull &pull)
{
    const auto found = m_fixed.find(pull.number);
    if (found != m_fixed.end() && !m_broken.contains(pull.number) && isFreshEnough(found->second)) {
        answerPull(pull.token, found->second);
        return true;
    }
    if (m_machine.phase() == run_phase::Closed && found == m_fixed.end()) {
        answerEmpty(pull.token, pull.number, error_kind::NotFound);
        return true;
    }
    if (m_now >= pull.until) {
        answerEmpty(pull.token, pull.number, error_kind::None);
        return true;
    }
    return false;
}

bool run_owner::isFreshEnough(const seal_record &record)
{
    bool isFresh = true;
    for (const sealed_sample &sample : record.samples) {
        if (stepsBehind(record.step, oldestVersion(sample.versions)) <= static_cast<std::uint64_t>(m_settings->stalenessBound)) {
            continue;
        }
        isFresh = false; // The operators lowered the bound after it was sealed.
        slot_entry *entry = m_book.find(sample.slot);
        if (entry != nullptr && isUndelivered(*entry)) {
            loseSample(*entry, record.number, error_kind::Stale);
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
    note(decision_kind::Delivered, subject_kind::Run, m_run.str(), error_kind::None, "batch " + std::to_string(record.number));
    m_actions.emplace_back(run_action::answer_pull{ token, std::move(answer) });
}

void run_owner::answerEmpty(pull_token token, std::uint64_t number, error_kind kind)
{
    pull_answer answer;
    answer.error = answerFor(kind).name;
    answer.number = number;
    answer.step = m_trainerStep;
    m_actions.emplace_back(run_action::answer_pull{ token, std::move(answer) });
}

void run_owner::acknowledge(std::uint64_t have)
{
    if (have <= m_acknowledged || have > m_lastFixed) {
        return; // More than was ever fixed here: this owner has been paused, and another goes on.
    }
    m_acknowledged = have;
    releaseAcknowledged();
}

void run_owner::releaseAcknowledged()
{
    std::uint64_t before = m_releasedBefore;
    for (const auto &[number, record] : m_fixed) {
        if (number <= m_acknowledged && record.isStepComplete) {
            before = std::max(before, record.step + 1);
        }
    }
    if (before == m_releasedBefore) {
        return;
    }
    m_releasedBefore = before;
    m_actions.emplace_back(run_action::release{ { m_run, before } });
    run_action::remove_seals removal{ m_epoch, {} };
    while (!m_fixed.empty() && m_fixed.begin()->second.step < before && m_fixed.begin()->first < m_lastFixed) {
        const seal_record &record = m_fixed.begin()->second;
        removal.batches.push_back({ record.step, record.number });
        m_broken.erase(record.number);
        m_fixed.erase(m_fixed.begin());
        if (removal.batches.size() == m_options.recordsPerRemoval) {
            m_actions.emplace_back(std::exchange(removal, { m_epoch, {} }));
        }
    }
    if (!removal.batches.empty()) {
        m_actions.emplace_back(std::move(removal));
    }
    forgetStepsBefore(std::min(before, m_fixed.empty() ? before : m_fixed.begin()->second.step));
}

void run_owner::advanceTrainer(std::uint64_t askedNumber)
{
    for (const auto &[number, record] : m_fixed) {
        const std::uint64_t step = number < askedNumber && record.isStepComplete ? record.step + 1 : record.step;
        if (number <= askedNumber && step > m_trainerStep) {
            m_trainerStep = step;
        }
    }
    m_objective.onStepStarted(m_now, m_trainerStep);
}

} // namespace reedtrail
