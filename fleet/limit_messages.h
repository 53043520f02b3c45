/**
 * @file
 * Messages between nodes on the limits of backend servers.
 */
#pragma once

#include "fleet/limit_schedule.h"
#include "fleet/server_limits.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** Asks for one place at a server, and passes on what the sender knows of its limit. Times are ages, because clocks of two nodes are never compared. */
struct limit_ask
{
    std::string server;
    std::int64_t startedAt = 0; ///< Identifies the instance, as server_entry::startedAt.
    double rate = 0; ///< The limit, in requests a second.
    std::int64_t sentAgeUs = 0; ///< Of dated_limit::sentAt, in microseconds.
    std::int64_t receivedAgeUs = 0; ///< Of dated_limit::receivedAt, in microseconds.
    bool isUrgent = true;
    bool isCharge = false; ///< The request is sent in any case and only counted.
    bool isPrimaryGone = false; ///< The node asked before this one certainly grants no places now: it is gone or stops.
    std::int64_t maxWaitUs = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(limit_ask, server, startedAt, rate, sentAgeUs, receivedAgeUs, isUrgent, isCharge, isPrimaryGone, maxWaitUs)
};

/** The answer to a limit_ask. */
struct limit_reply
{
    bool isGranted = false;
    std::int64_t waitUs = 0;
    std::int64_t returnAfterUs = 0;
    double rate = 0; ///< The limit as the replying node knows it.
    std::int64_t sentAgeUs = 0;
    std::int64_t receivedAgeUs = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(limit_reply, isGranted, waitUs, returnAfterUs, rate, sentAgeUs, receivedAgeUs)

    limit_grant grant() const
    {
        return { isGranted, duration(waitUs), duration(returnAfterUs) };
    }
};

/** Several questions in one message. */
struct limit_asks
{
    static constexpr std::string_view messageName = "limit-asks";
    std::vector<limit_ask> asks;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(limit_asks, asks)
};

/** The answers to limit_asks, in their order. */
struct limit_replies
{
    static constexpr std::string_view messageName = "limit-replies";
    std::vector<limit_reply> replies;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(limit_replies, replies)
};

} // namespace reedtrail
