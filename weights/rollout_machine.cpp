// A version published during a switch waits until the switch ends. Otherwise a trainer that publishes quickly would replace each version before all servers
// serve it.

#include "weights/rollout_machine.h"

#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace reedtrail {
namespace {

namespace msm = boost::msm;
namespace front = boost::msm::front;

template<rollout_event event>
struct on
{
};

struct rollout_front : front::state_machine_def<rollout_front>
{
    struct standby : front::state<>
    {
    };
    struct settled : front::state<>
    {
    };
    struct staging : front::state<>
    {
    };
    struct switching : front::state<>
    {
    };
    using initial_state = standby;

    struct transition_table : boost::mpl::vector<front::Row<standby, on<rollout_event::Gained>, settled>,
                                                 front::Row<settled, on<rollout_event::Published>, staging>,
                                                 front::Row<staging, on<rollout_event::Staged>, switching>,
                                                 front::Row<switching, on<rollout_event::Switched>, settled>,
                                                 front::Row<settled, on<rollout_event::Lost>, standby>,
                                                 front::Row<staging, on<rollout_event::Lost>, standby>,
                                                 front::Row<switching, on<rollout_event::Lost>, standby>>
    {
    };

    template<class Machine, class Event>
    void no_transition(const Event &, Machine &, int)
    {
        // The event repeats the current state.
    }
};

using rollout_back = msm::back::state_machine<rollout_front>;

constexpr std::array<std::string_view, 4> phaseNames{ "standby", "settled", "staging", "switching" };

} // namespace

struct rollout_machine::implementation
{
    rollout_back machine;
};

std::string_view rolloutPhaseName(rollout_phase phase)
{
    return phaseNames.at(static_cast<std::size_t>(phase));
}

rollout_machine::rollout_machine()
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->machine.start();
}

rollout_machine::~rollout_machine() = default;
rollout_machine::rollout_machine(rollout_machine &&) noexcept = default;
rollout_machine &rollout_machine::operator=(rollout_machine &&) noexcept = default;

void rollout_machine::handle(rollout_event event)
{
    rollout_back &machine = m_implementation->machine;
    switch (event) {
    case rollout_event::Gained:
        machine.process_event(on<rollout_event::Gained>{});
        break;
    case rollout_event::Lost:
        machine.process_event(on<rollout_event::Lost>{});
        break;
    case rollout_event::Published:
        machine.process_event(on<rollout_event::Published>{});
        break;
    case rollout_event::Staged:
        machine.process_event(on<rollout_event::Staged>{});
        break;
    case rollout_event::Switched:
        machine.process_event(on<rollout_event::Switched>{});
        break;
    }
}

rollout_phase rollout_machine::phase() const
{
    return static_cast<rollout_phase>(m_implementation->machine.current_state()[0]);
}

} // namespace reedtrail
