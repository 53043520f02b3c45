/**
 * @file
 * One caller's request as the crash guard knows it: whether it is a suspect, the attempt that its keeper has granted, and what becomes of its attempts.
 *
 * Its body is read once, when its identity is first asked for: if a suspect has the same outline, or once an attempt was left without an answer.
 *
 *     suspect_request suspect(guard, exchange, "request-7");
 *     if (suspect.needsGrant()) { suspect.askForGrant(...); }
 *     suspect.onUnanswered(attempt, "time limit", quietFor, [] { ... try another server ... });
 */
#pragma once

#include "edge/crash_guard.h"
#include "fleet/request_identity.h"
#include "net/http_server.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace reedtrail {

/** An attempt that a server has left without an answer. */
struct unanswered_attempt
{
    backend_choice server;
    bool mayCount = false; ///< Whether the server was expected to go on; if not, its end is nobody's doing.
    duration elapsed{}; ///< Since the attempt began.
    std::size_t others = 0; ///< Requests of this node that the server is running.
};

/** The crash guard's view of one request. Handlers that are passed in must keep this object alive. */
class suspect_request
{
public:
    /** @param id of the caller's request, for the log */
    suspect_request(crash_guard &crashes, const std::shared_ptr<http_exchange> &exchange, std::string id);

    /** Returns the identity of the request, which takes one pass over its body the first time. */
    const request_identity &identity();
    /** Tells whether servers have ended under this request. */
    bool isSuspect();
    /** Tells whether an attempt may be handed to a server now. */
    bool maySend()
    {
        return m_hasGrant || !isSuspect();
    }
    /** Asks the keeper for an attempt. @param onEnd called once, never from inside this call */
    void askForGrant(std::function<void(const crash_grant &)> onEnd);
    /** Records that the granted attempt was handed to a server. */
    void onHandedOver()
    {
        m_hasGrant = false;
    }
    /** Records that it can't be known any more what becomes of the server under the current attempt, so that the keeper must hear nothing of it. */
    void onUncertain()
    {
        m_hasGrant = false;
        m_asker.clear();
    }
    /** Records that a server has completed the request. */
    void onSurvived(const backend_choice &server);
    /** Handles that the connection to the server broke off. @param next runs once it is known whether the server has ended */
    void onBroken(const unanswered_attempt &attempt, const char *reason, std::function<void()> next);
    /**
     * Handles that the server left the attempt without an answer until its time limit.
     * @param quietFor for how long nothing had come from the server
     * @param next runs at once; after an attempt that a keeper has granted, once it is known whether the server has ended
     */
    void onUnanswered(const unanswered_attempt &attempt, const char *reason, duration quietFor, const std::function<void()> &next);
    /** Handles that the request has ended while an attempt was under way. */
    void onAbandoned(const unanswered_attempt &attempt, const char *reason, duration quietFor);
    /** Tells the keeper that an attempt that it granted is over, if it has not heard of its end. */
    void releaseGrant();

private:
    void log(const unanswered_attempt &attempt, const char *reason);

    crash_guard &m_crashes;
    std::shared_ptr<http_exchange> m_exchange;
    std::string m_id;
    request_outline m_outline;
    std::optional<request_identity> m_identity; ///< Set once it is asked for.
    std::string m_asker; ///< Identifies the attempt that a keeper has granted and of which it expects to hear; empty if there is none.
    bool m_hasGrant = false; ///< Whether the keeper has granted an attempt that has not reached a server yet.
};

} // namespace reedtrail
