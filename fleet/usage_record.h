/**
 * @file
 * The reports of use that were recorded in the store before they were sent, so that whoever sends one again sends the same counts. Pure: no I/O.
 */
#pragma once

#include "fleet/usage_windows.h"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace reedtrail {

/** Store key of the record. */
inline constexpr const char *usageRecordKey = "reedtrail/usage/reports";

/** What the store holds of the reports. */
struct usage_record
{
    static constexpr std::size_t maxReports = 12; ///< More windows than can be due at once.

    std::vector<usage_report> reports; ///< The newest ones, oldest first.
    std::int64_t lastAccepted = 0; ///< All windows up to this one were accepted.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(usage_record, reports, lastAccepted)

    /** Returns the newest window recorded, or nothing. */
    std::optional<std::int64_t> lastWindow() const
    {
        return reports.empty() ? std::nullopt : std::optional(reports.back().window);
    }
    /** Adds reports of windows that have none yet. */
    void add(const std::vector<usage_report> &added)
    {
        for (const usage_report &report : added) {
            if (!lastWindow() || report.window > *lastWindow()) {
                reports.push_back(report);
            }
        }
        if (reports.size() > maxReports) {
            reports.erase(reports.begin(), reports.end() - static_cast<std::ptrdiff_t>(maxReports));
        }
    }
    /** Returns the oldest report that was not accepted, or null. */
    const usage_report *nextToSend() const
    {
        const auto found = std::ranges::find_if(reports, [this](const usage_report &each) {
            return each.window > lastAccepted;
        });
        return found == reports.end() ? nullptr : &*found;
    }

    std::string encode() const
    {
        std::string bytes;
        nlohmann::json::to_cbor(*this, bytes);
        return bytes;
    }
    /** Decodes a record. @return nothing if it can't be read */
    static std::optional<usage_record> decode(const std::string &bytes)
    {
        try {
            return nlohmann::json::from_cbor(bytes, true, false).get<usage_record>();
        } catch (const nlohmann::json::exception &) {
            return std::nullopt;
        }
    }
};

} // namespace reedtrail
