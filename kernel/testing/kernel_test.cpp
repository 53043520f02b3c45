#include "kernel/command_line.h"
#include "kernel/metrics.h"
#include "kernel/service.h"

#include <gmock/gmock.h>

namespace reedtrail {
namespace {

using testing::HasSubstr;

/** Records what the kernel asks of it. */
class recording_service : public service
{
public:
    recording_service(std::string name, std::string &calls, bool fails = false)
        : m_name(std::move(name))
        , m_calls(calls)
        , m_fails(fails)
    {
    }
    result<void> start(kernel &) override
    {
        m_calls += "+" + m_name;
        if (m_fails) {
            return fail(error_kind::PeerUnreachable, "no port");
        }
        return {};
    }
    void drain(std::function<void()> done) override
    {
        m_calls += "~" + m_name;
        done();
    }
    void stop() override
    {
        m_calls += "-" + m_name;
    }

private:
    std::string m_name;
    std::string &m_calls;
    bool m_fails;
};

TEST(kernel, startsInOrderAndDrainsAndStopsInReverse)
{
    std::string calls;
    kernel process;
    process.add("a", std::make_unique<recording_service>("a", calls));
    process.add("b", std::make_unique<recording_service>("b", calls));
    ASSERT_TRUE(process.start());
    bool drained = false;
    process.drain([&] {
        drained = true;
    });
    process.stop();
    EXPECT_EQ(calls, "+a+b~b~a-b-a");
    EXPECT_TRUE(drained);
}

/** Guards against a service that uses another one at its end, which has been destroyed before. */
TEST(kernel, serviceIsDestroyedBeforeThoseItUses)
{
    struct named_service : service
    {
        named_service(std::string name, std::string &destroyed)
            : name(std::move(name))
            , destroyed(destroyed)
        {
        }
        ~named_service() override
        {
            destroyed += name;
        }
        result<void> start(kernel &) override
        {
            return {};
        }
        std::string name;
        std::string &destroyed;
    };
    std::string destroyed;
    {
        kernel process;
        for (const char *name : { "a", "b", "c" }) {
            process.add(name, std::make_unique<named_service>(name, destroyed));
        }
    }
    EXPECT_EQ(destroyed, "cba");
}

TEST(kernel, stopsWhatWasStartedWhenALaterServiceFails)
{
    std::string calls;
    kernel process;
    process.add("a", std::make_unique<recording_service>("a", calls));
    process.add("b", std::make_unique<recording_service>("b", calls, true));
    const std::optional<failure> error = failureOf([&] {
        return process.start();
    });
    ASSERT_TRUE(error);
    EXPECT_EQ(error->detail, "no port");
    EXPECT_EQ(calls, "+a+b-a");
}

TEST(kernel, findsServicesByNameAndType)
{
    std::string calls;
    kernel process;
    process.add("a", std::make_unique<recording_service>("a", calls));
    EXPECT_TRUE(process.find<recording_service>("a"));
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_CHECK(process.find<recording_service>("b"));
        return {};
    });
    EXPECT_TRUE(error);
}

/** A command line, and the exit code it must end in (-1: goes on). */
struct line_case
{
    std::vector<std::string> words;
    int exitCode;
};

TEST(command_line, refusesWhatItDoesNotKnow)
{
    const line_case cases[] = {
        { { "--settings", "f" }, -1 },
        { { "--settings=f", "--quiet" }, -1 },
        { { "--help" }, 0 },
        { { "--version" }, 0 },
        { { "--settings" }, 2 },
        { { "--unknown" }, 2 },
        { { "--quiet=yes" }, 2 },
        { { "-x" }, 2 },
        { { "word" }, 2 },
    };
    for (const line_case &example : cases) {
        command_line line("program", "Does things.");
        line.option("settings", "FILE", "Settings");
        line.flag("quiet", "Says less");
        std::vector<std::string> words = example.words;
        words.insert(words.begin(), "program");
        std::vector<char *> pointers;
        pointers.reserve(words.size() + 1);
        for (std::string &word : words) {
            pointers.push_back(word.data());
        }
        pointers.push_back(nullptr);
        const parsed_line parsed = line.parse(static_cast<int>(words.size()), pointers.data());
        EXPECT_EQ(parsed.exitCode.value_or(-1), example.exitCode) << words.back();
    }
}

TEST(metrics, showsCountersGaugesAndHistogramsInPrometheusForm)
{
    metric_registry metrics;
    metrics.counter("refused_total", "Refused", R"(kind="late")").add(3);
    metrics.gauge("queue", "Waiting").set(2.5);
    for (int i = 1; i <= 100; ++i) {
        metrics.latency("wait_seconds", "Wait").record(std::chrono::milliseconds(i));
    }
    const std::string page = metrics.page();
    EXPECT_THAT(page, HasSubstr("# TYPE refused_total counter\nrefused_total{kind=\"late\"} 3\n"));
    EXPECT_THAT(page, HasSubstr("queue 2.5\n"));
    EXPECT_THAT(page, HasSubstr("wait_seconds_bucket{le=\"+Inf\"} 100\n"));
    EXPECT_THAT(page, HasSubstr("wait_seconds_count 100\n"));
    const double median = metrics.latency("wait_seconds", "Wait").quantile(0.5);
    EXPECT_GE(median, 0.050);
    EXPECT_LE(median, 0.050 * 1.13);
}

} // namespace
} // namespace reedtrail
