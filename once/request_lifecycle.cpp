// The transition table guarantees that "not run" is true: no transition leads from Dispatched to NotRun. A dispatched request returns to Admitted only if the
// server reported, or the connection proves, that the server did not start it; from there it may be refused or dispatched again. Answered, NotRun and Unknown
// are final, so a request that was answered "not run" can never run later.

#include "once/request_lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>

namespace reedtrail {
namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

struct admit
{
};
struct dispatch
{
};
struct answer
{
};
struct refuse
{
};
struct server_did_not_start
{
};
struct lose_outcome
{
};

/** States and transitions. */
struct lifecycle_definition : msm::front::state_machine_def<lifecycle_definition>
{
    using no_message_queue = int;
    using no_exception_thrown = int;

    struct received : msm::front::state<>
    {
    };
    struct admitted : msm::front::state<>
    {
    };
    struct dispatched : msm::front::state<>
    {
    };
    struct answered : msm::front::state<>
    {
    };
    struct not_run : msm::front::state<>
    {
    };
    struct unknown : msm::front::state<>
    {
    };
    using initial_state = received;

    // The library numbers the states by their first appearance in this table. The numbers must match lifecycle_state, so the order of the rows matters.
    struct transition_table : mpl::vector<Row<received, admit, admitted, none, none>,
                                          Row<admitted, dispatch, dispatched, none, none>,
                                          Row<dispatched, answer, answered, none, none>,
                                          Row<received, refuse, not_run, none, none>,
                                          Row<dispatched, lose_outcome, unknown, none, none>,
                                          Row<admitted, refuse, not_run, none, none>,
                                          Row<dispatched, server_did_not_start, admitted, none, none>>
    {
    };

    template<class Machine, class Event>
    void no_transition(const Event &, Machine &, int)
    {
    }
};

using lifecycle_machine = msm::back::state_machine<lifecycle_definition>;

constexpr std::array<std::string_view, 6> stateNames{ "received", "admitted", "dispatched", "answered", "not-run", "unknown" };

} // namespace

struct request_lifecycle::machine
{
    lifecycle_machine states;
};

std::string_view lifecycleStateName(lifecycle_state state)
{
    return stateNames[static_cast<std::size_t>(state)];
}

request_lifecycle::request_lifecycle()
    : m_machine(std::make_unique<machine>())
{
    m_machine->states.start();
}

request_lifecycle::~request_lifecycle() = default;
request_lifecycle::request_lifecycle(request_lifecycle &&other) noexcept = default;
request_lifecycle &request_lifecycle::operator=(request_lifecycle &&other) noexcept = default;

bool request_lifecycle::apply(lifecycle_event event)
{
    lifecycle_machine &states = m_machine->states;
    switch (event) {
    case lifecycle_event::Admit:
        return states.process_event(admit{}) == msm::back::HANDLED_TRUE;
    case lifecycle_event::Dispatch:
        return states.process_event(dispatch{}) == msm::back::HANDLED_TRUE;
    case lifecycle_event::Answer:
        return states.process_event(answer{}) == msm::back::HANDLED_TRUE;
    case lifecycle_event::Refuse:
        return states.process_event(refuse{}) == msm::back::HANDLED_TRUE;
    case lifecycle_event::ServerDidNotStart:
        return states.process_event(server_did_not_start{}) == msm::back::HANDLED_TRUE;
    case lifecycle_event::LoseOutcome:
        return states.process_event(lose_outcome{}) == msm::back::HANDLED_TRUE;
    }
    return false;
}

lifecycle_state request_lifecycle::state() const
{
    return static_cast<lifecycle_state>(m_machine->states.current_state()[0]);
}

} // namespace reedtrail
