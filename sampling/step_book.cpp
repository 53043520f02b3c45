// Counts by phase are kept with each step, so that "is it whole" and "is anything ready" cost nothing at each event.

#include "sampling/step_book.h"

#include "base/check.h"

namespace reedtrail {

step_book::step_book(run_id run)
    : m_run(std::move(run))
{
}

step_slots &step_book::open(std::uint64_t step, step_shape shape)
{
    step_slots &slots = m_steps[step];
    if (!slots.slots.empty()) {
        return slots;
    }
    slots.step = step;
    slots.shape = shape;
    slots.slots.reserve(shape.slots());
    for (std::uint32_t group = 0; group < shape.groups; ++group) {
        for (std::uint32_t index = 0; index < shape.groupSize; ++index) {
            slots.slots.push_back({ .slot = { m_run, step, group, index } });
        }
    }
    slots.counts[static_cast<std::size_t>(slot_phase::Open)] = slots.slots.size();
    return slots;
}

step_slots *step_book::findStep(std::uint64_t step)
{
    const auto found = m_steps.find(step);
    return found == m_steps.end() ? nullptr : &found->second;
}

slot_entry *step_book::find(const slot_id &slot)
{
    step_slots *slots = findStep(slot.step);
    if (slots == nullptr || slot.run != m_run || slot.group >= slots->shape.groups || slot.index >= slots->shape.groupSize) {
        return nullptr;
    }
    return &slots->slots[static_cast<std::size_t>(slot.group) * slots->shape.groupSize + slot.index];
}

void step_book::setPhase(slot_entry &entry, slot_phase phase)
{
    step_slots *slots = findStep(entry.slot.step);
    REEDTRAIL_CHECK(slots != nullptr, "an entry belongs to a step of the book");
    if (slots == nullptr || entry.phase == phase) {
        return;
    }
    --slots->counts.at(static_cast<std::size_t>(entry.phase));
    ++slots->counts.at(static_cast<std::size_t>(phase));
    entry.phase = phase;
}

void step_book::forgetBefore(std::uint64_t step)
{
    m_steps.erase(m_steps.begin(), m_steps.lower_bound(step));
}

void step_book::clear()
{
    m_steps.clear();
}

} // namespace reedtrail
