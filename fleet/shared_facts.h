/**
 * @file
 * Small facts that every steward should know soon, such as who owns a run: passed from node to node, the higher version wins.
 *
 *     facts.put("owner/run-1", version, value);
 *     message.facts = facts.takeNews();                              // what neighbours may not know yet
 *     bool hasNew = facts.apply(received.facts);
 *
 * They are soft state: nothing that a promise rests on may be kept here. Memory is bounded by maximumFacts.
 */
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace reedtrail {

/** One fact. */
struct shared_fact
{
    std::string key;
    std::uint64_t version = 0;
    nlohmann::json value;
};

template<class Json>
void to_json(Json &json, const shared_fact &fact)
{
    json = { { "k", fact.key }, { "v", fact.version }, { "x", fact.value } };
}

template<class Json>
void from_json(const Json &json, shared_fact &fact)
{
    fact.key = json.value("k", std::string());
    fact.version = json.value("v", std::uint64_t{ 0 });
    fact.value = json.value("x", Json());
}

/** All facts one node knows. */
class shared_facts
{
public:
    /** Most facts kept; further keys are refused. */
    static constexpr std::size_t maximumFacts = 2048;

    /** Adds a fact, or a newer version of one. @return whether it was newer */
    bool put(const std::string &key, std::uint64_t version, nlohmann::json value);
    /** Takes facts from a peer. @return whether any was new */
    bool apply(const std::vector<shared_fact> &received);
    /** Returns what has been new lately: each fact is returned twice, so that one lost message does not matter. */
    std::vector<shared_fact> takeNews();
    /** Tells whether there is news that was never sent. */
    bool hasNews() const
    {
        return m_unsent > 0;
    }
    /** Returns a digest of all keys and versions; nodes that know the same have the same. */
    std::uint64_t digest() const
    {
        return m_digest;
    }
    /** Returns all facts. */
    std::vector<shared_fact> all() const;
    /** Returns the value at @p key, or null. */
    const nlohmann::json *find(const std::string &key) const;
    /** Returns the facts whose key begins with @p prefix. */
    std::vector<shared_fact> under(const std::string &prefix) const;

private:
    struct record
    {
        std::uint64_t version = 0;
        nlohmann::json value;
        int sendsLeft = 0;
        bool isUnsent = false;
    };
    std::map<std::string, record> m_records;
    std::uint64_t m_digest = 0;
    std::size_t m_unsent = 0;
};

} // namespace reedtrail
