/**
 * @file
 * The one closed list of error kinds, and the table from a kind to the answer a caller gets.
 *
 * Everything that goes wrong in any process is one of these. A kind says what the caller may conclude, so a new kind is added only with its row:
 *
 *     const error_answer &answer = answerFor(error_kind::QueueDeadline);
 *     // answer.httpStatus == 503, answer.outcome == request_outcome::NotRun, answer.retrySafe == true
 */
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace reedtrail {

/** What a caller may conclude about a request that was not answered normally; sent as header Reedtrail-Outcome. */
enum class request_outcome : std::uint8_t {
    NotRun, ///< The request truly did not run; sending it again is safe.
    Unknown, ///< It may have run; a request that is not idempotent must not be sent again.
    Done, ///< It ran, and this is its answer.
};

/** Every kind of error there is. */
enum class error_kind : std::uint8_t {
    None, ///< No error.
    BadRequest, ///< The caller's request is malformed.
    Unauthorized, ///< No token, or one that is not known.
    Forbidden, ///< The token's role does not allow this.
    NotFound, ///< No such pool, run, plan or path.
    TooLarge, ///< Header or body over the limit.
    MemoryFull, ///< There is no room for the body beside those that are held; it was not read.
    CustomerLimit, ///< The customer has its full share waiting already.
    QueueDeadline, ///< The request could not have started before its deadline.
    NoServer, ///< No backend server that may serve it is left.
    Draining, ///< This node or server is leaving and takes nothing new.
    ServerRefused, ///< The backend server said that it did not start the request.
    ServerFailed, ///< The backend server failed after the request was handed to it.
    ServerSilent, ///< The connection gave no proof of life after the request was handed over.
    DeadlineExceeded, ///< The deadline passed after the request was handed over.
    Cancelled, ///< The caller went away.
    TicketForeign, ///< The ticket belongs to another incarnation of a node, which cannot be reached.
    TicketSpent, ///< The ticket was used before and its answer is no longer kept.
    TicketUnknown, ///< The ticket was never issued, or with another request body.
    Conflict, ///< The plan's base revision is no longer the current one.
    Fenced, ///< An order or write carried an older epoch.
    NotOwner, ///< This node does not own the run.
    StoreUnavailable, ///< The platform's store cannot be reached.
    StoreUnknown, ///< The store's answer was lost; the write may have taken effect.
    Stale, ///< A sample or weight version is older than the bound.
    BadSettings, ///< A settings file or document is wrong.
    BadUsage, ///< The command line is wrong.
    DiskFull, ///< The data folder has no room; nothing was promised.
    Corrupt, ///< A stored record fails its checksum.
    PeerUnreachable, ///< Another process of the system cannot be reached.
    Internal, ///< A defect; see the log.
};

/** Number of kinds, for loops over the whole list. */
inline constexpr std::size_t errorKindCount = static_cast<std::size_t>(error_kind::Internal) + 1;

/** A row of the table: what a caller, an operator and a shell see of a kind. */
struct error_answer
{
    error_kind kind;
    std::string_view name; ///< Stable name, for logs and JSON bodies.
    std::uint16_t httpStatus;
    request_outcome outcome;
    bool retrySafe; ///< Whether the caller may send the same request again at once or later.
    int exitCode; ///< Of a command-line program that ends with it.
    std::string_view text; ///< One sentence for a person.
};

/** Returns the row of @p kind. */
const error_answer &answerFor(error_kind kind);

/** Returns the whole table, in the order of the list. */
std::span<const error_answer> errorTable();

/** Returns the kind named @p name, or error_kind::Internal if there is none. */
error_kind errorKindNamed(std::string_view name);

/** Returns the header text of @p outcome: "not-run", "unknown" or "done". */
std::string_view outcomeText(request_outcome outcome);

} // namespace reedtrail
