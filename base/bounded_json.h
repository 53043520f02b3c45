/**
 * @file
 * JSON from outside: bounded in depth before it is built into a tree, and numbers checked for their range before they are narrowed.
 *
 *     const nlohmann::json body = parseBoundedJson(text);
 *     if (!body.is_object()) { ... malformed, nested too deep, or no object ... }
 *     const std::optional<std::uint32_t> slots = wholeNumber<std::uint32_t>(body.at("slots"), 0, 1'000'000);
 */
#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace reedtrail {

inline constexpr std::size_t maxJsonDepth = 32; ///< Documents that we exchange have a depth of less than ten.

/**
 * Parses a JSON text.
 * @return the value; a discarded one, which is neither an object nor an array, if the text is malformed or nested deeper than @p maxDepth
 */
nlohmann::json parseBoundedJson(std::string_view text, std::size_t maxDepth = maxJsonDepth);
/** As above; @p keeps tells of each part of the tree whether it is kept, so that a document can be read without building all of its tree. */
nlohmann::json parseBoundedJson(std::string_view text, const nlohmann::json::parser_callback_t &keeps, std::size_t maxDepth = maxJsonDepth);

/** Returns a whole number from @p least to @p most; nothing for a fraction, a value outside that range or of another type. */
template<std::integral Number>
std::optional<Number> wholeNumber(const nlohmann::json &value, Number least, Number most)
{
    if (!value.is_number_integer()) {
        return std::nullopt;
    }
    const bool isInRange = value.is_number_unsigned()
        ? std::cmp_greater_equal(value.get<std::uint64_t>(), least) && std::cmp_less_equal(value.get<std::uint64_t>(), most)
        : std::cmp_greater_equal(value.get<std::int64_t>(), least) && std::cmp_less_equal(value.get<std::int64_t>(), most);
    return isInRange ? std::optional(value.get<Number>()) : std::nullopt;
}

/** As wholeNumber(), but throws std::out_of_range where that returns nothing. */
template<std::integral Number>
Number requiredNumber(const nlohmann::json &value, Number least = 0, Number most = std::numeric_limits<Number>::max())
{
    const std::optional<Number> number = wholeNumber(value, least, most);
    if (!number) {
        throw std::out_of_range("no whole number in its range");
    }
    return *number;
}

/** Returns a whole number from 0 to @p most, or 0 if the field is absent or null. Throws std::out_of_range for any other value. */
template<std::integral Number>
Number optionalNumber(const nlohmann::json &row, const char *name, Number most = std::numeric_limits<Number>::max())
{
    const auto found = row.find(name);
    return found == row.end() || found->is_null() ? Number{ 0 } : requiredNumber(*found, Number{ 0 }, most);
}

} // namespace reedtrail
