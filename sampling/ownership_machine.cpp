// An event that does not fit the phase is a late answer to a try that has been given up; it changes nothing.

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
struct on
{
};

struct claim_front : front::state_machine_def<claim_front>
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

    struct transition_table : boost::mpl::vector<front::Row<watching, on<claim_event::Began>, granting>,
                                                 front::Row<granting, on<claim_event::Granted>, claiming>,
                                                 front::Row<granting, on<claim_event::Failed>, watching>,
                                                 front::Row<claiming, on<claim_event::Claimed>, recovering>,
                                                 front::Row<claiming, on<claim_event::Doubtful>, resolving>,
                                                 front::Row<claiming, on<claim_event::Failed>, watching>,
                                                 front::Row<resolving, on<claim_event::Claimed>, recovering>,
                                                 front::Row<resolving, on<claim_event::Failed>, watching>,
                                                 front::Row<recovering, on<claim_event::Recovered>, owning>,
                                                 front::Row<recovering, on<claim_event::Fenced>, watching>,
                                                 front::Row<owning, on<claim_event::Fenced>, watching>>
    {
    };

    bool isExpected = true;

    template<class Machine, class Event>
    void no_transition(const Event &, Machine &, int)
    {
        isExpected = false;
    }
};

using claim_back = msm::back::state_machine<claim_front>;

constexpr std::array<std::string_view, 6> phaseNames{ "watching", "granting", "claiming", "resolving", "recovering", "owning" };

} // namespace

struct ownership_machine::implementation
{
    claim_back machine;
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
    claim_back &machine = m_implementation->machine;
    machine.isExpected = true;
    switch (event) {
    case claim_event::Began:
        machine.process_event(on<claim_event::Began>{});
        break;
    case claim_event::Granted:
        machine.process_event(on<claim_event::Granted>{});
        break;
    case claim_event::Claimed:
        machine.process_event(on<claim_event::Claimed>{});
        break;
    case claim_event::Doubtful:
        machine.process_event(on<claim_event::Doubtful>{});
        break;
    case claim_event::Recovered:
        machine.process_event(on<claim_event::Recovered>{});
        break;
    case claim_event::Failed:
        machine.process_event(on<claim_event::Failed>{});
        break;
    case claim_event::Fenced:
        machine.process_event(on<claim_event::Fenced>{});
        break;
    }
    return machine.isExpected;
}

claim_phase ownership_machine::phase() const
{
    return static_cast<claim_phase>(m_implementation->machine.current_state()[0]);
}

} // namespace reedtrail
