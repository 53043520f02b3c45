// The trainer numbers its pulls in sequence and acknowledges the last number received. After a failure it repeats the same number at the next gate. With a
// configured probability a pull is repeated at another gate and both responses are compared. When a step is complete, the trainer simulates training for a
// fixed time and publishes the next weight version. Idle time is the time from the end of training to the arrival of the last sample of the next step; the
// wait for the first step is counted separately.

#include "net/http_client.h"
#include "standins/standin_host.h"
#include "standins/subcommands.h"
#include "standins/trainer_ledger.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdio>

namespace reedtrail {
namespace {

constexpr duration retryDelay = std::chrono::milliseconds(200);
constexpr std::int64_t pullWaitMs = 2000;

/** Client that pulls the samples of one run and checks them. */
class trainer_stand_in : public stand_in
{
public:
    explicit trainer_stand_in(stand_in_context &context)
        : m_io(context.io)
        , m_client(context.io, {})
        , m_timer(context.io)
        , m_random(context.seed)
        , m_run(context.options.value("run", "run-1"))
        , m_token(context.options.value("token"))
        , m_steps(static_cast<std::uint64_t>(context.numbers.integer("steps", 3, 1, 1000000)))
        , m_trainTime(std::chrono::milliseconds(context.numbers.integer("train-ms", 500, 0, 3600000)))
        , m_giveUpAfter(std::chrono::seconds(context.numbers.integer("give-up-s", 120, 1, 86400)))
        , m_repeatChance(context.numbers.number("repeat-chance", 0.2, 0, 1))
        , m_expectation(readExpectation(context))
        , m_ledger(m_run, m_expectation)
    {
        for (const std::string &text : context.options.values("gate")) {
            const std::optional<failure> error = failureOf([&]() -> result<void> {
                BOOST_LEAF_AUTO(gateAddress, parseEndpoint(text));
                m_gates.push_back(gateAddress);
                return {};
            });
            if (error) {
                context.numbers.reject("gate", "IP:PORT");
            }
        }
        if (m_gates.empty()) {
            context.numbers.reject("gate", "given once or more");
        }
        if (context.options.has("weight-store")) {
            m_weightStore = context.numbers.address("weight-store");
        }
        m_startedAt = steadyNow();
        m_waitingSince = m_startedAt;
        boost::asio::post(m_io, [this] {
            pull();
        });
    }

    void handle(const std::shared_ptr<http_exchange> &exchange) override
    {
        respondJson(exchange, 200, summary());
    }

    int exitCode() const override
    {
        return m_ledger.hasViolation() || m_ledger.counts().stepsCompleted < m_steps ? 1 : 0;
    }

private:
    static trainer_expectation readExpectation(stand_in_context &context)
    {
        trainer_expectation expectation;
        const std::int64_t groups = context.numbers.integer("groups", 4, 1, 65536);
        const std::int64_t groupSize = context.numbers.integer("group-size", 4, 1, 1024);
        expectation.samplesPerStep = static_cast<std::uint64_t>(groups * groupSize);
        expectation.stalenessBound = static_cast<std::uint64_t>(context.numbers.integer("staleness-bound", 2, 0, 1000));
        expectation.firstVersion = static_cast<std::uint64_t>(context.numbers.integer("first-version", 1, 0, INT64_MAX));
        return expectation;
    }

    http_request pullRequest() const
    {
        http_request request;
        request.target = "/v1/runs/" + m_run + "/pull?number=" + std::to_string(m_pullNumber) + "&have=" + std::to_string(m_pullNumber - 1)
            + "&waitMs=" + std::to_string(pullWaitMs);
        request.fields.set("Authorization", "Bearer " + m_token);
        return request;
    }

    void pull()
    {
        if (steadyNow() - m_waitingSince > m_giveUpAfter) {
            finish("no step within the time to give up");
            return;
        }
        const http_call_options options{ .silenceTimeout = std::chrono::seconds(5), .deadline = std::chrono::seconds(8) };
        m_client.call(m_gates[m_gate], pullRequest(), options, [this](const http_call_end &callEnd, const http_response &response) {
            const nlohmann::json answer = nlohmann::json::parse(response.body, nullptr, false);
            if (callEnd.error != error_kind::None || response.status != 200 || !answer.is_object()) {
                m_lastError = callEnd.error != error_kind::None ? callEnd.detail : std::to_string(response.status) + " " + response.body;
                ++m_failedPulls;
                selectNextGate();
                runAfter(retryDelay, &trainer_stand_in::pull);
                return;
            }
            onAnswer(answer);
        });
    }

    void selectNextGate()
    {
        m_gate = (m_gate + 1) % m_gates.size();
    }

    void runAfter(duration delay, void (trainer_stand_in::*action)())
    {
        m_timer.expires_after(delay);
        m_timer.async_wait([this, action](const boost::system::error_code &error) {
            if (!error) {
                (this->*action)();
            }
        });
    }

    void onAnswer(const nlohmann::json &answer)
    {
        const bool hasSamples = !answer.value("samples", nlohmann::json::array()).empty();
        if (hasSamples && m_random.chance(m_repeatChance)) {
            repeatPull(answer);
            return;
        }
        processAnswer(answer);
    }

    /** Repeats the pull number at another gate and compares both responses. */
    void repeatPull(const nlohmann::json &first)
    {
        selectNextGate();
        const http_call_options options{ .silenceTimeout = std::chrono::seconds(5), .deadline = std::chrono::seconds(8) };
        m_client.call(m_gates[m_gate], pullRequest(), options, [this, first](const http_call_end &callEnd, const http_response &response) {
            const nlohmann::json second = nlohmann::json::parse(response.body, nullptr, false);
            if (callEnd.error == error_kind::None && response.status == 200 && second.is_object()) {
                ++m_repeatedPulls;
                m_ledger.compareRepeat(first, second);
            }
            processAnswer(first);
        });
    }

    void processAnswer(const nlohmann::json &answer)
    {
        if (m_ledger.accept(answer)) {
            ++m_pullNumber;
        }
        if (m_ledger.isStepComplete()) {
            finishStep();
        } else {
            pull();
        }
    }

    void finishStep()
    {
        const duration waited = steadyNow() - m_waitingSince;
        (m_ledger.counts().stepsCompleted == 0 ? m_firstStepWait : m_idleTime) += waited;
        m_ledger.closeStep();
        std::fprintf(stderr,
                     "trainer %s: %llu of %llu steps, waited %.2f s\n",
                     m_run.c_str(),
                     static_cast<unsigned long long>(m_ledger.counts().stepsCompleted),
                     static_cast<unsigned long long>(m_steps),
                     toSeconds(waited));
        if (++m_stepsClosed >= m_steps) {
            finish("");
            return;
        }
        runAfter(m_trainTime, &trainer_stand_in::publish);
    }

    void publish()
    {
        m_waitingSince = steadyNow();
        if (!m_weightStore) {
            pull();
            return;
        }
        const std::uint64_t version = m_expectation.firstVersion + m_stepsClosed;
        const std::string target = "/v1/models/" + m_run + "/versions/" + std::to_string(version);
        m_client.call(*m_weightStore, { "PUT", target, {}, "" }, {}, [this](const http_call_end &callEnd, const http_response &response) {
            if (callEnd.error != error_kind::None || response.status != 200) {
                runAfter(retryDelay, &trainer_stand_in::publish);
                return;
            }
            ++m_published;
            pull();
        });
    }

    nlohmann::json summary() const
    {
        nlohmann::json all = m_ledger.summary();
        const double total = toSeconds(steadyNow() - m_startedAt);
        all["seconds"] = total;
        all["idleSeconds"] = toSeconds(m_idleTime);
        all["firstWaitSeconds"] = toSeconds(m_firstStepWait);
        all["idleShare"] = total > 0 ? toSeconds(m_idleTime) / total : 0;
        all["pulls"] = m_pullNumber - 1;
        all["repeatedPulls"] = m_repeatedPulls;
        all["failedPulls"] = m_failedPulls;
        all["published"] = m_published;
        all["lastError"] = m_lastError;
        all["gaveUp"] = m_giveUpReason;
        return all;
    }

    void finish(const std::string &reason)
    {
        m_giveUpReason = reason;
        std::printf("%s\n", summary().dump().c_str());
        std::fflush(stdout);
        m_io.stop();
    }

    boost::asio::io_context &m_io;
    http_client m_client;
    boost::asio::steady_timer m_timer;
    random_source m_random;
    std::string m_run;
    std::string m_token;
    std::uint64_t m_steps;
    duration m_trainTime;
    duration m_giveUpAfter;
    double m_repeatChance;
    trainer_expectation m_expectation;
    trainer_ledger m_ledger;
    std::vector<endpoint> m_gates;
    std::size_t m_gate = 0;
    std::optional<endpoint> m_weightStore;
    std::uint64_t m_pullNumber = 1;
    std::uint64_t m_stepsClosed = 0;
    std::uint64_t m_published = 0;
    std::uint64_t m_failedPulls = 0;
    std::uint64_t m_repeatedPulls = 0;
    time_point m_startedAt;
    time_point m_waitingSince;
    duration m_idleTime{};
    duration m_firstStepWait{};
    std::string m_lastError;
    std::string m_giveUpReason;
};

} // namespace

int runTrainer(int argc, char **argv)
{
    command_line line("reedtrail-standin trainer",
                      "Stands in for a trainer: pulls samples step after step, checks them, publishes weights, prints a JSON line.");
    line.option("gate", "IP:PORT", "Gate to pull from; may be given several times");
    line.option("run", "ID", "Run (run-1)");
    line.option("token", "TOKEN", "Token of the run's customer");
    line.option("steps", "N", "Steps to train (3)");
    line.option("groups", "N", "Groups a step (4)");
    line.option("group-size", "N", "Samples a group (4)");
    line.option("staleness-bound", "N", "Most steps a sample may lie behind (2)");
    line.option("first-version", "V", "Version of the weights at the first step (1)");
    line.option("train-ms", "MS", "Time to train on a step (500)");
    line.option("give-up-s", "S", "Ends if a step is not whole after this time (120)");
    line.option("repeat-chance", "P", "Share of the pulls that are asked again at another gate and compared (0.2)");
    line.option("weight-store", "IP:PORT", "Where new versions are published");
    return runStandIn(line, argc, argv, [](stand_in_context &context) {
        return std::make_unique<trainer_stand_in>(context);
    });
}

} // namespace reedtrail
