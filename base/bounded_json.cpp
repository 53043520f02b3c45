// The parser is iterative, but copying, printing and comparing a tree are recursive and overflow the stack if it is deep. The depth is therefore checked before
// the tree is built, in one pass that counts brackets outside of strings. Up to the first byte that is not JSON, this pass and the parser agree on what a
// string is; after it the parser builds nothing. The pass takes a tenth of the time of the parser; a parser callback would double that time.

#include "base/bounded_json.h"

namespace reedtrail {
namespace {

/** Returns the position after the string that begins at @p from, which is a quotation mark. */
std::size_t endOfString(std::string_view text, std::size_t from)
{
    std::size_t at = from + 1;
    while (at < text.size() && text[at] != '"') {
        at += text[at] == '\\' ? 2 : 1;
    }
    return at + 1;
}

bool isDeeperThan(std::string_view text, std::size_t maxDepth)
{
    std::size_t depth = 0;
    for (std::size_t at = 0; at < text.size(); ++at) {
        switch (text[at]) {
        case '"':
            at = endOfString(text, at) - 1;
            break;
        case '[':
        case '{':
            if (++depth > maxDepth) {
                return true;
            }
            break;
        case ']':
        case '}':
            depth -= depth > 0 ? 1 : 0;
            break;
        default:
            break;
        }
    }
    return false;
}

} // namespace

nlohmann::json parseBoundedJson(std::string_view text, std::size_t maxDepth)
{
    return isDeeperThan(text, maxDepth) ? nlohmann::json(nlohmann::json::value_t::discarded) : nlohmann::json::parse(text, nullptr, false);
}

nlohmann::json parseBoundedJson(std::string_view text, const nlohmann::json::parser_callback_t &keeps, std::size_t maxDepth)
{
    return isDeeperThan(text, maxDepth) ? nlohmann::json(nlohmann::json::value_t::discarded) : nlohmann::json::parse(text, keeps, false);
}

} // namespace reedtrail
