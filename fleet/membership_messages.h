/**
 * @file
 * Messages that stewards exchange to synchronize membership and settings. A heartbeat is sent several times a second, so its JSON keys have one letter.
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

/** State of a member as seen by the failure detector. Within one incarnation, a state that is listed later overrides an earlier one. */
enum class member_state : std::uint8_t { Alive, Suspect, Dead, Left };

/** Returns whether a member in @p state counts as alive. A suspected member does, until its suspicion expires. */
inline bool isLive(member_state state)
{
    return state == member_state::Alive || state == member_state::Suspect;
}

/** Identity of a member and the addresses where its processes accept peer links. */
struct member_info
{
    node_id node;
    zone_id zone;
    region_id region;
    std::uint64_t incarnation = 0; ///< Increases with each restart, each refutation and each change of isStoreReachable.
    std::string stewardAddress; ///< Peer address of the steward, "ip:port".
    std::string gateAddress; ///< Peer address of the gate, "ip:port".
    std::string spoolAddress; ///< Peer address of the spool, "ip:port"; empty on a node without a disk.
    bool isStoreReachable = true; ///< Whether the member reaches the store. Duties that need the store go to members that do.
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

/** A member and its state, as one node knows them. */
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

/** Summary of a zone that other zones use to judge its reachability and to detect differing member lists. */
struct zone_summary
{
    zone_id zone;
    std::uint64_t counter = 0; ///< Incremented each second by the zone's deputy. The zone counts as reachable while the counter increases.
    std::uint64_t alive = 0; ///< Number of live members.
    std::uint64_t digest = 0; ///< Digest of the ids and incarnations of the live members.
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

/** Sent to each neighbour several times a second. Any heartbeat received from a member shows that the member is alive. */
struct heartbeat
{
    static constexpr std::string_view messageName = "hb";
    node_id node;
    std::string address; ///< Peer address of the sender's steward.
    std::uint64_t revision = 0; ///< Revision of the settings in force at the sender.
    std::vector<zone_summary> zoneSummaries; ///< Summaries of all zones that the sender knows; may be left out.
    std::vector<member_status> updates; ///< Membership updates that the receiver may not know yet.
    std::vector<shared_fact> facts; ///< Facts that the receiver may not know yet.
    std::uint64_t factDigest = 0; ///< Digest of all facts that the sender knows.
    bool requestsFacts = false; ///< Whether the receiver is asked to send all its facts.
    std::vector<zone_id> requestedZones; ///< Zones whose members the receiver is asked to send; an empty id stands for all zones.
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
    if (message.requestsFacts) {
        json["q"] = true;
    }
    if (!message.requestedZones.empty()) {
        json["w"] = message.requestedZones;
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
    message.requestsFacts = json.value("q", false);
    message.requestedZones = json.value("w", std::vector<zone_id>());
}

/** Requests the settings that a peer has in force. */
struct settings_question
{
    static constexpr std::string_view messageName = "settings-question";
    std::uint64_t have = 0; ///< Revision in force at the sender.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(settings_question, have)
};

/** One revision of the settings, as it is kept in the store and sent between stewards. */
struct settings_record
{
    static constexpr std::string_view messageName = "settings-record";
    std::uint64_t revision = 0;
    std::string operation; ///< Id of the operation that wrote this revision. It shows whether a write took effect whose response was lost.
    std::string operatorName;
    std::string summary; ///< One line that describes the change.
    std::int64_t acceptedAtMs = 0; ///< Wall clock of the node that accepted the change, in Unix milliseconds; shown to people and never compared.
    nlohmann::json document; ///< The fleet document.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(settings_record, revision, operation, operatorName, summary, acceptedAtMs, document)
};

} // namespace reedtrail
