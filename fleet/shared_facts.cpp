// A last-writer-wins map: each key is written by one owner at a time, which makes its versions rise, so the order of arrival does not matter. The digest is
// the exclusive or of a hash of each key with its version: it is kept up to date by each change at constant cost.

#include "fleet/shared_facts.h"

#include "base/hash.h"

namespace reedtrail {
namespace {

constexpr int sendsOfNews = 2;

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
    record &kept = m_records[key];
    m_digest ^= isKnown ? hashOf(key, kept.version) : 0;
    m_digest ^= hashOf(key, version);
    m_unsent += kept.isUnsent ? 0 : 1;
    kept = { version, std::move(value), sendsOfNews, true };
    return true;
}

bool shared_facts::apply(const std::vector<shared_fact> &received)
{
    bool hasNew = false;
    for (const shared_fact &fact : received) {
        hasNew = put(fact.key, fact.version, fact.value) || hasNew;
    }
    return hasNew;
}

std::vector<shared_fact> shared_facts::takeNews()
{
    std::vector<shared_fact> news;
    for (auto &[key, kept] : m_records) {
        if (kept.sendsLeft > 0) {
            --kept.sendsLeft;
            kept.isUnsent = false;
            news.push_back({ key, kept.version, kept.value });
        }
    }
    m_unsent = 0;
    return news;
}

std::vector<shared_fact> shared_facts::all() const
{
    return under("");
}

const nlohmann::json *shared_facts::find(const std::string &key) const
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : &found->second.value;
}

std::vector<shared_fact> shared_facts::under(const std::string &prefix) const
{
    std::vector<shared_fact> found;
    for (auto each = m_records.lower_bound(prefix); each != m_records.end() && each->first.starts_with(prefix); ++each) {
        found.push_back({ each->first, each->second.version, each->second.value });
    }
    return found;
}

} // namespace reedtrail
