/**
 * @file
 * The slots of the steps a run works on, and the drafts under way for each.
 *
 *     step_book book(run);
 *     book.open(step, {.groups = 64, .groupSize = 8});
 *     slot_entry *entry = book.find(slot);
 *     book.setPhase(*entry, slot_phase::Drafting);
 *
 * Memory: one entry a slot, for the few steps between the oldest not acknowledged and the newest drafted.
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

/** How far a slot is. */
enum class slot_phase : std::uint8_t {
    Open, ///< No draft under way.
    Drafting,
    Ready, ///< A good draft waits to be sealed.
    Sealing, ///< Part of a seal record being written.
    Sealed, ///< Fixed by a record in the store.
};

/** Number of phases. */
inline constexpr std::size_t slotPhaseCount = 5;

/** A draft under way. */
struct draft_attempt
{
    std::uint64_t draft = 0;
    node_id gate{};
    time_point orderedAt{};
    time_point progressAt{}; ///< Last time the number of tokens rose.
    weight_version orderedWith = 0; ///< Newest version served when it was ordered.
    time_point reportedAt{}; ///< Last time its gate said that it works on it.
    std::uint64_t tokens = 0;
    bool isMoved = false; ///< Whether it was told to resume on another server since it last made progress.
};

/** One slot. */
struct slot_entry
{
    slot_id slot;
    slot_phase phase = slot_phase::Open;
    std::uint32_t failures = 0; ///< Drafts that failed since one succeeded.
    bool isReplacement = false; ///< Sealed before, but its payload was lost before it was delivered.
    time_point retryAt{}; ///< Not drafted before.
    draft_attempt attempt{}; ///< Valid while Drafting.
    std::uint64_t batch = 0; ///< Number of the record it is in; valid while Sealed.
    sealed_sample sample{}; ///< Valid from Ready on.
};

/** How many groups a step has, and how many samples a group. */
struct step_shape
{
    std::uint32_t groups = 0;
    std::uint32_t groupSize = 0;

    std::size_t slots() const
    {
        return static_cast<std::size_t>(groups) * groupSize;
    }
    bool operator==(const step_shape &) const = default;
};

/** The slots of one step. */
struct step_slots
{
    std::uint64_t step = 0;
    step_shape shape;
    time_point firstOrderAt = timeNever;
    bool isDraftTimeKnown = false; ///< Whether the time to draft it whole was told to the objective.
    std::vector<slot_entry> slots; ///< By group, then index.
    std::array<std::size_t, slotPhaseCount> counts{};

    std::size_t count(slot_phase phase) const
    {
        return counts.at(static_cast<std::size_t>(phase));
    }
    /** Tells whether all slots are fixed. */
    bool isSealed() const
    {
        return count(slot_phase::Sealed) == slots.size();
    }
};

/** All steps that a run works on. */
class step_book
{
public:
    explicit step_book(run_id run);

    /** Returns the slots of @p step, added with @p shape if they are not there. A step keeps its shape. */
    step_slots &open(std::uint64_t step, step_shape shape);
    /** Returns the slots of @p step, or null. */
    step_slots *findStep(std::uint64_t step);
    /** Returns the entry of @p slot, or null if its step is not worked on or it is out of range. */
    slot_entry *find(const slot_id &slot);
    /** Moves @p entry to @p phase. */
    void setPhase(slot_entry &entry, slot_phase phase);
    /** Forgets all steps before @p step. */
    void forgetBefore(std::uint64_t step);
    /** Forgets everything. */
    void clear();
    /** Returns the steps by number. */
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
