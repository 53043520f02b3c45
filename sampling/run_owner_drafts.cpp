// Ordering of drafts: which slot is drafted on which gate, and how progress, results and failures are handled.
//
// Each slot has at most one draft in progress. Hedging a straggler with a duplicate and taking the first to finish would bias the samples towards short
// answers. A straggler is therefore continued on another server from the tokens it has, and is cancelled and drafted again only if it still makes no progress.
// For the same reason a redraw for newer weights applies to all slots of a step, finished or not, and happens only while none of them is sealed.

#include "base/check.h"
#include "sampling/run_owner.h"
#include "sampling/sample_check.h"

#include <algorithm>

namespace reedtrail {
namespace {

/** Maximum time that drafting waits for a published version to be served, if staleness outweighs idle time. */
constexpr duration maximumVersionWait = std::chrono::seconds(15);

/** Idle time weight from which trainer idle time counts at least as much as staleness. */
constexpr double balancedWeight = 0.5;

duration backoffDelay(std::uint32_t failures, duration initial, duration maximum)
{
    const std::uint32_t doublings = std::min<std::uint32_t>(failures, 10);
    return std::min(maximum, initial * (1 << doublings));
}

std::string slotName(const slot_id &slot)
{
    return slot.run.str() + "/" + std::to_string(slot.step) + "/" + std::to_string(slot.group) + "/" + std::to_string(slot.index);
}

} // namespace

bool run_owner::isGateKnown(const node_id &node) const
{
    return std::ranges::any_of(m_gates, [&node](const draft_gate &gate) {
        return gate.node == node;
    });
}

draft_gate *run_owner::leastLoadedGate()
{
    draft_gate *best = nullptr;
    double bestLoad = 1;
    for (draft_gate &gate : m_gates) {
        if (gate.capacity == 0) {
            continue;
        }
        const double load = static_cast<double>(m_activeDraftsByGate[gate.node]) / static_cast<double>(gate.capacity);
        if (load < bestLoad) {
            best = &gate;
            bestLoad = load;
        }
    }
    return best;
}

bool run_owner::mayDraft(std::uint64_t step) const
{
    const auto bound = static_cast<std::uint64_t>(m_settings->stalenessBound);
    if (m_servedVersion != 0 && stepsBehind(step, m_servedVersion) > bound) {
        return false; // The draft would exceed the staleness bound and could not be sealed.
    }
    if (!m_options.usesLeadPlanner) {
        return true;
    }
    const bool isVersionComing = m_servedVersion != 0 && m_servedVersion < m_publishedVersion && m_servedVersion < step;
    const time_point needed = m_leadPlanner.expectedNeedTime(step, m_now);
    if (isVersionComing && m_settings->idleTimeWeight < balancedWeight && m_now < m_publishedAt + maximumVersionWait) {
        return false;
    }
    return step <= m_nextStepToSeal || m_now >= needed - m_leadPlanner.lead(m_settings->idleTimeWeight);
}

void run_owner::orderDrafts()
{
    if (m_stateMachine.phase() != run_phase::Open || m_now < m_ordersNotBefore || m_gates.empty()) {
        return;
    }
    const std::uint64_t firstStep = m_batches.empty() ? m_nextStepToSeal : std::min(m_nextStepToSeal, m_batches.begin()->second.step);
    const std::uint64_t lastStep = m_nextStepToSeal + static_cast<std::uint64_t>(std::max<std::int64_t>(1, m_settings->stalenessBound));
    for (std::uint64_t step = firstStep; step <= lastStep; ++step) {
        if (step >= m_nextStepToSeal) {
            if (!mayDraft(step)) {
                return;
            }
            m_stepTable.findOrAddStep(step, shape());
        }
        step_slots *slots = m_stepTable.findStep(step);
        if (slots == nullptr || slots->count(slot_phase::Open) == 0) {
            continue;
        }
        for (slot_entry &entry : slots->entries) {
            if (entry.phase != slot_phase::Open || entry.retryAt > m_now || !needsDraft(entry)) {
                continue;
            }
            draft_gate *gate = leastLoadedGate();
            if (gate == nullptr) {
                return;
            }
            orderDraft(entry, *gate);
            slots->firstOrderAt = std::min(slots->firstOrderAt, m_now);
        }
    }
}

void run_owner::orderDraft(slot_entry &entry, draft_gate &gate)
{
    const auto bound = static_cast<std::uint64_t>(m_settings->stalenessBound);
    draft_order order;
    order.slot = entry.slot;
    order.draft = m_nextDraftId++;
    order.epoch = m_epoch;
    order.customer = m_settings->customer;
    order.pool = m_settings->pool;
    order.scorerPool = m_settings->scorerPool;
    const std::uint64_t groupNumber = (entry.slot.step - 1) * static_cast<std::uint64_t>(m_settings->groups) + entry.slot.group;
    order.prompt = m_settings->prompts.empty() ? "" : m_settings->prompts[groupNumber % m_settings->prompts.size()];
    order.maximumTokens = static_cast<std::uint64_t>(m_settings->maximumTokens);
    order.minimumVersion = entry.slot.step > bound ? entry.slot.step - bound : 0;
    order.deadlineMs = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings->stepDeadline).count();
    entry.attempt = {
        .draft = order.draft, .gate = gate.node, .orderedAt = m_now, .progressAt = m_now, .newestVersionAtOrder = m_servedVersion, .reportedAt = m_now
    };
    m_stepTable.setPhase(entry, slot_phase::Drafting);
    m_slotOfDraft[order.draft] = entry.slot;
    ++m_activeDraftsByGate[gate.node];
    ++m_counts.ordered;
    m_actions.emplace_back(run_action::order_draft{ gate.node, std::move(order) });
}

/**
 * Tells whether an open slot needs a draft. The slots of a completely sealed step are open here if their batch was acknowledged and deleted before this owner
 * read the records; they need a draft only as a replacement.
 */
bool run_owner::needsDraft(const slot_entry &entry) const
{
    return entry.slot.step >= m_nextStepToSeal || entry.isReplacement;
}

void run_owner::discardStepsBefore(std::uint64_t step)
{
    for (auto &[number, slots] : m_stepTable.steps()) {
        if (number >= step) {
            break;
        }
        for (slot_entry &entry : slots.entries) {
            if (entry.phase == slot_phase::Drafting) {
                m_actions.emplace_back(run_action::cancel_draft{ entry.attempt.gate, entry.attempt.draft });
                endAttempt(entry);
            }
        }
    }
    m_stepTable.eraseStepsBefore(step);
}

void run_owner::endAttempt(slot_entry &entry)
{
    if (entry.phase != slot_phase::Drafting) {
        return;
    }
    m_slotOfDraft.erase(entry.attempt.draft);
    std::uint64_t &active = m_activeDraftsByGate[entry.attempt.gate];
    REEDTRAIL_CHECK(active > 0, "each draft in progress is counted at its gate");
    active -= active > 0 ? 1 : 0;
}

void run_owner::dropDraft(slot_entry &entry, error_kind cause, bool countsAsFailure)
{
    logDecision(decision_kind::Dropped,
                subject_kind::Slot,
                slotName(entry.slot),
                cause,
                "draft " + std::to_string(entry.attempt.draft) + " at " + entry.attempt.gate.str());
    endAttempt(entry);
    m_stepTable.setPhase(entry, slot_phase::Open);
    ++m_counts.dropped;
    if (countsAsFailure) {
        entry.retryAt = m_now + backoffDelay(entry.failures, m_options.initialDraftBackoff, m_options.maximumDraftBackoff);
        ++entry.failures;
    }
}

void run_owner::handle(const run_event::draft_ended &event)
{
    const draft_result &result = event.result;
    slot_entry *entry = m_stepTable.find(result.slot);
    if (!isOwner() || !m_settings || entry == nullptr) {
        return;
    }
    const bool isExpected = entry->phase == slot_phase::Drafting && entry->attempt.draft == result.draft;
    const bool isOfEarlierOwner = entry->phase == slot_phase::Open && result.epoch < m_epoch && needsDraft(*entry);
    if (!isExpected && !isOfEarlierOwner) {
        return; // A duplicate result, a result of a cancelled draft, or the slot has another draft by now.
    }
    const error_kind verdict = validateDraft(result, static_cast<std::uint64_t>(m_settings->stalenessBound));
    if (verdict != error_kind::None) {
        dropDraft(*entry, verdict, true);
        return;
    }
    endAttempt(*entry);
    entry->failures = 0;
    entry->sample = { result.slot, result.draft, result.versions, result.tokens, result.score, result.spoolNode, result.payloadKey };
    m_stepTable.setPhase(*entry, slot_phase::Ready);
    if (m_reachableSpools && !m_reachableSpools->contains(result.spoolNode)) {
        m_spoolUnreachableSince.try_emplace(result.spoolNode, m_now);
    }
    step_slots *slots = m_stepTable.findStep(result.slot.step);
    if (!slots->isDraftTimeReported && slots->count(slot_phase::Open) + slots->count(slot_phase::Drafting) == 0 && slots->firstOrderAt != timeNever) {
        slots->isDraftTimeReported = true;
        m_leadPlanner.onStepDrafted(m_now - slots->firstOrderAt);
    }
}

void run_owner::handle(const run_event::gate_reported &event)
{
    if (!isOwner()) {
        return;
    }
    m_reportingGates.insert(event.gate);
    for (const draft_progress_item &item : event.drafts) {
        const auto known = m_slotOfDraft.find(item.draft);
        if (known == m_slotOfDraft.end()) {
            adoptAttempt(event.gate, item);
            continue;
        }
        slot_entry *entry = m_stepTable.find(known->second);
        if (entry != nullptr) {
            recordProgress(*entry, item);
        }
    }
}

void run_owner::adoptAttempt(const node_id &gate, const draft_progress_item &item)
{
    const bool isOfEarlierOwner = (item.draft >> 24U) < m_epoch; // The upper bits of a draft ID hold the epoch of the owner that ordered it.
    if (m_settings && item.slot.step == m_nextStepToSeal) {
        m_stepTable.findOrAddStep(item.slot.step, shape());
    }
    slot_entry *entry = m_stepTable.find(item.slot);
    if (entry == nullptr || entry->phase != slot_phase::Open || !isOfEarlierOwner || !needsDraft(*entry) || m_stateMachine.phase() != run_phase::Open) {
        m_actions.emplace_back(run_action::cancel_draft{ gate, item.draft });
        return;
    }
    entry->attempt = {
        .draft = item.draft, .gate = gate, .orderedAt = m_now, .progressAt = m_now, .newestVersionAtOrder = 0, .reportedAt = m_now, .tokens = item.tokens
    };
    m_stepTable.setPhase(*entry, slot_phase::Drafting);
    m_slotOfDraft[item.draft] = item.slot;
    ++m_activeDraftsByGate[gate];
}

void run_owner::recordProgress(slot_entry &entry, const draft_progress_item &item)
{
    draft_attempt &attempt = entry.attempt;
    attempt.reportedAt = m_now;
    if (item.tokens <= attempt.tokens) {
        return;
    }
    if (attempt.tokens > 0) {
        m_stragglers.onProgress(m_now - attempt.progressAt);
    }
    attempt.tokens = item.tokens;
    attempt.progressAt = m_now;
    attempt.isMoved = false;
}

void run_owner::checkDraftProgress()
{
    for (auto &[step, slots] : m_stepTable.steps()) {
        if (slots.count(slot_phase::Drafting) == 0) {
            continue;
        }
        for (slot_entry &entry : slots.entries) {
            if (entry.phase != slot_phase::Drafting) {
                continue;
            }
            draft_attempt &attempt = entry.attempt;
            const bool isReporting = m_reportingGates.contains(attempt.gate);
            const bool isExpired = m_settings && m_now - attempt.orderedAt > m_settings->stepDeadline;
            if (isExpired || (isReporting && m_now - attempt.reportedAt > m_options.reportTimeout)) {
                dropDraft(entry, error_kind::PeerUnreachable, false);
                continue;
            }
            const straggler_action verdict = m_stragglers.evaluate(attempt, m_now);
            if (verdict == straggler_action::Move) {
                attempt.isMoved = true;
                ++m_counts.moved;
                logDecision(decision_kind::Moved,
                            subject_kind::Slot,
                            slotName(entry.slot),
                            error_kind::ServerSilent,
                            "at " + std::to_string(attempt.tokens) + " tokens");
                m_actions.emplace_back(run_action::move_draft{ attempt.gate, attempt.draft });
            } else if (verdict == straggler_action::GiveUp) {
                ++m_counts.givenUp;
                m_actions.emplace_back(run_action::cancel_draft{ attempt.gate, attempt.draft });
                dropDraft(entry, error_kind::ServerSilent, false);
            }
        }
    }
}

bool run_owner::isRedrawWorthwhile(const step_slots &slots) const
{
    const bool isUntouched = slots.count(slot_phase::Sealed) + slots.count(slot_phase::Sealing) == 0;
    const bool isTimely = m_waitingPulls.empty() && m_leadPlanner.expectedNeedTime(slots.step, m_now) - m_now > 2 * m_leadPlanner.draftTime();
    return isUntouched && isTimely && m_leadPlanner.draftTime() > duration::zero();
}

void run_owner::redrawOutdatedDrafts()
{
    if (m_settings->idleTimeWeight >= balancedWeight || m_stateMachine.phase() != run_phase::Open || m_servedVersion <= m_redrawnForVersion) {
        return;
    }
    m_redrawnForVersion = m_servedVersion;
    for (auto &[step, slots] : m_stepTable.steps()) {
        if (step < m_nextStepToSeal || !isRedrawWorthwhile(slots)) {
            continue;
        }
        for (slot_entry &entry : slots.entries) {
            const bool isOutdatedDraft = entry.phase == slot_phase::Drafting && entry.attempt.newestVersionAtOrder < m_servedVersion;
            const bool isOutdatedSample = entry.phase == slot_phase::Ready && oldestVersion(entry.sample.versions) < std::min(m_servedVersion, step);
            if (isOutdatedDraft) {
                m_actions.emplace_back(run_action::cancel_draft{ entry.attempt.gate, entry.attempt.draft });
            }
            if (isOutdatedDraft || isOutdatedSample) {
                ++m_counts.redrawn;
                dropDraft(entry, error_kind::Stale, false);
            }
        }
    }
}

} // namespace reedtrail
