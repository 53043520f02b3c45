/**
 * @file
 * The graceful shutdown of a gate: announce, finish, linger, done.
 *
 *     gate_drain drain({});
 *     drain.begin(now);
 *     while (drain.advance(now, workLeft) != drain_phase::Done) { ... }      // a pure core: check again a little later
 */
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace reedtrail {

/** How far a shutdown is. */
enum class drain_phase : std::uint8_t {
    Serving, ///< Not begun.
    Announcing, ///< New requests are refused with their reason; connections are accepted, so that callers' balancers see it.
    Finishing, ///< What was in flight when the announcement ended is being finished.
    Lingering, ///< Nothing is in flight; no connection is accepted, kept ones stay open a little, so that no answer on its way is cut.
    Done, ///< The process may end.
};

/** Returns the stable name of @p phase. */
std::string_view drainPhaseName(drain_phase phase);

/** Times of a shutdown. */
struct gate_drain_options
{
    duration announceTime = std::chrono::milliseconds(500);
    duration lingerTime = std::chrono::milliseconds(250);
};

/** The shutdown. */
class gate_drain
{
public:
    explicit gate_drain(gate_drain_options options);
    ~gate_drain();

    /** Begins; a second call changes nothing. */
    void begin(time_point now);
    /** Moves on as far as time and work allow. @param workLeft requests, streams, drafts and waiters without an end */
    drain_phase advance(time_point now, std::size_t workLeft);
    drain_phase phase() const;
    /** Tells whether new requests are taken. */
    bool acceptsNewRequests() const
    {
        return phase() == drain_phase::Serving;
    }

private:
    struct machine;
    gate_drain_options m_options;
    std::unique_ptr<machine> m_machine;
    time_point m_phaseBegin;
};

} // namespace reedtrail
