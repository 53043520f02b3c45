// The weight versions of a draft are those the engine named with its chunks, never those that were ordered. A draft with a token whose version the engine
// did not name is dropped: its versions would be in doubt.

#include "gate/draft_maker.h"

#include "node/process_host.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr duration scoreDeadline = std::chrono::seconds(30);

std::string payloadKeyOf(const draft_order &order)
{
    const slot_id &slot = order.slot;
    return slot.run.str() + "/" + std::to_string(slot.step) + "/" + std::to_string(slot.group) + "/" + std::to_string(slot.index) + "/"
        + std::to_string(order.epoch) + "-" + std::to_string(order.draft);
}

} // namespace

struct draft_maker::draft_state
{
    draft_order order;
    draft_handler onDone;
    draft_result result;
    std::string text;
    time_point deadline;
};

draft_maker::draft_maker(request_broker &broker, id_source nextIds)
    : m_broker(broker)
    , m_nextIds(std::move(nextIds))
{
}

void draft_maker::make(draft_order order, draft_handler onDone)
{
    const auto draft = std::make_shared<draft_state>();
    draft->result.slot = order.slot;
    draft->result.draft = order.draft;
    draft->result.epoch = order.epoch;
    draft->deadline = monotonicNow() + std::chrono::milliseconds(order.deadlineMs);
    draft->onDone = std::move(onDone);
    draft->order = std::move(order);
    if (m_isDraining) {
        draft->result.error = answerFor(error_kind::Draining).name;
        draft->onDone(draft->result, "");
        return;
    }
    ++m_underWay;
    const request_ids ids = m_nextIds();
    broker_request request;
    request.publicId = ids.publicId;
    request.isCompletion = true;
    request.completion = { { "model", draft->order.pool }, { "prompt", draft->order.prompt }, { "max_tokens", draft->order.maximumTokens } };
    request.routing.id = ids.local;
    request.routing.customer = draft->order.customer;
    request.routing.pool = draft->order.pool;
    request.routing.isInteractive = false;
    request.routing.deadline = draft->deadline;
    request.routing.minimumVersion = draft->order.minimumVersion;
    request.routing.run = draft->order.slot.run;
    request.routing.expectedTokens = static_cast<double>(draft->order.maximumTokens);
    broker_receiver receiver;
    receiver.keepsTokens = true;
    receiver.onChunk = [draft](const server_id &, const completion_chunk &chunk) {
        draft->text += chunk.text;
    };
    receiver.onRestart = [draft] {
        draft->text.clear();
    };
    receiver.onEnd = [this, draft](const broker_answer &answer) {
        completed(draft, answer);
    };
    m_broker.submit(std::move(request), std::move(receiver));
}

void draft_maker::completed(const std::shared_ptr<draft_state> &draft, const broker_answer &answer)
{
    if (answer.error != error_kind::None || !answer.isStream) {
        end(draft, answer.error == error_kind::None ? error_kind::ServerFailed : answer.error);
        return;
    }
    const bool isInDoubt = std::ranges::any_of(answer.versions, [](const version_range &range) {
        return range.version == 0;
    });
    if (isInDoubt || answer.versions.empty()) {
        end(draft, error_kind::Stale);
        return;
    }
    draft->result.versions = answer.versions;
    draft->result.tokens = answer.versions.back().to;
    draft->result.server = answer.server;
    askScore(draft);
}

void draft_maker::askScore(const std::shared_ptr<draft_state> &draft)
{
    const request_ids ids = m_nextIds();
    const nlohmann::json body{ { "prompt", draft->order.prompt }, { "text", draft->text } };
    broker_request request;
    request.publicId = ids.publicId;
    request.upstream = { "POST", "/v1/score", { { "Content-Type", "application/json" } }, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) };
    request.routing.id = ids.local;
    request.routing.customer = draft->order.customer;
    request.routing.pool = draft->order.scorerPool;
    request.routing.isInteractive = false;
    request.routing.deadline = std::min(draft->deadline, monotonicNow() + scoreDeadline);
    request.routing.run = draft->order.slot.run;
    broker_receiver receiver;
    receiver.onEnd = [this, draft](const broker_answer &answer) {
        scored(draft, answer);
    };
    m_broker.submit(std::move(request), std::move(receiver));
}

void draft_maker::scored(const std::shared_ptr<draft_state> &draft, const broker_answer &answer)
{
    if (answer.error != error_kind::None || answer.response.status != 200) {
        end(draft, answer.error == error_kind::None ? error_kind::ServerFailed : answer.error);
        return;
    }
    const nlohmann::json body = nlohmann::json::parse(answer.response.body, nullptr, false);
    if (!body.is_object() || !body.contains("score") || !body.at("score").is_number()) {
        end(draft, error_kind::ServerFailed);
        return;
    }
    draft->result.score = body.at("score").get<double>();
    end(draft, error_kind::None);
}

void draft_maker::end(const std::shared_ptr<draft_state> &draft, error_kind error)
{
    --m_underWay;
    draft->result.error = answerFor(error).name;
    std::string payload;
    if (error == error_kind::None) {
        draft->result.payloadKey = payloadKeyOf(draft->order);
        payload = nlohmann::json{ { "text", draft->text }, { "tokens", draft->result.tokens } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    draft->onDone(draft->result, std::move(payload));
}

} // namespace reedtrail
