// The span asked about is sent as ages, because clocks of two nodes are never compared. The time on the way makes it look a little later to the node asked,
// which is far below the heartbeats that matter.

#include "edge/contact_witness_client.h"

#include "edge/peer_protocol.h"
#include "kernel/log.h"

#include <algorithm>

namespace reedtrail {

using namespace peer_protocol;

namespace {

constexpr duration askTimeout = std::chrono::milliseconds(300); // A hundred times the network latency between zones.

/** Answers collected so far. */
struct collected_answers
{
    std::size_t outstanding = 0;
    std::optional<duration> shortest;
    std::function<void(std::optional<duration>)> onAnswer;
};

} // namespace

void contact_witness_client::ask(const outage_tracker::span &doubt, std::function<void(std::optional<duration>)> onAnswer)
{
    const std::vector<endpoint> witnesses = m_router.witnesses();
    if (witnesses.empty()) {
        m_loop.after(duration::zero(), [onAnswer = std::move(onAnswer)] {
            onAnswer(std::nullopt);
        });
        return;
    }
    const auto answers = std::make_shared<collected_answers>(collected_answers{ witnesses.size(), std::nullopt, std::move(onAnswer) });
    const time_point now = m_loop.now();
    for (const endpoint &address : witnesses) {
        http_request request;
        request.target = contactPath;
        request.fields.set(fromAgeField, std::to_string((now - doubt.from).count()));
        request.fields.set(untilAgeField, std::to_string((now - doubt.until).count()));
        http_call_options options;
        options.connectTimeout = askTimeout;
        options.silenceTimeout = askTimeout;
        options.deadline = askTimeout;
        m_peerClient.call(address, std::move(request), options, [answers](const http_call_end &end, const http_response &response) {
            if (end.error == error_kind::None && response.status == http_status::ok) {
                const duration gap(static_cast<std::int64_t>(numberField(response.fields, gapField)));
                answers->shortest = std::min(answers->shortest.value_or(gap), gap);
            }
            if (--answers->outstanding == 0) {
                answers->onAnswer(answers->shortest);
            }
        });
    }
}

void contact_witness_client::serve(const std::shared_ptr<http_exchange> &exchange, const outage_tracker &outages, time_point now)
{
    const http_fields &fields = exchange->request().fields;
    const duration fromAge(static_cast<std::int64_t>(numberField(fields, fromAgeField)));
    const duration untilAge(static_cast<std::int64_t>(numberField(fields, untilAgeField)));
    const std::optional<duration> gap = outages.longestGap({ now - fromAge, now - untilAge });
    http_response response = textResponse(gap ? http_status::ok : http_status::noContent, "");
    if (gap) {
        response.fields.set(gapField, std::to_string(gap->count()));
    }
    exchange->respond(std::move(response));
}

} // namespace reedtrail
