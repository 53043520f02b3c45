/**
 * @file
 * Messages by which stewards keep membership and settings in step. Field names are short because they are sent several times a second.
 */
#pragma once

#include "base/ids.h"
#include "fleet/shared_facts.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** What is known of a member. A later state wins over an earlier one of the same incarnation. */
enum class member_state : std::uint8_t { Alive, Suspect, Dead, Left };

/** Tells whether a member in @p state counts as alive. */
inline bool isLive(member_state state)
{
    return state == member_state::Alive || state == member_state::Suspect;
}

/** Who a member is and where its processes accept links. */
struct member_info
{
    node_id node;
    zone_id zone;
    region_id region;
    std::uint64_t incarnation = 0; ///< Incarnation: rises with each restart and each refutation.
    std::string stewardAddress; ///< "ip:port".
    std::string gateAddress;
    std::string spoolAddress; ///< Empty on a node without a disk.
    bool isStoreReachable = true; ///< Whether it can do duties that need the store.
    auto operator<=>(const member_info &) const = default;
};

template<class Json>
void to_json(Json &json, const member_info &info)
{
    json = { { "n", info.node.str() },     { "z", info.zone.str() },  { "r", info.region.str() }, { "i", info.incarnation },
             { "s", info.stewardAddress }, { "g", info.gateAddress }, { "d", info.spoolAddress }, { "k", info.isStoreReachable } };
}

template<class Json>
void from_json(const Json &json, member_info &info)
{
    info.node = node_id(json.value("n", std::string()));
    info.zone = zone_id(json.value("z", std::string()));
    info.region = region_id(json.value("r", std::string()));
    info.incarnation = json.value("i", std::uint64_t{ 0 });
    info.stewardAddress = json.value("s", std::string());
    info.gateAddress = json.value("g", std::string());
    info.spoolAddress = json.value("d", std::string());
    info.isStoreReachable = json.value("k", true);
}

/** A member as one node knows it. */
struct member_status
{
    member_info info;
    member_state state = member_state::Alive;
    auto operator<=>(const member_status &) const = default;
};

template<class Json>
void to_json(Json &json, const member_status &update)
{
    to_json(json, update.info);
    json["t"] = static_cast<std::uint8_t>(update.state);
}

template<class Json>
void from_json(const Json &json, member_status &update)
{
    from_json(json, update.info);
    update.state = static_cast<member_state>(std::min<std::uint8_t>(json.value("t", std::uint8_t{ 0 }), static_cast<std::uint8_t>(member_state::Left)));
}

/** What one zone tells the others of itself. */
struct zone_summary
{
    zone_id zone;
    std::uint64_t counter = 0; ///< Raised by the zone's deputy each second: the zone is reachable while it rises.
    std::uint64_t alive = 0; ///< Members alive.
    std::uint64_t digest = 0; ///< Of the ids and incarnations of the members alive.
    auto operator<=>(const zone_summary &) const = default;
};

template<class Json>
void to_json(Json &json, const zone_summary &summary)
{
    json = { { "z", summary.zone.str() }, { "c", summary.counter }, { "a", summary.alive }, { "d", summary.digest } };
}

template<class Json>
void from_json(const Json &json, zone_summary &summary)
{
    summary.zone = zone_id(json.value("z", std::string()));
    summary.counter = json.value("c", std::uint64_t{ 0 });
    summary.alive = json.value("a", std::uint64_t{ 0 });
    summary.digest = json.value("d", std::uint64_t{ 0 });
}

/** Sent to each neighbour several times a second; anything received from a member is a proof of life. */
struct heartbeat
{
    static constexpr std::string_view messageName = "hb";
    node_id node;
    std::string address; ///< Peer address of the sender's steward.
    std::uint64_t revision = 0; ///< Settings in force at the sender.
    std::vector<zone_summary> zoneSummaries; ///< Each second, of all zones known.
    std::vector<member_status> updates; ///< News since the last one.
    std::vector<shared_fact> facts; ///< New facts since the last one.
    std::uint64_t factDigest = 0; ///< Of all facts the sender knows.
    bool wantsFacts = false; ///< Asks for all facts.
    std::vector<zone_id> wants; ///< Zones whose members are asked for; a zone with an empty id stands for all.
};

template<class Json>
void to_json(Json &json, const heartbeat &message)
{
    json = { { "n", message.node.str() }, { "a", message.address }, { "v", message.revision }, { "f", message.factDigest } };
    if (!message.zoneSummaries.empty()) {
        json["s"] = message.zoneSummaries;
    }
    if (!message.updates.empty()) {
        json["r"] = message.updates;
    }
    if (!message.facts.empty()) {
        json["x"] = message.facts;
    }
    if (message.wantsFacts) {
        json["q"] = true;
    }
    if (!message.wants.empty()) {
        json["w"] = message.wants;
    }
}

template<class Json>
void from_json(const Json &json, heartbeat &message)
{
    message.node = node_id(json.value("n", std::string()));
    message.address = json.value("a", std::string());
    message.revision = json.value("v", std::uint64_t{ 0 });
    message.zoneSummaries = json.value("s", std::vector<zone_summary>());
    message.updates = json.value("r", std::vector<member_status>());
    message.facts = json.value("x", std::vector<shared_fact>());
    message.factDigest = json.value("f", std::uint64_t{ 0 });
    message.wantsFacts = json.value("q", false);
    message.wants = json.value("w", std::vector<zone_id>());
}

/** Asks a peer for the settings it has in force. */
struct settings_question
{
    static constexpr std::string_view messageName = "settings-question";
    std::uint64_t have = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(settings_question, have)
};

/** One revision of the settings, as kept in the store and passed between stewards. */
struct settings_record
{
    static constexpr std::string_view messageName = "settings-record";
    std::uint64_t revision = 0;
    std::string operation; ///< Id of the operation that made it, for finding out about a lost answer.
    std::string operatorName;
    std::string summary; ///< What changed, one line.
    std::int64_t acceptedAtMs = 0; ///< Wall clock of the node that accepted it; for people only.
    nlohmann::json document;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(settings_record, revision, operation, operatorName, summary, acceptedAtMs, document)
};

} // namespace reedtrail
