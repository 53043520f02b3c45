/**
 * @file
 * Makes the drafts that run owners order: a completion on an engine, then a score from the scorer pool.
 *
 *     draft_maker maker(broker, nextRequestId);
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

/** Ids of a request: one within the gate, one unique in the fleet. */
struct request_ids
{
    request_id local;
    std::string publicId;
};

/** The maker; it runs on the traffic thread. */
class draft_maker
{
public:
    using id_source = std::function<request_ids()>;
    /** @p payload is empty unless the draft is good. */
    using draft_handler = std::function<void(draft_result result, std::string payload)>;

    draft_maker(request_broker &broker, id_source nextIds);

    /** Makes a draft. @param order not one that is being carried out already */
    void make(draft_order order, draft_handler onDone);
    /** Gives a draft up; its handler is not called. */
    void cancel(const run_id &run, std::uint64_t draft);
    /** Continues a draft on another attempt, from the tokens it has; does nothing if its completion is whole or not begun. */
    void move(const run_id &run, std::uint64_t draft);
    /** Returns how far each draft is. */
    std::vector<draft_progress_item> progress() const;
    /** Refuses orders from now on; drafts under way are finished. */
    void beginDrain()
    {
        m_isDraining = true;
    }
    /** Returns how many drafts are being made. */
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
