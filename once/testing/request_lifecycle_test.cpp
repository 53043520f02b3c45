#include "once/request_lifecycle.h"

#include <array>
#include <gtest/gtest.h>
#include <vector>

namespace reedtrail {
namespace {

using enum lifecycle_event;

constexpr std::array<lifecycle_event, 6> allEvents{ Admit, Dispatch, Answer, Refuse, ServerDidNotStart, LoseOutcome };

struct lifecycle_case
{
    std::vector<lifecycle_event> events;
    lifecycle_state end;
};

TEST(RequestLifecycle, AllowedEventsReachExpectedState)
{
    const std::vector<lifecycle_case> cases{
        { {}, lifecycle_state::Received },
        { { Admit }, lifecycle_state::Admitted },
        { { Refuse }, lifecycle_state::NotRun },
        { { Admit, Refuse }, lifecycle_state::NotRun },
        { { Admit, Dispatch }, lifecycle_state::Dispatched },
        { { Admit, Dispatch, Answer }, lifecycle_state::Answered },
        { { Admit, Dispatch, LoseOutcome }, lifecycle_state::Unknown },
        { { Admit, Dispatch, ServerDidNotStart }, lifecycle_state::Admitted },
        { { Admit, Dispatch, ServerDidNotStart, Refuse }, lifecycle_state::NotRun },
        { { Admit, Dispatch, ServerDidNotStart, Dispatch, Answer }, lifecycle_state::Answered },
    };
    for (const lifecycle_case &each : cases) {
        request_lifecycle lifecycle;
        for (const lifecycle_event event : each.events) {
            EXPECT_TRUE(lifecycle.apply(event));
        }
        EXPECT_EQ(lifecycle.state(), each.end) << lifecycleStateName(lifecycle.state());
    }
}

/** Reference model of the state machine. */
struct lifecycle_model
{
    bool isAdmitted = false;
    bool isOpen = false;
    lifecycle_state end = lifecycle_state::Received;

    bool apply(lifecycle_event event)
    {
        if (end != lifecycle_state::Received) {
            return false;
        }
        switch (event) {
        case Admit:
            return !isAdmitted && (isAdmitted = true);
        case Dispatch:
            return isAdmitted && !isOpen && (isOpen = true);
        case Answer:
            return isOpen && (end = lifecycle_state::Answered, true);
        case Refuse:
            return !isOpen && (end = lifecycle_state::NotRun, true);
        case ServerDidNotStart:
            return isOpen && !(isOpen = false);
        case LoseOutcome:
            return isOpen && (end = lifecycle_state::Unknown, true);
        }
        return false;
    }
    lifecycle_state state() const
    {
        return end != lifecycle_state::Received ? end
            : isOpen                            ? lifecycle_state::Dispatched
            : isAdmitted                        ? lifecycle_state::Admitted
                                                : lifecycle_state::Received;
    }
};

/** Runs all sequences of six events through the state machine and the model. A wrong transition could report "not run" for an attempt that may have run. */
TEST(RequestLifecycle, EverySequenceMatchesTheModel)
{
    constexpr int length = 6;
    constexpr int sequences = 6 * 6 * 6 * 6 * 6 * 6;
    for (int number = 0; number < sequences; ++number) {
        request_lifecycle lifecycle;
        lifecycle_model model;
        int rest = number;
        for (int step = 0; step < length; ++step) {
            const lifecycle_event event = allEvents[static_cast<std::size_t>(rest % 6)];
            rest /= 6;
            ASSERT_EQ(lifecycle.apply(event), model.apply(event)) << "sequence " << number << " step " << step;
            ASSERT_EQ(lifecycle.state(), model.state()) << "sequence " << number << " step " << step;
        }
    }
}

} // namespace
} // namespace reedtrail
