/**
 * @file
 * The state machine of a request that must run at most once: received, admitted, dispatched, then answered, not run or unknown.
 *
 *     request_lifecycle lifecycle;
 *     lifecycle.apply(lifecycle_event::Admit);
 *     lifecycle.apply(lifecycle_event::Dispatch);        // from here on the request may have run
 *     lifecycle.apply(lifecycle_event::Answer);
 *     lifecycle.state() == lifecycle_state::Answered
 */
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace reedtrail {

/** State of a request. */
enum class lifecycle_state : std::uint8_t {
    Received, ///< The request is known and not yet admitted.
    Admitted, ///< The request waits for a backend server.
    Dispatched, ///< A byte of the request may have reached a backend server.
    Answered, ///< Final: the request ran and was answered.
    NotRun, ///< Final: the request did not run and never will.
    Unknown, ///< Final: the request may have run; it is never sent again.
};

/** Event that changes the state of a request. */
enum class lifecycle_event : std::uint8_t {
    Admit,
    Dispatch, ///< An attempt is about to be sent. A further attempt is allowed only after ServerDidNotStart.
    Answer,
    Refuse, ///< The request is given up while no server may have started it.
    ServerDidNotStart, ///< The server reported, or the connection proves, that the server did not start the attempt.
    LoseOutcome, ///< The outcome of a dispatched request cannot be found out.
};

/** Returns the name of @p state in dumps; it never changes. */
std::string_view lifecycleStateName(lifecycle_state state);

/** The state of one request. */
class request_lifecycle
{
public:
    request_lifecycle();
    ~request_lifecycle();
    request_lifecycle(request_lifecycle &&other) noexcept;
    request_lifecycle &operator=(request_lifecycle &&other) noexcept;

    /** Applies an event. @return false, with the state unchanged, if the event is not allowed in this state */
    bool apply(lifecycle_event event);
    lifecycle_state state() const;

private:
    struct machine;
    std::unique_ptr<machine> m_machine;
};

} // namespace reedtrail
