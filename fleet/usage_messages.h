/**
 * @file
 * Messages between nodes on the requests that customers' callers have made.
 */
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** Requests of customers that began to run, as one process recorded them. Times are ages, because clocks of two nodes are never compared. */
struct usage_batch
{
    std::string origin; ///< Identifies the process that recorded them.
    std::uint64_t firstNumber = 0; ///< Number of the first row; rows are numbered without gaps.
    std::vector<std::string> customers; ///< Those that the rows name, by index.
    std::vector<std::uint32_t> rows; ///< Index of the customer of each row.
    std::vector<std::int64_t> agesMs; ///< Of each row: how long ago the request began to run.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(usage_batch, origin, firstNumber, customers, rows, agesMs)
};

/** Asks a node for all that it holds beyond what the asker has. */
struct usage_ask
{
    static constexpr std::string_view messageName = "usage-ask";
    std::map<std::string, std::uint64_t> known; ///< Number of the next row that the asker lacks, by origin; origins that it does not know are absent.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(usage_ask, known)
};

/** The answer to a usage_ask; also sent on its own by a node that stops, so that what it recorded is not lost with it. */
struct usage_answer
{
    static constexpr std::string_view messageName = "usage-answer";
    std::int64_t wallClockMs = 0; ///< The sender's Unix time when it answered.
    std::vector<usage_batch> batches;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(usage_answer, wallClockMs, batches)
};

/** The answer to a usage_answer that was sent on its own. */
struct usage_receipt
{
    static constexpr std::string_view messageName = "usage-receipt";
    bool isTaken = false;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(usage_receipt, isTaken)
};

} // namespace reedtrail
