// The transition table guarantees that a shutdown cuts off no request: Done is reached only from Lingering, and Lingering only when no work is open. A request
// that arrives over an open connection during Lingering returns the machine to Finishing.

#include "gate/gate_drain.h"

#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace reedtrail {
namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

struct drain_begun
{
};
struct announcement_ended
{
};
struct work_finished
{
};
struct work_arrived
{
};
struct linger_ended
{
};

/** States and transitions of a shutdown. */
struct drain_state_machine : msm::front::state_machine_def<drain_state_machine>
{
    using no_message_queue = int;
    using no_exception_thrown = int;

    struct serving : msm::front::state<>
    {
    };
    struct announcing : msm::front::state<>
    {
    };
    struct finishing : msm::front::state<>
    {
    };
    struct lingering : msm::front::state<>
    {
    };
    struct done : msm::front::state<>
    {
    };
    using initial_state = serving;

    // Boost.MSM numbers the states in the order of their first appearance here, which must match drain_phase.
    struct transition_table : mpl::vector<Row<serving, drain_begun, announcing, none, none>,
                                          Row<announcing, announcement_ended, finishing, none, none>,
                                          Row<finishing, work_finished, lingering, none, none>,
                                          Row<lingering, work_arrived, finishing, none, none>,
                                          Row<lingering, linger_ended, done, none, none>>
    {
    };

    template<class Machine, class Event>
    void no_transition(const Event &, Machine &, int)
    {
    }
};

constexpr std::array<std::string_view, 5> phaseNames{ "serving", "announcing", "finishing", "lingering", "done" };

} // namespace

struct gate_drain::machine
{
    msm::back::state_machine<drain_state_machine> states;
};

std::string_view drainPhaseName(drain_phase phase)
{
    return phaseNames[static_cast<std::size_t>(phase)];
}

gate_drain::gate_drain(gate_drain_options options)
    : m_options(options)
    , m_machine(std::make_unique<machine>())
{
    m_machine->states.start();
}

gate_drain::~gate_drain() = default;

void gate_drain::begin(time_point now)
{
    if (m_machine->states.process_event(drain_begun{}) == msm::back::HANDLED_TRUE) {
        m_phaseStartedAt = now;
    }
}

drain_phase gate_drain::advance(time_point now, std::size_t openWorkCount)
{
    const drain_phase before = phase();
    if (before == drain_phase::Announcing && now - m_phaseStartedAt >= m_options.announceTime) {
        m_machine->states.process_event(announcement_ended{});
    } else if (before == drain_phase::Finishing && openWorkCount == 0) {
        m_machine->states.process_event(work_finished{});
    } else if (before == drain_phase::Lingering && openWorkCount > 0) {
        m_machine->states.process_event(work_arrived{});
    } else if (before == drain_phase::Lingering && now - m_phaseStartedAt >= m_options.lingerTime) {
        m_machine->states.process_event(linger_ended{});
    }
    if (phase() != before) {
        m_phaseStartedAt = now;
    }
    return phase();
}

drain_phase gate_drain::phase() const
{
    return static_cast<drain_phase>(m_machine->states.current_state()[0]);
}

} // namespace reedtrail
