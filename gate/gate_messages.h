/**
 * @file
 * Typed messages between gates.
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

/** A named request on its way to the gate that alone may run it. */
struct forwarded_request
{
    static constexpr std::string_view messageName = "forwarded-request";
    customer_id customer; ///< As the gate that took the request established it.
    std::string method;
    std::string target;
    std::vector<forwarded_field> fields;
    std::string body;
    std::int64_t deadlineMs = 0; ///< From receipt.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(forwarded_request, customer, method, target, fields, body, deadlineMs)
};

/** Its answer, to be given to the caller as it is. */
struct forwarded_answer
{
    static constexpr std::string_view messageName = "forwarded-answer";
    std::uint16_t status = 0;
    std::vector<forwarded_field> fields;
    std::string body;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(forwarded_answer, status, fields, body)
};

} // namespace reedtrail
