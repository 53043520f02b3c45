/**
 * @file
 * Makes the drafts that run owners order. A draft is a sample for training: a completion from an engine and its score from the scorer pool.
 *
 *     draft_maker maker(broker, nextIds);
 *     maker.make(order, [](draft_result result, std::string payload) { ... store the payload, then send the result ... });
 */
#pragma once

#include "fleet/peer_messages.h"
#include "gate/request_broker.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace reedtrail {

/** Ids of a request: one that is unique within the gate, and one that is unique in the fleet. */
struct request_ids
{
    request_id local;
    std::string publicId;
};

/** Makes drafts. All functions must be called on the traffic thread. */
class draft_maker
{
public:
    using id_source = std::function<request_ids()>;
    /** Receives a finished draft. The payload (prompt and text as JSON) is empty if the draft failed. */
    using draft_handler = std::function<void(draft_result result, std::string payload)>;

    draft_maker(request_broker &broker, id_source nextIds);

    /** Starts a draft. @param order must not be in progress already @param onDone runs once, unless cancel() is called first */
    void make(draft_order order, draft_handler onDone);
    /** Cancels a draft without calling its handler. */
    void cancel(const run_id &run, std::uint64_t draft);
    /** Restarts the completion of a draft as a new attempt that continues after its last token. Does nothing if it has no new tokens or is being scored. */
    void move(const run_id &run, std::uint64_t draft);
    /** Returns the progress of each draft. */
    std::vector<draft_progress_item> progress() const;
    /** Starts to refuse orders; drafts in flight are finished. */
    void beginDrain()
    {
        m_isDraining = true;
    }
    /** Returns the number of drafts in flight. */
    std::size_t inFlight() const
    {
        return m_draftsInFlight.size();
    }

private:
    struct draft_state;
    using draft_key = std::pair<run_id, std::uint64_t>;

    void submitCompletion(const std::shared_ptr<draft_state> &draft);
    void onCompletion(const std::shared_ptr<draft_state> &draft, const broker_answer &answer);
    void submitScore(const std::shared_ptr<draft_state> &draft);
    void onScore(const std::shared_ptr<draft_state> &draft, const broker_answer &answer);
    void finish(const std::shared_ptr<draft_state> &draft, error_kind error);

    request_broker &m_broker;
    id_source m_nextIds;
    std::map<draft_key, std::shared_ptr<draft_state>> m_draftsInFlight;
    bool m_isDraining = false;
};

} // namespace reedtrail
