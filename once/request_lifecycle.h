/**
 * @file
 * The life of a request that must run at most once: received, admitted, dispatched, then answered, not run or unknown.
 *
 *     request_lifecycle life;
 *     life.apply(lifecycle_event::Admit);
 *     life.apply(lifecycle_event::Dispatch);        // from here on it may have run
 *     life.apply(lifecycle_event::Answer);
 *     life.state() == lifecycle_state::Answered
 */
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace reedtrail {

/** Where a request stands. */
enum class lifecycle_state : std::uint8_t {
    Received, ///< Known, nothing done yet.
    Admitted, ///< Waits for a backend server.
    Dispatched, ///< A byte of it may have reached a backend server.
    Answered, ///< It ran, and this is over.
    NotRun, ///< It did not run and never will.
    Unknown, ///< It may have run; it is never sent again.
};

/** What happens to a request. */
enum class lifecycle_event : std::uint8_t {
    Admit,
    Dispatch, ///< Also before the second and later attempts, each allowed only after ServerDidNotStart.
    Answer,
    Refuse, ///< Given up before anything was handed to a server.
    ServerDidNotStart, ///< The server's own word, or the connection's, that nothing of the attempt ran.
    LoseOutcome, ///< The outcome of a dispatched request cannot be learnt.
};

/** Returns the stable name of @p state. */
std::string_view lifecycleStateName(lifecycle_state state);

/** One life. */
class request_lifecycle
{
public:
    request_lifecycle();
    ~request_lifecycle();
    request_lifecycle(request_lifecycle &&other) noexcept;
    request_lifecycle &operator=(request_lifecycle &&other) noexcept;

    /** Takes an event. @return false, with nothing changed, if the event cannot happen in this state */
    bool apply(lifecycle_event event);
    lifecycle_state state() const;

private:
    struct machine;
    std::unique_ptr<machine> m_machine;
};

} // namespace reedtrail
