// nlohmann::json parses and skips comments; this adds what an operator needs: the key path, the allowed values, and refusal of keys nobody reads,
// since a misspelt key that is silently ignored is found only when it is needed. All readers of one document share the first error and the list of
// objects opened, so that finish() of the outermost covers everything. Bound: files of 16 MiB.

#include "base/settings_reader.h"

#include <fstream>
#include <map>
#include <sstream>

namespace reedtrail {
namespace {

constexpr std::size_t maximumFileBytes = 16U << 20U;

std::string listOf(std::span<const std::string_view> allowed)
{
    std::string text;
    for (const std::string_view item : allowed) {
        text += (text.empty() ? "\"" : ", \"") + std::string(item) + "\"";
    }
    return text;
}

} // namespace

struct settings_reader::shared_state
{
    std::string file;
    std::optional<std::string> firstError;
    std::map<std::string, std::pair<const json *, std::set<std::string, std::less<>>>> opened; ///< By path: the object, and the keys asked for.
};

result<json> parseJsonWithComments(std::string_view text, std::string_view file)
{
    try {
        return json::parse(text, nullptr, true, true);
    } catch (const json::parse_error &error) {
        std::size_t line = 1;
        for (std::size_t i = 0; i + 1 < error.byte && i < text.size(); ++i) {
            line += text[i] == '\n' ? 1 : 0;
        }
        return fail(error_kind::BadSettings, std::string(file) + ":" + std::to_string(line) + ": not valid JSON (comments are allowed)");
    }
}

result<json> readJsonFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return fail(error_kind::BadSettings, path + ": cannot be read");
    }
    std::ostringstream content;
    content << stream.rdbuf();
    if (content.view().size() > maximumFileBytes) {
        return fail(error_kind::BadSettings, path + ": larger than 16 MiB");
    }
    return parseJsonWithComments(content.view(), path);
}

settings_reader::settings_reader(const json &object, std::string file)
    : settings_reader(object, "", std::make_shared<shared_state>())
{
    m_shared->file = std::move(file);
    if (!object.is_object()) {
        reject("", "must be an object");
    }
}

settings_reader::settings_reader(const json &object, std::string path, std::shared_ptr<shared_state> shared)
    : m_object(&object)
    , m_path(std::move(path))
    , m_shared(std::move(shared))
{
    m_shared->opened[m_path].first = m_object;
}

bool settings_reader::has(std::string_view key) const
{
    return m_object->is_object() && m_object->contains(key);
}

std::string settings_reader::pathOf(std::string_view key) const
{
    if (key.empty()) {
        return m_path.empty() ? "(top)" : m_path;
    }
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

void settings_reader::reject(std::string_view key, std::string_view reason)
{
    if (!m_shared->firstError) {
        m_shared->firstError = m_shared->file + ": " + pathOf(key) + ": " + std::string(reason);
    }
}

const json *settings_reader::find(std::string_view key, bool required, std::string_view wanted)
{
    m_shared->opened[m_path].second.insert(std::string(key));
    if (has(key)) {
        return &m_object->at(std::string(key));
    }
    if (required) {
        reject(key, "is missing; must be " + std::string(wanted));
    }
    return nullptr;
}

std::string settings_reader::text(std::string_view key, std::optional<std::string> fallback)
{
    const json *value = find(key, !fallback, "a text");
    if (value != nullptr && value->is_string()) {
        return value->get<std::string>();
    }
    if (value != nullptr) {
        reject(key, "must be a text");
    }
    return fallback.value_or("");
}

std::string settings_reader::choice(std::string_view key, std::span<const std::string_view> allowed, std::optional<std::string> fallback)
{
    std::string value = text(key, std::move(fallback));
    if (std::ranges::find(allowed, value) == allowed.end()) {
        reject(key, "must be one of " + listOf(allowed));
    }
    return value;
}

std::int64_t settings_reader::integer(std::string_view key, integer_range range, std::optional<std::int64_t> fallback)
{
    const std::string wanted = "a whole number from " + std::to_string(range.low) + " to " + std::to_string(range.high);
    const json *value = find(key, !fallback, wanted);
    if (value == nullptr) {
        return fallback.value_or(range.low);
    }
    const bool fits = value->is_number_integer() && (!value->is_number_unsigned() || value->get<std::uint64_t>() <= INT64_MAX);
    if (!fits || value->get<std::int64_t>() < range.low || value->get<std::int64_t>() > range.high) {
        reject(key, "must be " + wanted);
        return fallback.value_or(range.low);
    }
    return value->get<std::int64_t>();
}

double settings_reader::number(std::string_view key, number_range range, std::optional<double> fallback)
{
    std::ostringstream wanted;
    wanted << "a number from " << range.low << " to " << range.high;
    const json *value = find(key, !fallback, wanted.view());
    if (value == nullptr) {
        return fallback.value_or(range.low);
    }
    if (!value->is_number() || value->get<double>() < range.low || value->get<double>() > range.high) {
        reject(key, "must be " + wanted.str());
        return fallback.value_or(range.low);
    }
    return value->get<double>();
}

bool settings_reader::boolean(std::string_view key, std::optional<bool> fallback)
{
    const json *value = find(key, !fallback, "true or false");
    if (value != nullptr && value->is_boolean()) {
        return value->get<bool>();
    }
    if (value != nullptr) {
        reject(key, "must be true or false");
    }
    return fallback.value_or(false);
}

duration settings_reader::milliseconds(std::string_view key, integer_range range, std::optional<duration> fallback)
{
    std::optional<std::int64_t> fallbackCount;
    if (fallback) {
        fallbackCount = std::chrono::duration_cast<std::chrono::milliseconds>(*fallback).count();
    }
    return std::chrono::milliseconds(integer(key, range, fallbackCount));
}

std::vector<std::string> settings_reader::texts(std::string_view key, std::optional<std::vector<std::string>> fallback)
{
    const json *value = find(key, !fallback, "a list of texts");
    if (value == nullptr) {
        return fallback.value_or(std::vector<std::string>{});
    }
    const bool allTexts = value->is_array() && std::ranges::all_of(*value, [](const json &item) {
                              return item.is_string();
                          });
    if (!allTexts) {
        reject(key, "must be a list of texts");
        return {};
    }
    return value->get<std::vector<std::string>>();
}

settings_reader settings_reader::object(std::string_view key, bool required)
{
    static const json emptyObject = json::object();
    const json *value = find(key, required, "an object");
    if (value != nullptr && !value->is_object()) {
        reject(key, "must be an object");
        value = nullptr;
    }
    return settings_reader(value == nullptr ? emptyObject : *value, pathOf(key), m_shared);
}

std::vector<settings_reader> settings_reader::objects(std::string_view key, bool required)
{
    std::vector<settings_reader> readers;
    const json *value = find(key, required, "a list of objects");
    if (value == nullptr) {
        return readers;
    }
    if (!value->is_array()) {
        reject(key, "must be a list of objects");
        return readers;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        const std::string place = std::string(key) + "[" + std::to_string(i) + "]";
        if (!(*value)[i].is_object()) {
            reject(place, "must be an object");
            return readers;
        }
        readers.push_back(settings_reader((*value)[i], pathOf(place), m_shared));
    }
    return readers;
}

result<void> settings_reader::finish()
{
    for (const auto &[path, state] : m_shared->opened) {
        const auto &[object, asked] = state;
        if (m_shared->firstError || !object->is_object()) {
            break;
        }
        for (const auto &item : object->items()) {
            if (!asked.contains(item.key())) {
                const std::string place = path.empty() ? item.key() : path + "." + item.key();
                m_shared->firstError = m_shared->file + ": " + place + ": is not a known setting";
                break;
            }
        }
    }
    if (m_shared->firstError) {
        return fail(error_kind::BadSettings, *m_shared->firstError);
    }
    return {};
}

} // namespace reedtrail
