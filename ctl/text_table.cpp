// The output does not depend on the fields of the answers, so fields that a newer steward adds are printed as well.

#include "ctl/text_table.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr std::size_t columnGap = 2;

std::string cellText(const nlohmann::json &value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    return value.is_null() ? "-" : value.dump();
}

bool isTable(const nlohmann::json &value)
{
    return value.is_array() && !value.empty() && std::ranges::all_of(value, [](const nlohmann::json &item) {
               return item.is_object();
           });
}

std::string indented(const std::string &text, std::size_t indent)
{
    std::string result;
    bool atLineStart = true;
    for (const char letter : text) {
        if (atLineStart && letter != '\n') {
            result.append(indent, ' ');
        }
        result += letter;
        atLineStart = letter == '\n';
    }
    return result;
}

} // namespace

text_table::text_table(std::vector<std::string> heading)
{
    m_rows.push_back(std::move(heading));
}

void text_table::add(std::vector<std::string> row)
{
    row.resize(m_rows.front().size());
    m_rows.push_back(std::move(row));
}

std::string text_table::text() const
{
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const std::vector<std::string> &row : m_rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string lines;
    for (const std::vector<std::string> &row : m_rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            const bool isLast = column + 1 == row.size();
            lines += row[column];
            lines.append(isLast ? 0 : widths[column] - row[column].size() + columnGap, ' ');
        }
        lines += '\n';
    }
    return lines;
}

std::string tableOf(const nlohmann::json &objects)
{
    std::vector<std::string> heading;
    for (const auto &item : objects.front().items()) {
        heading.push_back(item.key());
    }
    text_table table(heading);
    for (const nlohmann::json &object : objects) {
        std::vector<std::string> row;
        row.reserve(heading.size());
        for (const std::string &key : heading) {
            row.push_back(object.contains(key) ? cellText(object.at(key)) : "");
        }
        table.add(std::move(row));
    }
    return table.text();
}

std::string readableText(const nlohmann::json &value, std::size_t indent)
{
    constexpr std::size_t step = 2;
    if (isTable(value)) {
        return indented(tableOf(value), indent);
    }
    if (!value.is_object()) {
        return indented(cellText(value) + "\n", indent);
    }
    std::string text;
    for (const auto &item : value.items()) {
        const bool isNested = (item.value().is_object() && !item.value().empty()) || isTable(item.value());
        text += indented(item.key() + ":" + (isNested ? "\n" : " " + cellText(item.value()) + "\n"), indent);
        if (isNested) {
            text += readableText(item.value(), indent + step);
        }
    }
    return text;
}

} // namespace reedtrail
