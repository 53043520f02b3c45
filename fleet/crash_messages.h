/**
 * @file
 * Messages between nodes on requests under which backend servers ended.
 */
#pragma once

#include "fleet/request_identity.h"

#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/**
 * What nodes know of a request under which servers ended. Records of one request are merged, and neither the order of merges nor their repetition plays a part.
 */
struct crash_record
{
    std::uint64_t target = 0; ///< As request_outline::target.
    std::uint64_t bodyBytes = 0;
    std::uint64_t digest = 0;
    std::uint32_t era = 0; ///< Rises when a server has survived the request; what belongs to an earlier era is void.
    std::vector<std::uint64_t> ends; ///< Hashes of the server instances that ended under it, ascending.
    std::array<std::uint32_t, 2> retries{}; ///< Retries granted by the first and by the second keeper since three servers had ended.
    bool isShared = false; ///< Whether it concerns all nodes: at some time two servers had ended under the request.
    std::int64_t ageUs = 0; ///< Time since the request was last sent or refused, as far as the sender knows.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(crash_record, target, bodyBytes, digest, era, ends, retries, isShared, ageUs)

    request_identity identity() const
    {
        return { { target, bodyBytes }, digest };
    }
};

/** Asks the keeper of a request whether it may be sent to a server now. */
struct crash_ask
{
    std::uint64_t digest = 0;
    std::string asker; ///< Identifies the caller's request at its node; one that asks again does not wait for itself.
    bool isSecond = false; ///< Whether the first keeper was asked before and did not answer.
    bool isRelease = false; ///< The attempt that was granted has ended, or will not be made, and no server has ended under it.
    std::uint32_t endsElsewhere = 0; ///< Servers that the asking node has lately seen end without this request.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(crash_ask, digest, asker, isSecond, isRelease, endsElsewhere)
};

/** The answer to a crash_ask. */
struct crash_grant
{
    bool isGranted = false;
    std::int64_t returnAfterUs = 0; ///< When to ask again; only if it is not granted.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(crash_grant, isGranted, returnAfterUs)
};

/** Records that the receiver merges, and questions. */
struct crash_message
{
    static constexpr std::string_view messageName = "crash-message";
    std::vector<crash_record> records;
    std::vector<crash_ask> asks;
    bool isForZone = false; ///< Whether the receiver passes the records on to all nodes of its zone.
    bool wantsRecords = false; ///< Whether the reply contains all records that concern all nodes.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(crash_message, records, asks, isForZone, wantsRecords)
};

/** The reply to a crash_message. */
struct crash_reply
{
    static constexpr std::string_view messageName = "crash-reply";
    std::vector<crash_record> records; ///< Those that were sent, as the replying node knows them now, or all that it was asked for.
    std::vector<crash_grant> grants; ///< In the order of the questions.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(crash_reply, records, grants)
};

} // namespace reedtrail
