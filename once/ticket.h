/**
 * @file
 * Tickets name requests that must run at most once. A ticket is bound to one incarnation of one node, and only that incarnation may ever run its request.
 *
 *     ticket_issuer issuer(node_id("entry-a1"), incarnation, secret, {});
 *     std::optional<std::string> text = issuer.issue(now, customer);            // returned to the caller by POST /v1/tickets
 *     ticket_check check = issuer.check(now, customer, text);                   // status: Own, Foreign (issued by check.issuer), Expired or Invalid
 */
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace reedtrail {

/** One incarnation (one run of the process) of one node's gate. Each named request is bound to one of these. */
struct gate_incarnation
{
    node_id node;
    incarnation number = 0; ///< Identifies one start of the node's process.
    auto operator<=>(const gate_incarnation &) const = default;
};

/** Status of a ticket at the gate that checks it. */
enum class ticket_status : std::uint8_t {
    Own, ///< Issued by this incarnation to this customer, and not expired.
    Foreign, ///< Issued by another node or by another incarnation of this node.
    Expired, ///< Issued by this incarnation, but so old that its use may be forgotten.
    Invalid, ///< Not issued to this customer, or not a ticket.
};

/** Result of ticket_issuer::check(). */
struct ticket_check
{
    ticket_status status = ticket_status::Invalid;
    gate_incarnation issuer; ///< Who issued the ticket; empty if it is invalid.
};

/** Options of ticket_issuer. */
struct ticket_options
{
    duration lifetime = std::chrono::minutes(10);
    std::size_t maximumOutstanding = 200000; ///< Tickets issued and not yet expired.
};

/** Key of an issuer's signatures. Each process draws a random one at its start. */
using ticket_secret = std::array<std::uint8_t, 32>;

/** Issues and checks tickets. Its memory does not grow with the number of tickets: it counts them per period of their lifetime. */
class ticket_issuer
{
public:
    ticket_issuer(node_id node, incarnation number, ticket_secret secret, ticket_options options);

    /** Issues a ticket. @return nothing if the limit of outstanding tickets is reached */
    std::optional<std::string> issue(time_point now, const customer_id &customer);
    /** Checks a ticket that a caller presents, directly or through another gate. */
    ticket_check check(time_point now, const customer_id &customer, std::string_view text) const;
    /** Returns how many tickets were issued and have not expired. */
    std::size_t outstanding(time_point now);
    const ticket_options &options() const
    {
        return m_options;
    }

private:
    static constexpr std::size_t periodCount = 32; ///< Periods into which the lifetime is divided to count outstanding tickets.

    std::string sign(std::string_view head, const customer_id &customer) const;
    void resetExpiredPeriods(time_point now);

    node_id m_node;
    incarnation m_number;
    ticket_secret m_secret;
    ticket_options m_options;
    std::uint64_t m_processTag; ///< Distinguishes two processes with the same incarnation number.
    std::uint64_t m_lastSequence = 0;
    std::array<std::size_t, periodCount> m_issuedInPeriod{};
    std::int64_t m_period = 0;
};

} // namespace reedtrail
