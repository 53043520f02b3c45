/**
 * @file
 * Messages between nodes on which build, version of a server's software, began a caller's stream.
 */
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** What began a stream. */
struct stream_origin
{
    std::uint64_t request = 0; ///< Digest of the caller's request, as request_identity::digest.
    std::string service;
    std::string build; ///< Empty if it is unknown.
    std::string server; ///< The instance that brought the first event.
    std::int64_t startedAt = 0;
    bool isProven = false; ///< Whether that instance is certain. If not, the receiver may still prove it by what it knows of the registrations.
    std::int64_t connectionAgeUs = 0; ///< Age of the connection to it when the message was sent; only if it is not proven.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(stream_origin, request, service, build, server, startedAt, isProven, connectionAgeUs)
};

/** The origin of one stream, which the receiver keeps. */
struct stream_record
{
    std::string stream; ///< Id of the caller's request that brought its first event.
    stream_origin origin;
    std::int64_t keepUs = 0; ///< For how long it may be asked for.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(stream_record, stream, origin, keepUs)
};

/** Records to keep, and at most one question. */
struct stream_message
{
    static constexpr std::string_view messageName = "stream-message";
    std::vector<stream_record> records;
    std::string askedStream; ///< Id of the stream whose origin is asked for; empty for none.
    std::string askedService;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(stream_message, records, askedStream, askedService)
};

/** The answer to a question. */
struct stream_reply
{
    static constexpr std::string_view messageName = "stream-reply";
    std::vector<stream_origin> origins; ///< The origin; empty if the node does not have it.
    std::string soleBuild; ///< The only build that the node has seen in the service; empty if it sees several, or no server.
    std::int64_t soleForUs = 0; ///< For how long.
    std::int64_t stateAgeUs = 0; ///< Age of the state of the registrations on which soleBuild rests.
    std::int64_t changedAgoUs = -1; ///< Time since the node saw the builds of the service change; below zero if it has seen no change.
    bool isMixed = false; ///< Whether the node sees several builds in the service.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(stream_reply, origins, soleBuild, soleForUs, stateAgeUs, changedAgoUs, isMixed)
};

} // namespace reedtrail
