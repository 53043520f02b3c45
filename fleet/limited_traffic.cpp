// Rows exist only for servers with limits and are taken each second, so the map stays as small as the number of servers in need.

#include "fleet/limited_traffic.h"

#include <utility>

namespace reedtrail {
namespace {

constexpr std::array<std::string_view, sendKinds> kindNames = { "request", "retry", "item", "score", "report", "order" };

} // namespace

std::string_view sendKindName(send_kind kind)
{
    return kindNames[static_cast<std::size_t>(kind)];
}

std::map<std::string, limited_traffic::counts, std::less<>> limited_traffic::take()
{
    return std::exchange(m_rows, {});
}

limited_traffic::counts &limited_traffic::rowOf(std::string_view server)
{
    const auto found = m_rows.find(server);
    return found != m_rows.end() ? found->second : m_rows[std::string(server)];
}

std::string describeSends(const limited_traffic::counts &row)
{
    std::string text;
    for (std::size_t kind = 0; kind < sendKinds; ++kind) {
        if (row.sent[kind] > 0) {
            text += (text.empty() ? "" : ",") + std::string(kindNames[kind]) + ":" + std::to_string(row.sent[kind]);
        }
    }
    return text.empty() ? "-" : text;
}

} // namespace reedtrail
