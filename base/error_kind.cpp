// The table is the only place that says how an error is answered. Its outcome column carries the promise "not run": a kind has NotRun only if it can
// be raised solely before the first byte of the request was handed to a backend connection, or on the backend server's own word that it did not
// start. Exit codes of programs: 0 fine, 1 failed check, 2 wrong usage, 3 wrong settings, 4 refused or conflict, 5 unreachable, 6 data, 70 defect.

#include "base/error_kind.h"

#include <algorithm>
#include <array>

namespace reedtrail {
namespace {

using enum request_outcome;

constexpr std::array<error_answer, errorKindCount> table{ {
    { error_kind::None, "none", 200, Done, true, 0, "no error" },
    { error_kind::BadRequest, "bad-request", 400, NotRun, false, 2, "the request is malformed" },
    { error_kind::Unauthorized, "unauthorized", 401, NotRun, false, 4, "the token is missing or not known" },
    { error_kind::Forbidden, "forbidden", 403, NotRun, false, 4, "the token's role does not allow this" },
    { error_kind::NotFound, "not-found", 404, NotRun, false, 4, "there is no such thing" },
    { error_kind::TooLarge, "too-large", 413, NotRun, false, 4, "the request is over a size limit" },
    { error_kind::MemoryFull, "memory-full", 503, NotRun, true, 4, "there is no room for the request's body now" },
    { error_kind::CustomerLimit, "customer-limit", 429, NotRun, true, 4, "the customer's share of the queue is full" },
    { error_kind::QueueDeadline, "queue-deadline", 503, NotRun, true, 4, "the request could not start before its deadline" },
    { error_kind::NoServer, "no-server", 503, NotRun, true, 5, "no backend server can take the request" },
    { error_kind::Draining, "draining", 503, NotRun, true, 5, "this node is shutting down and takes no new requests" },
    { error_kind::ServerRefused, "server-refused", 503, NotRun, true, 5, "the backend server did not start the request" },
    { error_kind::ServerFailed, "server-failed", 502, Unknown, false, 5, "the backend server failed after it was given the request" },
    { error_kind::ServerSilent, "server-silent", 504, Unknown, false, 5, "the connection to the backend server went silent" },
    { error_kind::DeadlineExceeded, "deadline-exceeded", 504, Unknown, false, 5, "the deadline passed while the request was running" },
    { error_kind::Cancelled, "cancelled", 499, Unknown, false, 4, "the caller cancelled the request" },
    { error_kind::TicketForeign, "ticket-foreign", 503, Unknown, true, 5, "the node that issued the ticket cannot be reached; it may have run the request" },
    { error_kind::TicketSpent, "ticket-spent", 409, Unknown, false, 4, "the ticket was used before and its answer is no longer kept" },
    { error_kind::TicketUnknown, "ticket-unknown", 409, NotRun, false, 4, "the ticket was not issued for this request" },
    { error_kind::Conflict, "conflict", 409, NotRun, false, 4, "the settings changed since the plan was made" },
    { error_kind::Fenced, "fenced", 409, NotRun, false, 4, "the epoch is older than the current one" },
    { error_kind::NotOwner, "not-owner", 421, NotRun, true, 4, "this node does not own the run" },
    { error_kind::StoreUnavailable, "store-unavailable", 503, NotRun, true, 5, "the platform's store cannot be reached" },
    { error_kind::StoreUnknown, "store-unknown", 504, Unknown, false, 5, "the store's answer was lost after the write was sent" },
    { error_kind::Stale, "stale", 409, NotRun, false, 4, "the version is older than the staleness bound" },
    { error_kind::BadSettings, "bad-settings", 400, NotRun, false, 3, "the settings are wrong" },
    { error_kind::BadUsage, "bad-usage", 400, NotRun, false, 2, "the command line is wrong" },
    { error_kind::DiskFull, "disk-full", 507, NotRun, true, 6, "the data folder has no room left" },
    { error_kind::Corrupt, "corrupt", 500, Unknown, false, 6, "a stored record fails its checksum" },
    { error_kind::PeerUnreachable, "peer-unreachable", 503, Unknown, true, 5, "another process of the system cannot be reached" },
    { error_kind::Internal, "internal", 500, Unknown, false, 70, "an internal check failed" },
} };

constexpr bool inOrder()
{
    for (std::size_t i = 0; i < table.size(); ++i) {
        if (static_cast<std::size_t>(table[i].kind) != i) {
            return false;
        }
    }
    return true;
}
static_assert(inOrder(), "the table must follow the order of the list");

} // namespace

const error_answer &answerFor(error_kind kind)
{
    return table[static_cast<std::size_t>(kind)];
}

std::span<const error_answer> errorTable()
{
    return table;
}

error_kind errorKindNamed(std::string_view name)
{
    const auto row = std::ranges::find(table, name, &error_answer::name);
    return row == table.end() ? error_kind::Internal : row->kind;
}

std::string_view outcomeText(request_outcome outcome)
{
    switch (outcome) {
    case NotRun:
        return "not-run";
    case Unknown:
        return "unknown";
    case Done:
        return "done";
    }
    return "unknown";
}

} // namespace reedtrail
