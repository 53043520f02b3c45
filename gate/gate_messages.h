/**
 * @file
 * Peer messages with which one gate forwards a request to another and returns the answer.
 */
#pragma once

#include "base/ids.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** One header field of a forwarded request or answer. */
struct forwarded_field
{
    std::string name;
    std::string value;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(forwarded_field, name, value)
};

/** A request with a ticket or an idempotency key, forwarded to the only gate that may run it. */
struct forwarded_request
{
    static constexpr std::string_view messageName = "forwarded-request";
    customer_id customer; ///< The customer that the receiving gate authenticated.
    std::string method;
    std::string target;
    std::vector<forwarded_field> fields;
    std::string body;
    std::int64_t deadlineMs = 0; ///< Time until the deadline in milliseconds, counted from the receipt of the message.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(forwarded_request, customer, method, target, fields, body, deadlineMs)
};

/** The answer to a forwarded_request, which the forwarding gate returns to the caller unchanged. */
struct forwarded_answer
{
    static constexpr std::string_view messageName = "forwarded-answer";
    std::uint16_t status = 0;
    std::vector<forwarded_field> fields;
    std::string body;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(forwarded_answer, status, fields, body)
};

} // namespace reedtrail
