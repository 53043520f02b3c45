/**
 * @file
 * Reads JSON with comments into typed settings; the first thing wrong ends in one clear line naming file, key path and what is allowed.
 *
 *     BOOST_LEAF_AUTO(document, parseJsonWithComments(text, "node.json"));
 *     settings_reader reader(document, "node.json");
 *     settings.name = reader.text("name");
 *     settings.port = reader.integer("port", {1, 65535});
 *     settings.wait = reader.milliseconds("waitMs", {1, 60000}, std::chrono::milliseconds(500));
 *     BOOST_LEAF_CHECK(reader.finish());   // fails on the first error, and on any key that was not asked for
 *
 * Reading goes on after an error with the default, so that code reads straight down; finish() must be called before the values are used.
 */
#pragma once

#include "base/failure.h"
#include "base/time.h"

#include <cstdint>
#include <initializer_list>
#include <limits>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

using json = nlohmann::json;

/** Parses JSON that may hold // and block comments. @param text the document @param file its name, for the error line */
result<json> parseJsonWithComments(std::string_view text, std::string_view file);

/** Reads and parses a whole file. @param path file to read; at most 16 MiB @return the document, or BadSettings */
result<json> readJsonFile(const std::string &path);

/** Range of a whole number, both ends allowed. */
struct integer_range
{
    std::int64_t low = 0;
    std::int64_t high = std::numeric_limits<std::int64_t>::max();
};

/** Range of a number, both ends allowed. */
struct number_range
{
    double low = 0;
    double high = std::numeric_limits<double>::max();
};

/** Reads one JSON object; see the head of this file. The document must outlive the reader. */
class settings_reader
{
public:
    settings_reader(const json &object, std::string file);

    /** Tells whether @p key is present. */
    bool has(std::string_view key) const;
    /** Returns the text at @p key, which must be there unless @p fallback is given. */
    std::string text(std::string_view key, std::optional<std::string> fallback = {});
    /** Returns the text at @p key, which must be one of @p allowed. */
    std::string choice(std::string_view key, std::span<const std::string_view> allowed, std::optional<std::string> fallback = {});
    /** Returns the whole number at @p key within @p range. */
    std::int64_t integer(std::string_view key, integer_range range, std::optional<std::int64_t> fallback = {});
    /** Returns the number at @p key within @p range. */
    double number(std::string_view key, number_range range, std::optional<double> fallback = {});
    /** Returns the truth value at @p key. */
    bool boolean(std::string_view key, std::optional<bool> fallback = {});
    /** Returns the span of milliseconds at @p key, within @p range milliseconds. */
    duration milliseconds(std::string_view key, integer_range range, std::optional<duration> fallback = {});
    /** Returns the list of texts at @p key. */
    std::vector<std::string> texts(std::string_view key, std::optional<std::vector<std::string>> fallback = {});
    /** Returns a reader of the object at @p key; of an empty object if the key is missing and @p required is false. */
    settings_reader object(std::string_view key, bool required = true);
    /** Returns readers of the objects in the list at @p key. */
    std::vector<settings_reader> objects(std::string_view key, bool required = true);
    /** Reports an error of a rule between keys. @param key where @param reason what is allowed there */
    void reject(std::string_view key, std::string_view reason);
    /** Returns the first error of this reader and all made from it, or an error for a key that was not asked for. */
    result<void> finish();

private:
    struct shared_state;
    settings_reader(const json &object, std::string path, std::shared_ptr<shared_state> shared);
    const json *find(std::string_view key, bool required, std::string_view wanted);
    std::string pathOf(std::string_view key) const;

    const json *m_object;
    std::string m_path;
    std::shared_ptr<shared_state> m_shared;
};

} // namespace reedtrail
