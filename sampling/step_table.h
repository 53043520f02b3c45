/**
 * @file
 * A table of the steps that a run works on. A step has one slot for each sample that its trainer needs, and a draft is one attempt
 * to generate that sample. The table holds the phase of each slot and the draft in progress for it.
 *
 *     step_table table(run);
 *     table.findOrAddStep(step, {.groups = 64, .groupSize = 8});
 *     slot_entry *entry = table.find(slot);
 *     table.setPhase(*entry, slot_phase::Drafting);
 *
 * Memory: one entry per slot, for the few steps from the oldest unacknowledged one to the newest that has drafts.
 */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "fleet/peer_messages.h"

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace reedtrail {

/** Progress of a slot from an ordered draft to a sample fixed in the store. */
enum class slot_phase : std::uint8_t {
    Open, ///< The slot has no draft.
    Drafting, ///< A draft is in progress.
    Ready, ///< A valid draft waits to be sealed.
    Sealing, ///< The draft is in a seal record that is being written to the store.
    Sealed, ///< A seal record in the store fixes the draft as the sample of the slot.
};

/** Number of values of slot_phase. */
inline constexpr std::size_t slotPhaseCount = 5;

/** A draft in progress. */
struct draft_attempt
{
    std::uint64_t draft = 0; ///< Id of the draft.
    node_id gate{}; ///< Node whose gate runs the draft.
    time_point orderedAt{};
    time_point progressAt{}; ///< When the number of tokens last increased.
    weight_version newestVersionAtOrder = 0; ///< Newest weight version served when the draft was ordered.
    time_point reportedAt{}; ///< When the gate last reported the draft as in progress.
    std::uint64_t tokens = 0; ///< Number of tokens generated so far.
    bool isMoved = false; ///< Whether the draft was told to resume on another server since its last progress.
};

/** State of one slot. */
struct slot_entry
{
    slot_id slot;
    slot_phase phase = slot_phase::Open;
    std::uint32_t failures = 0; ///< Number of failed drafts since the last successful one.
    bool isReplacement = false; ///< Whether a sealed sample of the slot became unusable before delivery and is being replaced.
    time_point retryAt{}; ///< Earliest time of the next draft.
    draft_attempt attempt{}; ///< Valid in phase Drafting.
    std::uint64_t batch = 0; ///< Number of the seal record that holds the sample; valid in phase Sealed.
    sealed_sample sample{}; ///< Valid in the phases Ready, Sealing and Sealed.
};

/** Number of groups in a step and of samples in each group. */
struct step_shape
{
    std::uint32_t groups = 0;
    std::uint32_t groupSize = 0;

    /** Returns the number of slots in the step. */
    std::size_t slotCount() const
    {
        return static_cast<std::size_t>(groups) * groupSize;
    }
    bool operator==(const step_shape &) const = default;
};

/** Slots of one step. */
struct step_slots
{
    std::uint64_t step = 0;
    step_shape shape;
    time_point firstOrderAt = timeNever; ///< When the first draft of the step was ordered.
    bool isDraftTimeReported = false; ///< Whether the time to draft the whole step was reported to draft_lead_planner.
    std::vector<slot_entry> entries; ///< Ordered by group, then by index.
    std::array<std::size_t, slotPhaseCount> counts{}; ///< Number of slots in each phase.

    /** Returns the number of slots in @p phase. */
    std::size_t count(slot_phase phase) const
    {
        return counts.at(static_cast<std::size_t>(phase));
    }
    /** Returns whether all slots are sealed. */
    bool isSealed() const
    {
        return count(slot_phase::Sealed) == entries.size();
    }
};

/** Steps that a run works on, with their slots. */
class step_table
{
public:
    explicit step_table(run_id run);

    /** Returns the slots of @p step. Adds the step with @p shape if it is missing; a step that exists keeps its shape. */
    step_slots &findOrAddStep(std::uint64_t step, step_shape shape);
    /** Returns the slots of @p step, or null if the step is not in the table. */
    step_slots *findStep(std::uint64_t step);
    /** Returns the entry of @p slot, or null if its run or step is not in the table or its group or index is out of range. */
    slot_entry *find(const slot_id &slot);
    /** Moves @p entry to @p phase and updates the counts of its step. */
    void setPhase(slot_entry &entry, slot_phase phase);
    /** Removes all steps before @p step. */
    void eraseStepsBefore(std::uint64_t step);
    /** Removes all steps. */
    void clear();
    /** Returns the steps, keyed by step number. */
    std::map<std::uint64_t, step_slots> &steps()
    {
        return m_steps;
    }
    const std::map<std::uint64_t, step_slots> &steps() const
    {
        return m_steps;
    }

private:
    run_id m_run;
    std::map<std::uint64_t, step_slots> m_steps;
};

} // namespace reedtrail
