/**
 * @file
 * Fuzz targets. Each accepts any bytes, must not crash, and uses REEDTRAIL_CHECK for the properties that hold for every input.
 *
 *     for (const fuzz_target &target : fuzzTargets) {
 *         target.run(bytes);
 *     }
 */
#pragma once

#include <array>
#include <string_view>

namespace reedtrail {

void fuzzSettings(std::string_view bytes); ///< Parses the input as node file and as fleet document.
void fuzzPeerMessages(std::string_view bytes); ///< Decodes the input as a message between processes of the system.
void fuzzHttpRequests(std::string_view bytes); ///< Parses the input as a caller's request: target, header fields, body.
void fuzzJournal(std::string_view bytes); ///< Scans the input as a segment of the spool's journal.
void fuzzPlatformDocuments(std::string_view bytes); ///< Decodes the input as each document that others write on the users' platform.

/** A fuzz target and its name, which is also the name of its corpus folder. */
struct fuzz_target
{
    std::string_view name;
    void (*run)(std::string_view bytes);
};

/** All fuzz targets. */
inline constexpr std::array<fuzz_target, 5> fuzzTargets{ {
    { "settings", &fuzzSettings },
    { "peer_messages", &fuzzPeerMessages },
    { "http_requests", &fuzzHttpRequests },
    { "journal", &fuzzJournal },
    { "platform_documents", &fuzzPlatformDocuments },
} };

} // namespace reedtrail
