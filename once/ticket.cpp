// Tickets apply the producer id, epoch and sequence number of "Kafka Transactions" to requests. In Kafka a coordinator assigns a producer id whose epoch fences
// all other holders, so a broker detects duplicates without asking anyone. Here the node is the producer id, its incarnation the epoch, and a counter the
// sequence number. Only the incarnation that issued a ticket may ever run it, so safety depends on no store, lease or fleet view. Unlike Kafka, where a new
// epoch takes over the transactions, nobody takes over a ticket: a request that a dead incarnation started stays unknown.
//
// The text is NODE.INCARNATION.TAG.SEQUENCE.ISSUED.SIGNATURE with numbers in hexadecimal. The signature is the first 16 bytes of an HMAC-SHA-256 over the other
// parts and the customer, with a secret that the process draws at its start, so that nobody can forge a ticket or use another customer's. The process tag is
// derived from the secret. If a clock set back gives two processes the same incarnation number, their tags differ, and a ticket of the other one is foreign
// instead of invalid. An unused ticket takes no memory; the limit of outstanding tickets is enforced by counting them per period of their lifetime.

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
constexpr std::size_t numericParts = 4; ///< Incarnation, process tag, sequence number and time of issue.
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

/** The parts of a ticket's text. */
struct ticket_parts
{
    std::string_view head; ///< The text before the signature, which the signature covers.
    std::string_view node;
    std::array<std::uint64_t, numericParts> numbers{}; ///< See numericParts.
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

/** Advances to the period of @p now and resets the counts of periods whose tickets have all expired. */
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
