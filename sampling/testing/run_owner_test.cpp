#include "sampling/run_owner.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

const run_id run("run-1");

run_settings settingsOf(std::int64_t groups, std::int64_t groupSize)
{
    run_settings settings;
    settings.id = run;
    settings.groups = groups;
    settings.groupSize = groupSize;
    return settings;
}

std::vector<draft_order> ordersIn(const run_actions &actions)
{
    std::vector<draft_order> orders;
    for (const run_action_item &action : actions) {
        if (const auto *order = std::get_if<run_action::order_draft>(&action)) {
            orders.push_back(order->order);
        }
    }
    return orders;
}

// After a takeover the store holds only the last batch of step 1: the records of the earlier batches were removed once acknowledged. Guards against an owner
// that takes the slots missing from the store for open ones and drafts samples that were already delivered.
TEST(run_owner, takeoverOrdersNoDraftsForCompleteSteps)
{
    run_owner owner(run, {});
    owner.onEvent(time_point{}, run_event::settings_changed{ settingsOf(2, 2) });
    owner.onEvent(time_point{}, run_event::gates_changed{ { { node_id("node-1"), 100 } } });
    seal_record last;
    last.number = 3;
    last.step = 1;
    last.groups = 2;
    last.groupSize = 2;
    last.isStepComplete = true;
    last.samples.push_back({ .slot = { run, 1, 1, 1 }, .draft = 7, .versions = { { 0, 5, 1 } }, .tokens = 5, .spoolNode = node_id("s"), .payloadKey = "k" });
    owner.onEvent(time_point{}, run_event::ownership_gained{ 9, { last } });
    const std::vector<draft_order> orders = ordersIn(owner.onEvent(time_point(std::chrono::seconds(2)), run_event::timer{}));
    ASSERT_GE(orders.size(), 4U);
    for (std::size_t index = 0; index < orders.size(); ++index) {
        EXPECT_EQ(orders[index].slot.step, 2 + index / 4); // All slots of step 2 come first, then those of later steps.
    }
}

// Guards against sealing a draft whose versions do not cover every token exactly once with known, never decreasing versions. A late report of the engine or two
// streams mixed up cause such drafts.
TEST(run_owner, draftsWithInconsistentVersionsAreNotSealed)
{
    struct draft_case
    {
        const char *name;
        std::vector<version_range> versions;
        bool isGood;
    };
    const std::vector<draft_case> cases{ { "one version", { { 0, 10, 1 } }, true },
                                         { "version change in mid-stream", { { 0, 4, 1 }, { 4, 10, 2 } }, true },
                                         { "no version", {}, false },
                                         { "unknown version", { { 0, 4, 1 }, { 4, 10, 0 } }, false },
                                         { "gap", { { 0, 4, 1 }, { 5, 10, 1 } }, false },
                                         { "overlap", { { 0, 5, 1 }, { 4, 10, 1 } }, false },
                                         { "last token without version", { { 0, 9, 1 } }, false },
                                         { "older after newer", { { 0, 4, 2 }, { 4, 10, 1 } }, false } };
    for (const draft_case &each : cases) {
        SCOPED_TRACE(each.name);
        run_owner owner(run, {});
        owner.onEvent(time_point{}, run_event::settings_changed{ settingsOf(1, 1) });
        owner.onEvent(time_point{}, run_event::gates_changed{ { { node_id("node-1"), 1 } } });
        const std::vector<draft_order> orders = ordersIn(owner.onEvent(time_point{}, run_event::ownership_gained{ 9, {} }));
        ASSERT_FALSE(orders.empty());
        draft_result result{ .slot = orders[0].slot, .draft = orders[0].draft, .epoch = 9, .error = "none", .versions = each.versions, .tokens = 10 };
        owner.onEvent(time_point(std::chrono::seconds(2)), run_event::draft_ended{ result });
        EXPECT_EQ(owner.counts().sealWrites, each.isGood ? 1U : 0U);
    }
}

} // namespace
} // namespace reedtrail
