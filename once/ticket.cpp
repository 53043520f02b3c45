// A ticket is the producer id, epoch and sequence of "Kafka Transactions" brought to requests. There the coordinator hands out an identity whose epoch fences
// every other holder, so that no broker needs to ask anybody whether a batch is a repeat. Here the node is the producer id, its incarnation the epoch, and a
// counter the sequence: a ticket can be run by the incarnation that issued it and by no other, ever, so no store, lease or view of the fleet is part of the
// argument. What differs: there a new epoch takes the transactions over, here nothing takes a ticket over, and what a dead incarnation began stays unknown.
//
// The text is NODE.INCARNATION.MARK.SEQUENCE.ISSUED.SIGNATURE with numbers in hexadecimal, signed with HMAC-SHA-256 (first 16 bytes) under a secret that the
// process drew at its start and over the customer, so that nobody can make one or use another customer's. The mark is derived from the secret: two processes
// with the same incarnation number (a clock set back) differ in it, so the other's ticket is foreign, not invalid. Nothing is kept for an unused ticket; a
// count for each thirty-second part of the lifetime bounds how many are outstanding.

#include "once/ticket.h"

#include <algorithm>
#include <charconv>
#include <numeric>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace reedtrail {
namespace {

constexpr std::size_t signatureBytes = 16;
constexpr std::size_t numericParts = 4; ///< Incarnation, mark, sequence and instant of issue.
constexpr std::size_t processTagDigits = 16;
constexpr int hexadecimal = 16;

std::string hexText(std::uint64_t value)
{
    std::array<char, 20> digits{};
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), value, hexadecimal);
    return std::string(digits.data(), end);
}

std::optional<std::uint64_t> hexNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
    const bool isWhole = error == std::errc{} && rest == text.data() + text.size() && !text.empty();
    return isWhole ? std::optional(value) : std::nullopt;
}

/** A ticket's parts. */
struct ticket_parts
{
    std::string_view head; ///< All that is signed.
    std::string_view node;
    std::array<std::uint64_t, numericParts> numbers{};
    std::string_view signature;
};

std::optional<ticket_parts> parseTicket(std::string_view text)
{
    ticket_parts parts;
    std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    parts.signature = text.substr(dot + 1);
    parts.head = text.substr(0, dot);
    std::string_view rest = parts.head;
    for (std::size_t part = numericParts; part-- > 0;) {
        dot = rest.rfind('.');
        const std::optional<std::uint64_t> number = dot == std::string_view::npos ? std::nullopt : hexNumber(rest.substr(dot + 1));
        if (!number) {
            return std::nullopt;
        }
        parts.numbers[part] = *number;
        rest = rest.substr(0, dot);
    }
    parts.node = rest;
    return parts.node.empty() ? std::nullopt : std::optional(parts);
}

} // namespace

ticket_issuer::ticket_issuer(node_id node, incarnation number, ticket_secret secret, ticket_options options)
    : m_node(std::move(node))
    , m_number(number)
    , m_secret(secret)
    , m_options(options)
    , m_processTag(hexNumber(std::string_view(sign("mark", customer_id())).substr(0, processTagDigits)).value_or(0))
{
}

std::optional<std::string> ticket_issuer::issue(time_point now, const customer_id &customer)
{
    if (outstanding(now) >= m_options.maximumOutstanding) {
        return std::nullopt;
    }
    ++m_issuedInPeriod[static_cast<std::size_t>(m_period) % periodCount];
    const auto issuedAt = static_cast<std::uint64_t>(now.time_since_epoch().count());
    const std::string head = m_node.str() + "." + hexText(m_number) + "." + hexText(m_processTag) + "." + hexText(++m_lastSequence) + "." + hexText(issuedAt);
    return head + "." + sign(head, customer);
}

ticket_check ticket_issuer::check(time_point now, const customer_id &customer, std::string_view text) const
{
    const std::optional<ticket_parts> parts = parseTicket(text);
    if (!parts) {
        return {};
    }
    const gate_incarnation issuer{ node_id(std::string(parts->node)), parts->numbers[0] };
    if (issuer != gate_incarnation{ m_node, m_number } || parts->numbers[1] != m_processTag) {
        return { ticket_status::Foreign, issuer };
    }
    const std::string expectedSignature = sign(parts->head, customer);
    const bool isSigned =
        parts->signature.size() == expectedSignature.size() && CRYPTO_memcmp(parts->signature.data(), expectedSignature.data(), expectedSignature.size()) == 0;
    if (!isSigned) {
        return {};
    }
    const time_point issuedAt{ duration(static_cast<std::int64_t>(parts->numbers[3])) };
    return { now - issuedAt > m_options.lifetime ? ticket_status::Expired : ticket_status::Own, issuer };
}

std::size_t ticket_issuer::outstanding(time_point now)
{
    resetExpiredPeriods(now);
    return std::accumulate(m_issuedInPeriod.begin(), m_issuedInPeriod.end(), std::size_t{ 0 });
}

/** Forgets the counts of periods that lie a whole lifetime back. */
void ticket_issuer::resetExpiredPeriods(time_point now)
{
    const std::int64_t length = std::max<std::int64_t>(1, m_options.lifetime.count() / static_cast<std::int64_t>(periodCount - 1));
    const std::int64_t period = now.time_since_epoch().count() / length;
    for (std::size_t steps = 0; m_period < period && steps < periodCount; ++steps) {
        ++m_period;
        m_issuedInPeriod[static_cast<std::size_t>(m_period) % periodCount] = 0;
    }
    m_period = std::max(m_period, period);
}

std::string ticket_issuer::sign(std::string_view head, const customer_id &customer) const
{
    std::string message(head);
    message.append("/").append(customer.view());
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    HMAC(EVP_sha256(),
         m_secret.data(),
         static_cast<int>(m_secret.size()),
         reinterpret_cast<const unsigned char *>(message.data()),
         message.size(),
         digest.data(),
         &length);
    std::string text;
    for (std::size_t i = 0; i < signatureBytes; ++i) {
        constexpr std::string_view digits = "0123456789abcdef";
        text += digits[digest[i] >> 4U];
        text += digits[digest[i] & 0xFU];
    }
    return text;
}

} // namespace reedtrail
