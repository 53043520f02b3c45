#include "edge/peer_snapshot_source.h"

#include "base/cbor_codec.h"
#include "edge/peer_protocol.h"
#include "kernel/log.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr duration askTimeout = std::chrono::milliseconds(1000); // The mirror passes the reader over long before; a late reply still updates it.

std::optional<snapshot_reply> decodeReply(const http_response &response)
{
    std::optional<snapshot_reply> reply;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        const auto *bytes = reinterpret_cast<const std::uint8_t *>(response.body.data());
        BOOST_LEAF_AUTO(message, decodeEnvelope({ bytes, response.body.size() }));
        BOOST_LEAF_AUTO(body, decodeBody<snapshot_reply>(message));
        reply = std::move(body);
        return {};
    });
    if (error) {
        logLine(log_level::Warning, "snapshot-reply-unreadable", { { "reason", error->detail }, { "bytes", std::to_string(response.body.size()) } });
    }
    return reply;
}

} // namespace

void peer_snapshot_source::list(const std::string &prefix, bool isPrefix, std::function<void(const store_range_answer &)> onListing)
{
    m_store.range({ prefix, isPrefix, 0 }, std::move(onListing));
}

void peer_snapshot_source::changes(const std::string &prefix, store_revision after, std::function<void(const store_change_answer &)> onChanges)
{
    m_store.changes(prefix, after, std::move(onChanges));
}

std::optional<std::string> peer_snapshot_source::reader()
{
    if (!m_router.hasPeers() && !m_settings.seeds.empty()) {
        const endpoint &seed = m_settings.seeds[m_random.below(m_settings.seeds.size())];
        return seed == m_settings.peers ? std::nullopt : std::optional(seed.text());
    }
    const auto reader = m_router.zoneReader(m_loop.now());
    return reader ? std::optional(reader->first) : std::nullopt;
}

std::optional<endpoint> peer_snapshot_source::addressOf(const std::string &reader) const
{
    const auto seed = std::ranges::find_if(m_settings.seeds, [&](const endpoint &each) {
        return each.text() == reader;
    });
    return seed != m_settings.seeds.end() ? std::optional(*seed) : m_router.peerAddress(reader);
}

void peer_snapshot_source::ask(const std::string &reader, const snapshot_query &query, std::function<void(const std::optional<snapshot_reply> &)> onReply)
{
    const std::optional<endpoint> address = addressOf(reader);
    if (!address) {
        m_loop.after(duration::zero(), [onReply = std::move(onReply)] {
            onReply(std::nullopt);
        });
        return;
    }
    const std::vector<std::uint8_t> bytes = encodeMessage(query);
    http_request request;
    request.method = "POST";
    request.target = peer_protocol::snapshotPath;
    request.body.assign(bytes.begin(), bytes.end());
    http_call_options options;
    options.connectTimeout = askTimeout;
    options.silenceTimeout = askTimeout;
    options.deadline = askTimeout;
    const time_point askedAt = m_loop.now();
    m_peerClient.call(
        *address, std::move(request), options, [this, askedAt, onReply = std::move(onReply)](const http_call_end &end, const http_response &response) {
            const bool isAnswered = end.error == error_kind::None && response.status == http_status::ok;
            const std::optional<snapshot_reply> reply = isAnswered ? decodeReply(response) : std::nullopt;
            if (reply) {
                m_outages.recordContact(askedAt - reply->age(), m_loop.now()); // The store answered the reader within this time.
            }
            onReply(reply);
        });
}

void peer_snapshot_source::recordReaderFailure(const std::string &reader)
{
    logLine(log_level::Info, "reader-passed-over", { { "reader", reader } });
    m_router.recordReaderFailure(m_loop.now(), reader);
}

void peer_snapshot_source::recordReaderSuccess(const std::string &reader)
{
    m_router.recordReaderSuccess(reader);
}

} // namespace reedtrail
