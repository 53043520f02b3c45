/**
 * @file
 * Text output for a terminal: tables with aligned columns, and JSON as indented text.
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

/** A heading and rows of text, printed as aligned columns. */
class text_table
{
public:
    explicit text_table(std::vector<std::string> heading);
    /** Adds a row. Missing cells are empty; cells beyond the heading are dropped. */
    void add(std::vector<std::string> row);
    /** Returns the heading and the rows. Columns are two spaces apart, and the last column is not padded. */
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

/** Returns a list of objects as a table with one column for each key of the first object. Nested values are printed as JSON. */
std::string tableOf(const nlohmann::json &objects);

/** Returns @p value as indented text: objects as "key: value" lines, lists of objects as tables, other values as they are. */
std::string readableText(const nlohmann::json &value, std::size_t indent = 0);

} // namespace reedtrail
