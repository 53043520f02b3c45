/**
 * @file
 * Facts: small key-value pairs that stewards replicate by gossip, such as the owner of each run. Of two versions of a key, the higher one wins.
 *
 *     facts.put("owner/run-1", version, value);
 *     message.facts = facts.takePendingFacts();                      // facts that neighbours may not know yet
 *     bool hasChanged = facts.apply(received.facts);
 *
 * Facts are soft state and may be stale or lost, so no guarantee may depend on them. The number of facts is limited to maximumFacts.
 */
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace reedtrail {

/** A key with its value and version. */
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

/** All facts that one node knows. */
class shared_facts
{
public:
    /** Maximum number of facts; further keys are refused. */
    static constexpr std::size_t maximumFacts = 2048;

    /** Stores a fact unless a version at least as high is known or the map is full. @return whether it was stored */
    bool put(const std::string &key, std::uint64_t version, nlohmann::json value);
    /** Merges facts received from a peer. @return whether any of them was stored */
    bool apply(const std::vector<shared_fact> &received);
    /** Returns the facts for the next message. Each change is returned twice, so that one lost message does no harm. */
    std::vector<shared_fact> takePendingFacts();
    /** Returns whether any fact has not been returned by takePendingFacts() yet. */
    bool hasUnsentFacts() const
    {
        return m_unsent > 0;
    }
    /** Returns a digest of all keys and versions, which is equal on nodes with equal facts. */
    std::uint64_t digest() const
    {
        return m_digest;
    }
    /** Returns all facts. */
    std::vector<shared_fact> all() const;
    /** Returns the value of @p key, or null if the key is unknown. */
    const nlohmann::json *find(const std::string &key) const;
    /** Returns the facts whose key begins with @p prefix. */
    std::vector<shared_fact> withPrefix(const std::string &prefix) const;

private:
    struct record
    {
        std::uint64_t version = 0;
        nlohmann::json value;
        int transmissionsLeft = 0; ///< How many more messages will carry the fact.
        bool isUnsent = false; ///< Whether no message has carried the fact yet.
    };
    std::map<std::string, record> m_records;
    std::uint64_t m_digest = 0;
    std::size_t m_unsent = 0; ///< Number of records with isUnsent set.
};

} // namespace reedtrail
