// The answer is an age, because clocks of two nodes are never compared. It counts from its arrival, so the moment looks later by the time on the way.

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
    std::optional<time_point> earliest;
    std::function<void(std::optional<time_point>)> onAnswer;
};

} // namespace

void contact_witness_client::ask(std::function<void(std::optional<time_point>)> onAnswer)
{
    const std::vector<endpoint> witnesses = m_router.witnesses();
    if (witnesses.empty()) {
        m_loop.after(duration::zero(), [onAnswer = std::move(onAnswer)] {
            onAnswer(std::nullopt);
        });
        return;
    }
    const auto answers = std::make_shared<collected_answers>(collected_answers{ witnesses.size(), std::nullopt, std::move(onAnswer) });
    for (const endpoint &address : witnesses) {
        http_request request;
        request.target = contactPath;
        http_call_options options;
        options.connectTimeout = askTimeout;
        options.silenceTimeout = askTimeout;
        options.deadline = askTimeout;
        m_peerClient.call(address, std::move(request), options, [this, answers](const http_call_end &end, const http_response &response) {
            if (end.error == error_kind::None && response.status == http_status::ok) {
                const duration age(static_cast<std::int64_t>(numberField(response.fields, contactAgeField)));
                const time_point since = m_loop.now() - age;
                answers->earliest = std::min(answers->earliest.value_or(since), since);
            }
            if (--answers->outstanding == 0) {
                answers->onAnswer(answers->earliest);
            }
        });
    }
}

void contact_witness_client::serve(const std::shared_ptr<http_exchange> &exchange, const outage_tracker &outages, time_point now)
{
    const std::optional<time_point> since = outages.answersSince(now);
    http_response response = textResponse(since ? http_status::ok : http_status::noContent, "");
    if (since) {
        response.fields.set(contactAgeField, std::to_string((now - *since).count()));
    }
    exchange->respond(std::move(response));
}

} // namespace reedtrail
