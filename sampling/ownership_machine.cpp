// An event without a transition in the current phase is a late answer to an abandoned attempt. It is ignored.

#include "sampling/ownership_machine.h"

#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace reedtrail {
namespace {

namespace msm = boost::msm;
namespace front = boost::msm::front;

template<claim_event event>
struct event_tag
{
};

struct claim_front_end : front::state_machine_def<claim_front_end>
{
    struct watching : front::state<>
    {
    };
    struct granting : front::state<>
    {
    };
    struct claiming : front::state<>
    {
    };
    struct resolving : front::state<>
    {
    };
    struct recovering : front::state<>
    {
    };
    struct owning : front::state<>
    {
    };
    using initial_state = watching;

    struct transition_table : boost::mpl::vector<front::Row<watching, event_tag<claim_event::AttemptStarted>, granting>,
                                                 front::Row<granting, event_tag<claim_event::LeaseGranted>, claiming>,
                                                 front::Row<granting, event_tag<claim_event::AttemptFailed>, watching>,
                                                 front::Row<claiming, event_tag<claim_event::ClaimSucceeded>, recovering>,
                                                 front::Row<claiming, event_tag<claim_event::ClaimUncertain>, resolving>,
                                                 front::Row<claiming, event_tag<claim_event::AttemptFailed>, watching>,
                                                 front::Row<resolving, event_tag<claim_event::ClaimSucceeded>, recovering>,
                                                 front::Row<resolving, event_tag<claim_event::AttemptFailed>, watching>,
                                                 front::Row<recovering, event_tag<claim_event::BatchesRead>, owning>,
                                                 front::Row<recovering, event_tag<claim_event::Fenced>, watching>,
                                                 front::Row<owning, event_tag<claim_event::Fenced>, watching>>
    {
    };

    bool isExpected = true;

    template<class Machine, class Event>
    void no_transition(const Event &, Machine &, int)
    {
        isExpected = false;
    }
};

using claim_back_end = msm::back::state_machine<claim_front_end>;

constexpr std::array<std::string_view, 6> phaseNames{ "watching", "granting", "claiming", "resolving", "recovering", "owning" };

} // namespace

struct ownership_machine::implementation
{
    claim_back_end machine;
};

std::string_view claimPhaseName(claim_phase phase)
{
    return phaseNames.at(static_cast<std::size_t>(phase));
}

ownership_machine::ownership_machine()
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->machine.start();
}

ownership_machine::~ownership_machine() = default;
ownership_machine::ownership_machine(ownership_machine &&) noexcept = default;
ownership_machine &ownership_machine::operator=(ownership_machine &&) noexcept = default;

bool ownership_machine::handle(claim_event event)
{
    claim_back_end &machine = m_implementation->machine;
    machine.isExpected = true;
    switch (event) {
    case claim_event::AttemptStarted:
        machine.process_event(event_tag<claim_event::AttemptStarted>{});
        break;
    case claim_event::LeaseGranted:
        machine.process_event(event_tag<claim_event::LeaseGranted>{});
        break;
    case claim_event::ClaimSucceeded:
        machine.process_event(event_tag<claim_event::ClaimSucceeded>{});
        break;
    case claim_event::ClaimUncertain:
        machine.process_event(event_tag<claim_event::ClaimUncertain>{});
        break;
    case claim_event::BatchesRead:
        machine.process_event(event_tag<claim_event::BatchesRead>{});
        break;
    case claim_event::AttemptFailed:
        machine.process_event(event_tag<claim_event::AttemptFailed>{});
        break;
    case claim_event::Fenced:
        machine.process_event(event_tag<claim_event::Fenced>{});
        break;
    }
    return machine.isExpected;
}

claim_phase ownership_machine::phase() const
{
    return static_cast<claim_phase>(m_implementation->machine.current_state()[0]);
}

} // namespace reedtrail
