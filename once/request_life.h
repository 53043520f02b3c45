/**
 * @file
 * The life of a request that must run at most once: received, admitted, dispatched, then answered, not run or unknown.
 *
 *     request_life life;
 *     life.apply(life_event::Admit);
 *     life.apply(life_event::Dispatch);        // from here on it may have run
 *     life.apply(life_event::Answer);
 *     life.state() == life_state::Answered
 */
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace reedtrail {

/** Where a request stands. */
enum class life_state : std::uint8_t {
    Received, ///< Known, nothing done yet.
    Admitted, ///< Waits for a backend server.
    Dispatched, ///< A byte of it may have reached a backend server.
    Answered, ///< It ran, and this is over.
    NotRun, ///< It did not run and never will.
    Unknown, ///< It may have run; it is never sent again.
};

/** What happens to a request. */
enum class life_event : std::uint8_t {
    Admit,
    Dispatch, ///< Also before the second and later attempts, each allowed only after ServerDidNotStart.
    Answer,
    Refuse, ///< Given up before anything was handed to a server.
    ServerDidNotStart, ///< The server's own word, or the connection's, that nothing of the attempt ran.
    Lose, ///< The outcome of a dispatched request cannot be learnt.
};

/** Returns the stable name of @p state. */
std::string_view lifeStateName(life_state state);

/** One life. */
class request_life
{
public:
    request_life();
    ~request_life();
    request_life(request_life &&other) noexcept;
    request_life &operator=(request_life &&other) noexcept;

    /** Takes an event. @return false, with nothing changed, if the event cannot happen in this state */
    bool apply(life_event event);
    life_state state() const;

private:
    struct machine;
    std::unique_ptr<machine> m_machine;
};

} // namespace reedtrail
