// The promise that no request is cut is the shape of this machine: Done is reached only from Lingering, and Lingering only with nothing in flight. A request
// that comes over a kept connection while the gate lingers takes it back to Finishing.

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

struct begun
{
};
struct announced
{
};
struct idle
{
};
struct busy
{
};
struct lingered
{
};

/** The transition table. */
struct drain_definition : msm::front::state_machine_def<drain_definition>
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

    // The order of first appearance numbers the states as in drain_phase.
    struct transition_table : mpl::vector<Row<serving, begun, announcing, none, none>,
                                          Row<announcing, announced, finishing, none, none>,
                                          Row<finishing, idle, lingering, none, none>,
                                          Row<lingering, busy, finishing, none, none>,
                                          Row<lingering, lingered, done, none, none>>
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
    msm::back::state_machine<drain_definition> states;
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
    if (m_machine->states.process_event(begun{}) == msm::back::HANDLED_TRUE) {
        m_phaseBegin = now;
    }
}

drain_phase gate_drain::advance(time_point now, std::size_t workLeft)
{
    const drain_phase before = phase();
    if (before == drain_phase::Announcing && now - m_phaseBegin >= m_options.announceTime) {
        m_machine->states.process_event(announced{});
    } else if (before == drain_phase::Finishing && workLeft == 0) {
        m_machine->states.process_event(idle{});
    } else if (before == drain_phase::Lingering && workLeft > 0) {
        m_machine->states.process_event(busy{});
    } else if (before == drain_phase::Lingering && now - m_phaseBegin >= m_options.lingerTime) {
        m_machine->states.process_event(lingered{});
    }
    if (phase() != before) {
        m_phaseBegin = now;
    }
    return phase();
}

drain_phase gate_drain::phase() const
{
    return static_cast<drain_phase>(m_machine->states.current_state()[0]);
}

} // namespace reedtrail
