/**
 * @file
 * Entry points for random input. Each takes any bytes, must not crash, and checks with REEDTRAIL_CHECK what must hold for all input.
 *
 *     fuzzTarget("journal")->run(bytes);
 */
#pragma once

#include <array>
#include <string_view>

namespace reedtrail {

void fuzzSettings(std::string_view bytes); ///< Node file and fleet document.
void fuzzPeerMessages(std::string_view bytes); ///< Messages between the system's own processes.
void fuzzHttpRequests(std::string_view bytes); ///< Requests of callers: target, header fields, body.
void fuzzJournal(std::string_view bytes); ///< A segment of the spool's journal.

/** An entry point and its name, which is also the name of its corpus folder. */
struct fuzz_target
{
    std::string_view name;
    void (*run)(std::string_view bytes);
};

/** All entry points. */
inline constexpr std::array<fuzz_target, 4> fuzzTargets{ {
    { "settings", &fuzzSettings },
    { "peer_messages", &fuzzPeerMessages },
    { "http_requests", &fuzzHttpRequests },
    { "journal", &fuzzJournal },
} };

} // namespace reedtrail
