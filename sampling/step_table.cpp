// Each step keeps the number of its slots by phase, because every event asks whether a step is complete or has ready slots, and must not scan all slots for it.

#include "sampling/step_table.h"

#include "base/check.h"

namespace reedtrail {

step_table::step_table(run_id run)
    : m_run(std::move(run))
{
}

step_slots &step_table::findOrAddStep(std::uint64_t step, step_shape shape)
{
    step_slots &slots = m_steps[step];
    if (!slots.entries.empty()) {
        return slots;
    }
    slots.step = step;
    slots.shape = shape;
    slots.entries.reserve(shape.slotCount());
    for (std::uint32_t group = 0; group < shape.groups; ++group) {
        for (std::uint32_t index = 0; index < shape.groupSize; ++index) {
            slots.entries.push_back({ .slot = { m_run, step, group, index } });
        }
    }
    slots.counts[static_cast<std::size_t>(slot_phase::Open)] = slots.entries.size();
    return slots;
}

step_slots *step_table::findStep(std::uint64_t step)
{
    const auto found = m_steps.find(step);
    return found == m_steps.end() ? nullptr : &found->second;
}

slot_entry *step_table::find(const slot_id &slot)
{
    step_slots *slots = findStep(slot.step);
    if (slots == nullptr || slot.run != m_run || slot.group >= slots->shape.groups || slot.index >= slots->shape.groupSize) {
        return nullptr;
    }
    return &slots->entries[static_cast<std::size_t>(slot.group) * slots->shape.groupSize + slot.index];
}

void step_table::setPhase(slot_entry &entry, slot_phase phase)
{
    step_slots *slots = findStep(entry.slot.step);
    REEDTRAIL_CHECK(slots != nullptr, "a slot entry must belong to a step of the table");
    if (slots == nullptr || entry.phase == phase) {
        return;
    }
    --slots->counts.at(static_cast<std::size_t>(entry.phase));
    ++slots->counts.at(static_cast<std::size_t>(phase));
    entry.phase = phase;
}

void step_table::eraseStepsBefore(std::uint64_t step)
{
    m_steps.erase(m_steps.begin(), m_steps.lower_bound(step));
}

void step_table::clear()
{
    m_steps.clear();
}

} // namespace reedtrail
