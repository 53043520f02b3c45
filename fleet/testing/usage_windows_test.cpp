#include "base/random.h"
#include "fleet/usage_ledger.h"
#include "fleet/usage_record.h"
#include "fleet/usage_windows.h"

#include <gtest/gtest.h>
#include <memory>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

constexpr std::int64_t epochMs = 1'700'000'000'000; // True Unix time at steady time 0.

/** A node with a ledger and a clock of its own, in a fleet whose true time is known. */
struct fake_node
{
    std::string name;
    std::int64_t clockErrorMs = 0;
    std::unique_ptr<usage_ledger> ledger;
    bool isAlive = true;
    time_point silentUntil;
};

struct fake_fleet
{
    explicit fake_fleet(int count)
    {
        for (int i = 0; i < count; ++i) {
            nodes.push_back({ "node-" + std::to_string(i), 0, std::make_unique<usage_ledger>("origin-" + std::to_string(i)), true, {} });
            names.push_back(nodes.back().name);
        }
    }
    void ask(usage_windows &windows, time_point now) const
    {
        for (const fake_node &node : nodes) {
            if (node.isAlive && now >= node.silentUntil) {
                usage_answer answer = node.ledger->answer(now, windows.question(node.name));
                answer.wallClockMs = epochMs + now.time_since_epoch() / 1ms + node.clockErrorMs;
                windows.onAnswer(now, node.name, now, answer);
            }
        }
    }
    std::vector<fake_node> nodes;
    std::vector<std::string> names;
};

std::int64_t windowAt(time_point at)
{
    return (epochMs + at.time_since_epoch() / 1ms) / 5000;
}

// Guards against a ledger that gives rows twice, leaves some out, or keeps them for good.
TEST(usage_windows_test, ledgerGivesExactlyWhatIsLacking)
{
    usage_ledger ledger("a", { 60s, 3, 2 });
    const time_point start(100s);
    ledger.record(start, "x", start);
    ledger.record(start, "y", start - 2s);
    usage_answer answer = ledger.answer(start + 1s, {});
    ASSERT_EQ(answer.batches.size(), 1U);
    EXPECT_EQ(answer.batches[0].agesMs, (std::vector<std::int64_t>{ 1000, 3000 }));
    EXPECT_TRUE(ledger.answer(start + 1s, { { { "a", 2 } } }).batches.empty());
    ledger.record(start + 2s, "x", start + 2s);
    answer = ledger.answer(start + 3s, { { { "a", 2 } } });
    ASSERT_EQ(answer.batches.size(), 1U);
    EXPECT_EQ(answer.batches[0].firstNumber, 2U);
    EXPECT_EQ(answer.batches[0].customers, std::vector<std::string>{ "x" });
    ledger.record(start + 3s, "z", start + 3s);
    EXPECT_EQ(ledger.size(), 3U) << "the oldest row goes first";
    EXPECT_EQ(ledger.dropped(), 1U);
    EXPECT_TRUE(ledger.answer(start + 64s, {}).batches.empty());
    ledger.record(start + 65s, "x", start + 65s);
    EXPECT_EQ(ledger.answer(start + 65s, {}).batches[0].firstNumber, 4U) << "numbers go on";
}

/** A node that stops hands its ledger to two others, so its rows come twice. */
TEST(usage_windows_test, rowsOfStoppedNodeAreCountedTwice)
{
    fake_fleet fleet(3);
    const time_point start(100s);
    usage_windows windows({});
    windows.begin(start, windowAt(start) - 1);
    fleet.nodes[0].ledger->record(start, "x", start);
    const usage_answer ledger = fleet.nodes[0].ledger->answer(start + 1s, {});
    fleet.nodes[1].ledger->take(start + 1s, ledger);
    fleet.nodes[2].ledger->take(start + 1s, ledger);
    fleet.nodes[2].ledger->take(start + 1s, ledger);
    fleet.nodes[0].isAlive = false;
    fleet.ask(windows, start + 2s);
    fleet.ask(windows, start + 8s);
    const auto reports = windows.takeDue(start + 20s, fleet.names);
    ASSERT_FALSE(reports.empty());
    EXPECT_EQ(reports[0].window, windowAt(start));
    EXPECT_EQ(reports[0].counts, (std::map<std::string, std::uint64_t>{ { "x", 1 } }));
}

/** Clocks of single nodes are wrong by minutes, the reporting node's included. */
TEST(usage_windows_test, requestMovesToWindowOfWrongClock)
{
    fake_fleet fleet(5);
    fleet.nodes[0].clockErrorMs = 90'000;
    fleet.nodes[3].clockErrorMs = -400'000;
    const time_point start(100s);
    usage_windows windows({});
    windows.begin(start, windowAt(start) - 1);
    fleet.nodes[0].ledger->record(start, "x", start);
    fleet.ask(windows, start + 6s);
    fleet.nodes[3].clockErrorMs = 400'000; // Stepped meanwhile.
    fleet.ask(windows, start + 7s);
    const auto reports = windows.takeDue(start + 7s, fleet.names);
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports[0].window, windowAt(start));
    EXPECT_EQ(reports[0].counts.at("x"), 1U);
}

/** The reporting node hears itself first, and its clock is an hour ahead: the windows until then were never reported. */
TEST(usage_windows_test, wrongClockOfReportingNodeSkipsWindows)
{
    for (const std::int64_t errorMs : { 3'600'000, -3'600'000 }) {
        fake_fleet fleet(5);
        fleet.nodes[0].clockErrorMs = errorMs;
        const time_point start(100s);
        usage_windows windows({});
        windows.begin(start, windowAt(start) - 2);
        usage_answer own = fleet.nodes[0].ledger->answer(start, windows.question(fleet.names[0]));
        own.wallClockMs = epochMs + start.time_since_epoch() / 1ms + errorMs;
        windows.onAnswer(start, fleet.names[0], start, own);
        EXPECT_TRUE(windows.takeDue(start, fleet.names).empty());
        fleet.nodes[1].ledger->record(start, "x", start);
        fleet.ask(windows, start + 7s);
        const auto reports = windows.takeDue(start + 7s, fleet.names);
        ASSERT_EQ(reports.size(), 2U);
        EXPECT_EQ(reports[1].window, windowAt(start));
        EXPECT_EQ(reports[1].counts.at("x"), 1U);
    }
}

/** Each question named what was known of all nodes, so that the questions of one round grew with the square of their number. */
TEST(usage_windows_test, questionGrowsWithNumberOfNodes)
{
    fake_fleet fleet(300);
    const time_point start(100s);
    usage_windows windows({});
    windows.begin(start, std::nullopt);
    for (const fake_node &node : fleet.nodes) {
        node.ledger->record(start, "x", start);
    }
    fleet.nodes[7].ledger->take(start, fleet.nodes[8].ledger->answer(start, {}));
    fleet.ask(windows, start + 1s);
    EXPECT_EQ(windows.question("node-3").known.size(), 1U);
    EXPECT_EQ(windows.question("node-7").known.size(), 2U) << "its own, and that of a node that stopped";
    EXPECT_TRUE(windows.question("another").known.empty());
    for (const fake_node &node : fleet.nodes) {
        EXPECT_TRUE(node.ledger->answer(start + 1s, windows.question(node.name)).batches.empty()) << node.name;
    }
}

/** A window is kept open for a node without answers, until its report must be sent. */
TEST(usage_windows_test, windowIsClosedWithoutNodeThatAnswersLater)
{
    fake_fleet fleet(3);
    const time_point start(100s); // A window begins here.
    ASSERT_EQ((epochMs + start.time_since_epoch() / 1ms) % 5000, 0);
    usage_windows windows({});
    windows.begin(start, windowAt(start) - 1);
    fleet.ask(windows, start + 1s);
    fleet.nodes[2].ledger->record(start + 2s, "x", start + 2s);
    fleet.nodes[2].silentUntil = start + 8s;
    fleet.ask(windows, start + 7s);
    EXPECT_TRUE(windows.takeDue(start + 7s, fleet.names).empty());
    fleet.ask(windows, start + 9s);
    const auto reports = windows.takeDue(start + 9s, fleet.names);
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports[0].counts.at("x"), 1U);
    fleet.nodes[2].silentUntil = start + 1h;
    fleet.ask(windows, start + 12s);
    EXPECT_TRUE(windows.takeDue(start + 12s, fleet.names).empty());
    EXPECT_EQ(windows.takeDue(start + 17s, fleet.names).size(), 1U) << "its report is due at 20 s";
}

/**
 * Nodes stop in order, leave questions unanswered and have clocks that step, and the reporting node changes. Each window is reported once and in time, with at
 * least 95 % of the requests.
 */
TEST(usage_windows_test, eachWindowIsReportedOnceWhateverFails)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        random_source random(seed);
        fake_fleet fleet(12);
        for (fake_node &node : fleet.nodes) {
            node.clockErrorMs = static_cast<std::int64_t>(random.below(60)) - 30;
        }
        usage_record stored;
        usage_windows windows({});
        std::map<std::int64_t, std::map<std::string, std::uint64_t>> truth;
        std::map<std::string, std::uint64_t> lost; // By customer, of killed nodes.
        const time_point start(100s);
        windows.begin(start, std::nullopt);
        std::uint64_t incarnation = 0;
        std::uint64_t reported = 0;
        std::uint64_t recorded = 0;
        for (time_point now = start; now < start + 120s; now += 250ms) {
            for (fake_node &node : fleet.nodes) {
                if (node.isAlive && random.chance(0.1) && now > start + 10s && now < start + 90s && (now.time_since_epoch() / 250ms) % 20 != 0) {
                    const std::string customer = "c" + std::to_string(random.below(4));
                    node.ledger->record(now, customer, now - 50ms);
                    ++truth[windowAt(now - 50ms)][customer];
                    ++recorded;
                }
            }
            fake_node &victim = fleet.nodes[random.below(fleet.nodes.size())];
            if (random.chance(0.01)) { // Stops in order.
                const usage_answer ledger = victim.ledger->answer(now, {});
                fleet.nodes[random.below(fleet.nodes.size())].ledger->take(now, ledger);
                fleet.nodes[random.below(fleet.nodes.size())].ledger->take(now, ledger);
                victim.ledger = std::make_unique<usage_ledger>("again-" + std::to_string(++incarnation));
            } else if (random.chance(0.01)) {
                victim.silentUntil = now + 4s;
            } else if (random.chance(0.005)) {
                victim.clockErrorMs += random.chance(0.5) ? 100'000 : -100'000;
            }
            if (random.chance(0.01)) { // Another node reports from now on.
                windows.begin(now, stored.lastWindow());
                fleet.ask(windows, now);
            }
            if ((now.time_since_epoch() / 250ms) % 10 == 0) {
                fleet.ask(windows, now);
            }
            const auto due = windows.takeDue(now, fleet.names);
            for (const usage_report &report : due) {
                EXPECT_TRUE(!stored.lastWindow() || report.window > *stored.lastWindow()) << "a second report of window " << report.window;
                EXPECT_LE(now, start + (report.window - windowAt(start) + 1) * 5s + 10s - 3s) << "late";
                for (const auto &[customer, count] : report.counts) {
                    reported += count;
                    EXPECT_LE(count, truth[report.window][customer]) << "window " << report.window << " of " << customer;
                }
            }
            stored.add(due);
            EXPECT_EQ(usage_record::decode(stored.encode())->encode(), stored.encode());
        }
        EXPECT_GE(static_cast<double>(reported), 0.95 * static_cast<double>(recorded));
    }
}

TEST(usage_windows_test, recordSendsOldestUnacceptedReportFirst)
{
    usage_record record;
    EXPECT_EQ(record.nextToSend(), nullptr);
    record.add({ { 5, { { "x", 1 } } }, { 6, {} } });
    record.add({ { 6, { { "x", 9 } } } });
    ASSERT_EQ(record.reports.size(), 2U);
    EXPECT_TRUE(record.reports[1].counts.empty()) << "the counts recorded first hold";
    EXPECT_EQ(record.nextToSend()->window, 5);
    record.lastAccepted = 5;
    EXPECT_EQ(record.nextToSend()->window, 6);
    for (std::int64_t window = 7; window < 100; ++window) {
        record.add({ { window, {} } });
    }
    EXPECT_EQ(record.reports.size(), usage_record::maxReports);
    EXPECT_FALSE(usage_record::decode("no record"));
}

} // namespace
} // namespace reedtrail
