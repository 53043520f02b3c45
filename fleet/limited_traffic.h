/**
 * @file
 * Counts what this node sends to servers that have named a limit, by kind, for one log line per server and interval. Makes no I/O calls.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace reedtrail {

/** Everything that a node sends to backend servers. */
enum class send_kind : std::uint8_t { Request, Retry, Item, Score, Report, Order };

/** Number of kinds. */
inline constexpr std::size_t sendKinds = 6;

/** Returns the name of a kind in logs and metrics. */
std::string_view sendKindName(send_kind kind);

/** Sends to servers with a limit since the last report. */
class limited_traffic
{
public:
    /** Counts of one server. */
    struct counts
    {
        std::array<std::uint32_t, sendKinds> sent{}; ///< By send_kind.
        std::uint32_t denied = 0; ///< Sends that the limit did not allow.
    };

    void recordSend(std::string_view server, send_kind kind)
    {
        ++rowOf(server).sent[static_cast<std::size_t>(kind)];
    }
    void recordDenial(std::string_view server)
    {
        ++rowOf(server).denied;
    }
    /** Returns the counts by server since the last call, and starts anew. */
    std::map<std::string, counts, std::less<>> take();

private:
    counts &rowOf(std::string_view server);

    std::map<std::string, counts, std::less<>> m_rows;
};

/** Returns the counts by kind in the form of a log field, such as "request:2,score:5"; "-" if there are none. */
std::string describeSends(const limited_traffic::counts &row);

} // namespace reedtrail
