// A last-writer-wins map. Each key has one writer at a time, which increases its version, so the order in which versions arrive does not matter. The digest is
// the exclusive or of one hash per fact over its key and version; each change updates it in constant time.

#include "fleet/shared_facts.h"

#include "base/hash.h"

namespace reedtrail {
namespace {

constexpr int transmissionsPerFact = 2;

std::uint64_t hashOf(const std::string &key, std::uint64_t version)
{
    return stableHash(key, version);
}

} // namespace

bool shared_facts::put(const std::string &key, std::uint64_t version, nlohmann::json value)
{
    const auto found = m_records.find(key);
    const bool isKnown = found != m_records.end();
    if (isKnown ? found->second.version >= version : m_records.size() >= maximumFacts) {
        return false;
    }
    record &stored = m_records[key];
    m_digest ^= isKnown ? hashOf(key, stored.version) : 0;
    m_digest ^= hashOf(key, version);
    m_unsent += stored.isUnsent ? 0 : 1;
    stored = { version, std::move(value), transmissionsPerFact, true };
    return true;
}

bool shared_facts::apply(const std::vector<shared_fact> &received)
{
    bool hasChanged = false;
    for (const shared_fact &fact : received) {
        hasChanged = put(fact.key, fact.version, fact.value) || hasChanged;
    }
    return hasChanged;
}

std::vector<shared_fact> shared_facts::takePendingFacts()
{
    std::vector<shared_fact> pending;
    for (auto &[key, stored] : m_records) {
        if (stored.transmissionsLeft > 0) {
            --stored.transmissionsLeft;
            stored.isUnsent = false;
            pending.push_back({ key, stored.version, stored.value });
        }
    }
    m_unsent = 0;
    return pending;
}

std::vector<shared_fact> shared_facts::all() const
{
    return withPrefix("");
}

const nlohmann::json *shared_facts::find(const std::string &key) const
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : &found->second.value;
}

std::vector<shared_fact> shared_facts::withPrefix(const std::string &prefix) const
{
    std::vector<shared_fact> found;
    for (auto fact = m_records.lower_bound(prefix); fact != m_records.end() && fact->first.starts_with(prefix); ++fact) {
        found.push_back({ fact->first, fact->second.version, fact->second.value });
    }
    return found;
}

} // namespace reedtrail
