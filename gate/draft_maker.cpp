// The weight versions of a draft are those that the engine named with its chunks, never those in the order. A draft with a token whose version the engine did
// not name fails, because its versions would be uncertain. A draft that is moved to another server sends the tokens it has as part of the prompt and continues
// from there. A slow server then costs only the remaining tokens, and long answers are not dropped in favour of short ones.

#include "gate/draft_maker.h"

#include "gate/caller_request.h"
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

/** Adds @p more, which begins at token @p base, to @p versions. */
void appendVersions(std::vector<version_range> &versions, const std::vector<version_range> &more, std::uint64_t base)
{
    for (const version_range &range : more) {
        if (!versions.empty() && versions.back().version == range.version) {
            versions.back().to = base + range.to;
        } else {
            versions.push_back({ base + range.from, base + range.to, range.version });
        }
    }
}

} // namespace

struct draft_maker::draft_state
{
    draft_order order;
    draft_handler onDone;
    draft_result result;
    request_id request; ///< The request in flight: the completion or the score.
    bool isCompleting = true; ///< Whether the completion has not finished; after it the draft is scored.
    std::string text; ///< Text of all tokens so far, over all attempts.
    std::uint64_t tokens = 0; ///< Number of tokens so far, over all attempts.
    std::vector<version_range> versions; ///< Weight versions of the tokens of the current attempt.
    // Results of earlier attempts, before the draft was moved.
    std::string textBeforeMove;
    std::uint64_t tokensBeforeMove = 0;
    std::vector<version_range> versionsBeforeMove;
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
    m_draftsInFlight[{ draft->order.slot.run, draft->order.draft }] = draft;
    submitCompletion(draft);
}

void draft_maker::submitCompletion(const std::shared_ptr<draft_state> &draft)
{
    const request_ids ids = m_nextIds();
    const std::uint64_t tokensLeft = draft->order.maximumTokens - std::min(draft->order.maximumTokens, draft->tokensBeforeMove);
    broker_request request;
    request.publicId = ids.publicId;
    request.isCompletion = true;
    request.completion = { { "model", draft->order.pool },
                           { "prompt", draft->order.prompt + draft->textBeforeMove },
                           { "max_tokens", tokensLeft },
                           { "run", draft->order.slot.run } };
    request.routing.id = ids.local;
    request.routing.customer = draft->order.customer;
    request.routing.pool = draft->order.pool;
    request.routing.isInteractive = false;
    request.routing.deadline = draft->deadline;
    request.routing.minimumVersion = draft->order.minimumVersion;
    request.routing.run = draft->order.slot.run;
    request.routing.expectedTokens = static_cast<double>(tokensLeft);
    request.routing.prefixHashes = prefixHashes(draft->order.prompt);
    draft->request = ids.local;
    broker_receiver receiver;
    receiver.buffersTokens = true;
    receiver.onChunk = [draft](const server_id &, const completion_chunk &chunk) {
        draft->text += chunk.text;
        draft->tokens = draft->tokensBeforeMove + chunk.offset;
        appendVersions(draft->versions, { { chunk.offset - chunk.tokens, chunk.offset, chunk.version } }, 0);
    };
    receiver.onRestart = [draft] {
        draft->text = draft->textBeforeMove;
        draft->tokens = draft->tokensBeforeMove;
        draft->versions.clear();
    };
    receiver.onEnd = [this, draft](const broker_answer &answer) {
        onCompletion(draft, answer);
    };
    m_broker.submit(std::move(request), std::move(receiver));
}

void draft_maker::cancel(const run_id &run, std::uint64_t draft)
{
    const auto found = m_draftsInFlight.find({ run, draft });
    if (found != m_draftsInFlight.end()) {
        const request_id request = found->second->request;
        m_draftsInFlight.erase(found);
        m_broker.cancel(request);
    }
}

void draft_maker::move(const run_id &run, std::uint64_t draft)
{
    const auto found = m_draftsInFlight.find({ run, draft });
    if (found == m_draftsInFlight.end() || !found->second->isCompleting || found->second->tokens == found->second->tokensBeforeMove) {
        return;
    }
    const std::shared_ptr<draft_state> moved = found->second;
    appendVersions(moved->versionsBeforeMove, moved->versions, moved->tokensBeforeMove);
    moved->textBeforeMove = moved->text;
    moved->tokensBeforeMove = moved->tokens;
    moved->versions.clear();
    m_broker.cancel(moved->request);
    submitCompletion(moved);
}

std::vector<draft_progress_item> draft_maker::progress() const
{
    std::vector<draft_progress_item> items;
    for (const auto &[key, draft] : m_draftsInFlight) {
        items.push_back({ draft->order.slot, draft->order.draft, draft->tokens });
    }
    return items;
}

void draft_maker::onCompletion(const std::shared_ptr<draft_state> &draft, const broker_answer &answer)
{
    if (answer.error != error_kind::None || !answer.isStream) {
        finish(draft, answer.error == error_kind::None ? error_kind::ServerFailed : answer.error);
        return;
    }
    draft->isCompleting = false;
    std::vector<version_range> versions = draft->versionsBeforeMove;
    appendVersions(versions, answer.versions, draft->tokensBeforeMove);
    const bool hasUnknownVersion = std::ranges::any_of(versions, [](const version_range &range) {
        return range.version == 0;
    });
    if (hasUnknownVersion || versions.empty()) {
        finish(draft, error_kind::Stale);
        return;
    }
    draft->result.versions = versions;
    draft->result.tokens = versions.back().to;
    draft->result.server = answer.server;
    submitScore(draft);
}

void draft_maker::submitScore(const std::shared_ptr<draft_state> &draft)
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
    draft->request = ids.local;
    broker_receiver receiver;
    receiver.onEnd = [this, draft](const broker_answer &answer) {
        onScore(draft, answer);
    };
    m_broker.submit(std::move(request), std::move(receiver));
}

void draft_maker::onScore(const std::shared_ptr<draft_state> &draft, const broker_answer &answer)
{
    if (answer.error != error_kind::None || answer.response.status != 200) {
        finish(draft, answer.error == error_kind::None ? error_kind::ServerFailed : answer.error);
        return;
    }
    const nlohmann::json body = nlohmann::json::parse(answer.response.body, nullptr, false);
    if (!body.is_object() || !body.contains("score") || !body.at("score").is_number()) {
        finish(draft, error_kind::ServerFailed);
        return;
    }
    draft->result.score = body.at("score").get<double>();
    finish(draft, error_kind::None);
}

void draft_maker::finish(const std::shared_ptr<draft_state> &draft, error_kind error)
{
    m_draftsInFlight.erase({ draft->order.slot.run, draft->order.draft });
    draft->result.error = answerFor(error).name;
    std::string payload;
    if (error == error_kind::None) {
        draft->result.payloadKey = payloadKeyOf(draft->order);
        payload = nlohmann::json{ { "prompt", draft->order.prompt }, { "text", draft->text } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    draft->onDone(draft->result, std::move(payload));
}

} // namespace reedtrail
