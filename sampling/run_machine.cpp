// Ownership and the operators' order change independently, so the order is remembered while this node does not own the run and applied when it does.

#include "sampling/run_machine.h"

#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace reedtrail {
namespace {

namespace msm = boost::msm;
namespace front = boost::msm::front;

struct gained
{
    run_state ordered = run_state::Open;
};
struct lost
{
};
struct opened
{
};
struct paused
{
};
struct closed
{
};

template<run_state wanted>
struct is_ordered
{
    template<class Machine, class From, class To>
    bool operator()(const gained &event, Machine &, From &, To &) const
    {
        return event.ordered == wanted;
    }
};

struct run_front : front::state_machine_def<run_front>
{
    struct standby : front::state<>
    {
    };
    struct open : front::state<>
    {
    };
    struct pausing : front::state<>
    {
    };
    struct ended : front::state<>
    {
    };
    using initial_state = standby;
    using no = front::none;

    struct transition_table : boost::mpl::vector<front::Row<standby, gained, open, no, is_ordered<run_state::Open>>,
                                                 front::Row<standby, gained, pausing, no, is_ordered<run_state::Paused>>,
                                                 front::Row<standby, gained, ended, no, is_ordered<run_state::Closed>>,
                                                 front::Row<open, paused, pausing>,
                                                 front::Row<open, closed, ended>,
                                                 front::Row<pausing, opened, open>,
                                                 front::Row<pausing, closed, ended>,
                                                 front::Row<open, lost, standby>,
                                                 front::Row<pausing, lost, standby>,
                                                 front::Row<ended, lost, standby>>
    {
    };

    template<class Machine, class Event>
    void no_transition(const Event &, Machine &, int)
    {
        // An order that is already in force, or that comes while another node owns the run, changes nothing here.
    }
};

using run_back = msm::back::state_machine<run_front>;

constexpr std::array<std::string_view, 4> phaseNames{ "standby", "open", "paused", "closed" };

} // namespace

struct run_machine::implementation
{
    run_back machine;
    run_state ordered = run_state::Open;
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
        m_implementation->machine.process_event(gained{ m_implementation->ordered });
    } else {
        m_implementation->machine.process_event(lost{});
    }
}

void run_machine::onOrder(run_state state)
{
    m_implementation->ordered = state;
    switch (state) {
    case run_state::Open:
        m_implementation->machine.process_event(opened{});
        break;
    case run_state::Paused:
        m_implementation->machine.process_event(paused{});
        break;
    case run_state::Closed:
        m_implementation->machine.process_event(closed{});
        break;
    }
}

run_phase run_machine::phase() const
{
    return static_cast<run_phase>(m_implementation->machine.current_state()[0]);
}

} // namespace reedtrail
