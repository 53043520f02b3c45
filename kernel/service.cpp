// Services are few and found once, at start, so a list serves; the order of adding is the order of need. Draining runs in reverse order, since a later
// service may still use an earlier one while it finishes.

#include "kernel/service.h"

#include "base/check.h"

#include <algorithm>

namespace reedtrail {

kernel::~kernel()
{
    while (!m_entries.empty()) {
        m_entries.pop_back();
    }
}

void kernel::add(std::string name, std::unique_ptr<service> part)
{
    REEDTRAIL_CHECK(findUntyped(name) == nullptr, "service names must differ");
    m_entries.push_back({ std::move(name), std::move(part), false });
}

result<void> kernel::start()
{
    for (entry &each : m_entries) {
        result<void> started = each.part->start(*this);
        if (!started) {
            stop();
            return started.error();
        }
        each.isStarted = true;
    }
    return {};
}

void kernel::drain(std::function<void()> done)
{
    drainFrom(m_entries.size(), std::move(done));
}

void kernel::drainFrom(std::size_t count, std::function<void()> done)
{
    if (count == 0) {
        done();
        return;
    }
    m_entries[count - 1].part->drain([this, count, done = std::move(done)]() mutable {
        drainFrom(count - 1, std::move(done));
    });
}

void kernel::stop()
{
    for (auto each = m_entries.rbegin(); each != m_entries.rend(); ++each) {
        if (each->isStarted) {
            each->part->stop();
            each->isStarted = false;
        }
    }
}

nlohmann::json kernel::dump(std::string_view name) const
{
    nlohmann::json all = nlohmann::json::object();
    for (const entry &each : m_entries) {
        if (name.empty() || each.name == name) {
            all[each.name] = each.part->dump();
        }
    }
    return all;
}

service *kernel::findUntyped(std::string_view name)
{
    const auto found = std::ranges::find(m_entries, name, &entry::name);
    return found == m_entries.end() ? nullptr : found->part.get();
}

} // namespace reedtrail
