/**
 * @file
 * Tickets: names for requests that must run at most once, bound to one incarnation of one node, which alone may ever run them.
 *
 *     ticket_issuer issuer(node_id("entry-a1"), incarnation, secret, {});
 *     std::optional<std::string> text = issuer.issue(now, customer);            // given to the caller by POST /v1/tickets
 *     ticket_check check = issuer.check(now, customer, text);                    // Own, Foreign (of check.issuer), Expired or Invalid
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

/** Who may run a request. */
struct gate_incarnation
{
    node_id node;
    incarnation number = 0;
    auto operator<=>(const gate_incarnation &) const = default;
};

/** What a ticket is to the gate that sees it. */
enum class ticket_status : std::uint8_t {
    Own, ///< Issued by this incarnation to this customer, and not expired.
    Foreign, ///< Of another node, or of an earlier incarnation of this one.
    Expired, ///< Own, but too old: whether it was used may be forgotten.
    Invalid, ///< Never issued to this customer, or no ticket at all.
};

/** The result of a check. */
struct ticket_check
{
    ticket_status status = ticket_status::Invalid;
    gate_incarnation issuer; ///< Of an own, foreign or expired ticket.
};

/** Bounds of an issuer. */
struct ticket_options
{
    duration lifetime = std::chrono::minutes(10);
    std::size_t maximumOutstanding = 200000; ///< Tickets issued and not yet expired.
};

/** Key of an issuer's signatures, drawn anew by each process. */
using ticket_secret = std::array<std::uint8_t, 32>;

/** Issues and checks tickets; keeps a few words a second of issuing, not one for each ticket. */
class ticket_issuer
{
public:
    ticket_issuer(node_id node, incarnation number, ticket_secret secret, ticket_options options);

    /** Issues a ticket. @return nothing if as many as allowed are outstanding */
    std::optional<std::string> issue(time_point now, const customer_id &customer);
    /** Checks a ticket that a caller, or another gate for it, presents. */
    ticket_check check(time_point now, const customer_id &customer, std::string_view text) const;
    /** Returns how many tickets were issued and have not expired. */
    std::size_t outstanding(time_point now);
    const ticket_options &options() const
    {
        return m_options;
    }

private:
    static constexpr std::size_t periodCount = 32; ///< The lifetime is counted in this many periods.

    std::string sign(std::string_view head, const customer_id &customer) const;
    void resetExpiredPeriods(time_point now);

    node_id m_node;
    incarnation m_number;
    ticket_secret m_secret;
    ticket_options m_options;
    std::uint64_t m_processTag; ///< Tells two processes of the same incarnation number apart.
    std::uint64_t m_lastSequence = 0;
    std::array<std::size_t, periodCount> m_issuedInPeriod{};
    std::int64_t m_period = 0;
};

} // namespace reedtrail
