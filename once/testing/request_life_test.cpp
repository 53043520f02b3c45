#include "once/request_life.h"

#include <array>
#include <gtest/gtest.h>
#include <vector>

namespace reedtrail {
namespace {

using enum life_event;

constexpr std::array<life_event, 6> everyEvent{ Admit, Dispatch, Answer, Refuse, ServerDidNotStart, Lose };

struct life_case
{
    std::vector<life_event> events;
    life_state end;
};

TEST(RequestLife, KnownPaths)
{
    const std::vector<life_case> cases{
        { {}, life_state::Received },
        { { Admit }, life_state::Admitted },
        { { Refuse }, life_state::NotRun },
        { { Admit, Refuse }, life_state::NotRun },
        { { Admit, Dispatch }, life_state::Dispatched },
        { { Admit, Dispatch, Answer }, life_state::Answered },
        { { Admit, Dispatch, Lose }, life_state::Unknown },
        { { Admit, Dispatch, ServerDidNotStart }, life_state::Admitted },
        { { Admit, Dispatch, ServerDidNotStart, Refuse }, life_state::NotRun },
        { { Admit, Dispatch, ServerDidNotStart, Dispatch, Answer }, life_state::Answered },
    };
    for (const life_case &each : cases) {
        request_life life;
        for (const life_event event : each.events) {
            EXPECT_TRUE(life.apply(event));
        }
        EXPECT_EQ(life.state(), each.end) << lifeStateName(life.state());
    }
}

/** The oracle: a few lines of state kept beside the machine. */
struct life_oracle
{
    bool isAdmitted = false;
    bool isOpen = false;
    life_state end = life_state::Received;

    bool apply(life_event event)
    {
        if (end != life_state::Received) {
            return false;
        }
        switch (event) {
        case Admit:
            return !isAdmitted && (isAdmitted = true);
        case Dispatch:
            return isAdmitted && !isOpen && (isOpen = true);
        case Answer:
            return isOpen && (end = life_state::Answered, true);
        case Refuse:
            return !isOpen && (end = life_state::NotRun, true);
        case ServerDidNotStart:
            return isOpen && !(isOpen = false);
        case Lose:
            return isOpen && (end = life_state::Unknown, true);
        }
        return false;
    }
    life_state state() const
    {
        return end != life_state::Received ? end : isOpen ? life_state::Dispatched : isAdmitted ? life_state::Admitted : life_state::Received;
    }
};

/** All sequences of six events: the machine and the oracle agree at each step, and not-run never follows an attempt that may have run. */
TEST(RequestLife, EverySequenceAgreesWithTheOracle)
{
    constexpr int length = 6;
    constexpr int sequences = 6 * 6 * 6 * 6 * 6 * 6;
    for (int number = 0; number < sequences; ++number) {
        request_life life;
        life_oracle oracle;
        int rest = number;
        for (int step = 0; step < length; ++step) {
            const life_event event = everyEvent[static_cast<std::size_t>(rest % 6)];
            rest /= 6;
            ASSERT_EQ(life.apply(event), oracle.apply(event)) << "sequence " << number << " step " << step;
            ASSERT_EQ(life.state(), oracle.state()) << "sequence " << number << " step " << step;
        }
    }
}

} // namespace
} // namespace reedtrail
