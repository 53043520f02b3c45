#include "edge/snapshot_server.h"

#include "base/cbor_codec.h"
#include "net/http_status.h"

namespace reedtrail {

void snapshot_server::serve(const std::shared_ptr<http_exchange> &exchange) const
{
    snapshot_query query;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        const std::string &body = exchange->request().body;
        BOOST_LEAF_AUTO(message, decodeEnvelope({ reinterpret_cast<const std::uint8_t *>(body.data()), body.size() }));
        BOOST_LEAF_ASSIGN(query, decodeBody<snapshot_query>(message));
        return {};
    });
    const auto found = m_mirrors.find(query.prefix);
    if (error || found == m_mirrors.end()) {
        exchange->respond(textResponse(http_status::badRequest, "bad query\n"));
        return;
    }
    if (m_context.isDraining) {
        exchange->respond(textResponse(http_status::unavailable, ""));
        return;
    }
    found->second->serve(query, [exchange](const std::optional<snapshot_reply> &reply) {
        if (!reply) {
            exchange->respond(textResponse(http_status::unavailable, ""));
            return;
        }
        const std::vector<std::uint8_t> bytes = encodeMessage(*reply);
        http_response response;
        response.status = http_status::ok;
        response.body.assign(bytes.begin(), bytes.end());
        exchange->respond(std::move(response));
    });
}

} // namespace reedtrail
