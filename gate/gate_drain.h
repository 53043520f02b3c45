/**
 * @file
 * State machine of a gate's graceful shutdown: announce it, finish open work, linger, done.
 *
 *     gate_drain drain({});
 *     drain.begin(now);
 *     while (drain.advance(now, openWork) != drain_phase::Done) { ... }      // does no I/O itself; call it again a little later
 */
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace reedtrail {

/** Phases of a shutdown. */
enum class drain_phase : std::uint8_t {
    Serving, ///< No shutdown has begun.
    Announcing, ///< New requests are refused with a reason. Connections are still accepted, so that callers' load balancers see the refusals.
    Finishing, ///< Open work is being finished.
    Lingering, ///< No work is open. No connection is accepted; open ones are kept for a short time, so that no answer in transit is cut off.
    Done, ///< The process may exit.
};

/** Returns the name of @p phase, which dumps contain. */
std::string_view drainPhaseName(drain_phase phase);

/** Durations of the phases of a shutdown. */
struct gate_drain_options
{
    duration announceTime = std::chrono::milliseconds(500);
    duration lingerTime = std::chrono::milliseconds(250);
};

/** The shutdown of one gate. */
class gate_drain
{
public:
    explicit gate_drain(gate_drain_options options);
    ~gate_drain();

    /** Begins the shutdown; further calls have no effect. */
    void begin(time_point now);
    /**
     * Moves to the next phase if its time and the open work allow it.
     * @param openWorkCount number of unfinished requests, streams, drafts and waiters
     * @return the phase after the call
     */
    drain_phase advance(time_point now, std::size_t openWorkCount);
    drain_phase phase() const;
    /** Tells whether new requests are accepted. */
    bool acceptsNewRequests() const
    {
        return phase() == drain_phase::Serving;
    }

private:
    struct machine;
    gate_drain_options m_options;
    std::unique_ptr<machine> m_machine;
    time_point m_phaseStartedAt;
};

} // namespace reedtrail
