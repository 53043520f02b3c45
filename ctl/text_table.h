/**
 * @file
 * Aligned columns for a terminal.
 *
 *     text_table table({"node", "zone"});
 *     table.add({"entry-a1", "highland-a"});
 *     std::cout << table.text();
 */
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace reedtrail {

/** Rows of text under a heading. */
class text_table
{
public:
    explicit text_table(std::vector<std::string> heading);
    /** Adds a row; missing cells are empty, surplus ones are dropped. */
    void add(std::vector<std::string> row);
    /** Returns the lines, columns two spaces apart, the last one not padded. */
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

/** Returns a table of a list of flat objects, one column for each key of the first; other values as JSON. */
std::string tableOf(const nlohmann::json &objects);

/** Returns any JSON as indented text: objects as "key: value" lines, lists of objects as tables. */
std::string readableText(const nlohmann::json &value, std::size_t indent = 0);

} // namespace reedtrail
