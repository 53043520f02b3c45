// A request that was sent is never repeated at a second steward, because a plan or confirm may have taken effect although its answer was lost. The operator
// checks this with `settings` or `explain change`.

#include "ctl/steward_client.h"

#include "net/http_client.h"

namespace reedtrail {
namespace {

constexpr std::chrono::seconds callDeadline{ 15 };

/** Returns the error that the body of an error response names. */
failure failureOfAnswer(const http_response &response)
{
    const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
    if (!body.is_object()) {
        return { error_kind::Internal, "answer " + std::to_string(response.status) + " without a JSON body" };
    }
    const error_kind kind = errorKindNamed(body.value("error", "internal"));
    std::string detail = body.value("detail", "");
    return { kind, detail.empty() ? body.value("text", "") : detail };
}

} // namespace

steward_client::steward_client(std::vector<endpoint> stewards, std::string token, tls_files tls)
    : m_stewards(std::move(stewards))
    , m_token(std::move(token))
    , m_tls(std::move(tls))
{
}

result<nlohmann::json> steward_client::call(std::string_view method, std::string_view target, std::string body)
{
    failure last{ error_kind::PeerUnreachable, "no steward given" };
    for (const endpoint &address : m_stewards) {
        boost::asio::io_context io;
        http_client_options clientOptions;
        clientOptions.tls = m_tls;
        http_client client(io, clientOptions);
        http_request request{ std::string(method), std::string(target), { { "Content-Type", "application/json" } }, body };
        if (!m_token.empty()) {
            request.fields.set("Authorization", "Bearer " + m_token);
        }
        http_call_end callEnd;
        http_response answer;
        client.call(address,
                    std::move(request),
                    { .silenceTimeout = callDeadline, .deadline = callDeadline },
                    [&](const http_call_end &end, const http_response &response) {
                        callEnd = end;
                        answer = response;
                    });
        io.run();
        if (callEnd.error == error_kind::None && answer.status < 300) {
            nlohmann::json parsed = nlohmann::json::parse(answer.body, nullptr, false);
            return parsed.is_discarded() ? nlohmann::json(answer.body) : parsed;
        }
        if (callEnd.error == error_kind::None) {
            const failure refused = failureOfAnswer(answer);
            return fail(refused.kind, refused.detail);
        }
        last = { error_kind::PeerUnreachable, address.text() + ": " + callEnd.detail };
        if (callEnd.isHandedOver) {
            return fail(error_kind::PeerUnreachable, last.detail + "; it may have taken effect");
        }
    }
    return fail(last.kind, last.detail);
}

} // namespace reedtrail
