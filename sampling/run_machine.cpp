// Ownership and the run state in the settings change independently. The desired state is therefore stored while this node does not own the run, and applied
// when it acquires ownership.

#include "sampling/run_machine.h"

#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace reedtrail {
namespace {

namespace msm = boost::msm;
namespace front = boost::msm::front;

struct ownership_acquired
{
    run_state desired = run_state::Open;
};
struct ownership_lost
{
};
struct open_requested
{
};
struct pause_requested
{
};
struct close_requested
{
};

template<run_state expected>
struct is_desired
{
    template<class Machine, class From, class To>
    bool operator()(const ownership_acquired &event, Machine &, From &, To &) const
    {
        return event.desired == expected;
    }
};

struct run_front_end : front::state_machine_def<run_front_end>
{
    struct standby_state : front::state<>
    {
    };
    struct open_state : front::state<>
    {
    };
    struct paused_state : front::state<>
    {
    };
    struct closed_state : front::state<>
    {
    };
    using initial_state = standby_state;
    using no_action = front::none;

    struct transition_table : boost::mpl::vector<front::Row<standby_state, ownership_acquired, open_state, no_action, is_desired<run_state::Open>>,
                                                 front::Row<standby_state, ownership_acquired, paused_state, no_action, is_desired<run_state::Paused>>,
                                                 front::Row<standby_state, ownership_acquired, closed_state, no_action, is_desired<run_state::Closed>>,
                                                 front::Row<open_state, pause_requested, paused_state>,
                                                 front::Row<open_state, close_requested, closed_state>,
                                                 front::Row<paused_state, open_requested, open_state>,
                                                 front::Row<paused_state, close_requested, closed_state>,
                                                 front::Row<open_state, ownership_lost, standby_state>,
                                                 front::Row<paused_state, ownership_lost, standby_state>,
                                                 front::Row<closed_state, ownership_lost, standby_state>>
    {
    };

    template<class Machine, class Event>
    void no_transition(const Event &, Machine &, int)
    {
        // Ignored: the requested state is already in effect, the run is closed, or this node does not own the run.
    }
};

using run_back_end = msm::back::state_machine<run_front_end>;

constexpr std::array<std::string_view, 4> phaseNames{ "standby", "open", "paused", "closed" };

} // namespace

struct run_machine::implementation
{
    run_back_end machine;
    run_state desired = run_state::Open;
};

std::string_view runPhaseName(run_phase phase)
{
    return phaseNames.at(static_cast<std::size_t>(phase));
}

run_machine::run_machine()
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->machine.start();
}

run_machine::~run_machine() = default;
run_machine::run_machine(run_machine &&) noexcept = default;
run_machine &run_machine::operator=(run_machine &&) noexcept = default;

void run_machine::onOwnership(bool isOwner)
{
    if (isOwner) {
        m_implementation->machine.process_event(ownership_acquired{ m_implementation->desired });
    } else {
        m_implementation->machine.process_event(ownership_lost{});
    }
}

void run_machine::onDesiredState(run_state state)
{
    m_implementation->desired = state;
    switch (state) {
    case run_state::Open:
        m_implementation->machine.process_event(open_requested{});
        break;
    case run_state::Paused:
        m_implementation->machine.process_event(pause_requested{});
        break;
    case run_state::Closed:
        m_implementation->machine.process_event(close_requested{});
        break;
    }
}

run_phase run_machine::phase() const
{
    return static_cast<run_phase>(m_implementation->machine.current_state()[0]);
}

} // namespace reedtrail
