// Case 5: batch jobs within the operator's limits end the edge machines that they reach.
//
// Three trainers submit a batch job every few seconds. With the disruption, the prompts of its 64 items are long: 100 KB each, so that the submission has
// 8.5 MB, a quarter of the configuration's maxBodyBytes. The platform kills a process that uses more than its memoryMb, and starts it again.

#include "review/standins/platform.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace review {
namespace {

using nlohmann::json;

constexpr int edges = 4;
constexpr int memoryMb = 110;
constexpr int maxBodyBytes = 33554432;
constexpr int trainers = 3;
constexpr int stepsOfTrainer = 8;
constexpr int items = 64;
constexpr std::size_t longPromptBytes = 100000;
constexpr std::size_t shortPromptBytes = 600;
constexpr std::int64_t stepMs = 4000;
constexpr std::int64_t restartMs = 300;
constexpr std::int64_t samplePauseMs = 2;
constexpr int endsThatCount = 3; ///< Of one machine.
constexpr int machinesThatCount = 2;

/** Kills what uses too much memory, and starts it again, as the platform does. */
class memory_watch
{
public:
    memory_watch(record_file &record, deployment &nodes)
        : m_record(record)
        , m_nodes(nodes)
        , m_ends(nodes.edges(), 0)
        , m_peaks(nodes.edges(), 0)
    {
        for (std::size_t i = 0; i < nodes.edges(); ++i) {
            std::thread([this, i] {
                watch(i);
            }).detach();
        }
    }

    std::string describe() const
    {
        std::string text;
        for (std::size_t i = 0; i < m_ends.size(); ++i) {
            text += (i == 0 ? "" : ", ") + m_nodes.edge(i).name() + " ended " + std::to_string(m_ends[i]) + " times, most "
                + std::to_string(static_cast<int>(m_peaks[i])) + " MB";
        }
        return text;
    }
    int machinesOverLimit() const
    {
        return static_cast<int>(std::ranges::count_if(m_ends, [](int ends) {
            return ends >= endsThatCount;
        }));
    }

private:
    void watch(std::size_t index)
    {
        node_process &node = m_nodes.edge(index);
        while (true) {
            sleepMs(samplePauseMs);
            const double used = node.memoryMb();
            m_peaks[index] = std::max(m_peaks[index], used);
            const bool isOver = used > memoryMb;
            if (isOver) {
                node.signal(SIGKILL);
                sleepMs(50);
            }
            if (const std::optional<int> status = node.ended()) {
                ++m_ends[index];
                m_record.line(node.name()
                              + (isOver ? " uses " + std::to_string(static_cast<int>(used)) + " MB of " + std::to_string(memoryMb) + " and is killed"
                                        : " ends with status " + std::to_string(*status)));
                sleepMs(restartMs);
                node.start(false);
            }
        }
    }

    record_file &m_record;
    deployment &m_nodes;
    std::vector<int> m_ends;
    std::vector<double> m_peaks;
};

/** A model server that answers each item with three events. */
void serveItems(tcp_connection &connection, const std::string &server)
{
    while (const std::optional<http_message> request = connection.readRequest()) {
        const std::string id = request->get("Request-Id");
        std::string reply;
        if (request->path() == "/-/report") {
            const json models = json::array({ { { "name", "m0" }, { "version", 1 }, { "adapters", json::array() } } });
            reply = encodeResponse(200, { { "Content-Type", "application/json" } }, json{ { "models", models }, { "busy", false }, { "sequence", 0 } }.dump());
        } else if (request->get("Expect-Instance") != server) {
            reply = encodeResponse(421, { { "Request-Id", id }, { "Not-Executed", "1" } }, "");
        } else {
            sleepMs(60);
            std::string text;
            for (int i = std::atoi(request->get("Last-Event-Id").c_str()) + 1; i <= 3; ++i) {
                text += "id: " + std::to_string(i) + "\ndata: " + id + "/" + std::to_string(i) + "\n\n";
            }
            reply = encodeResponse(
                200, { { "Request-Id", id }, { "Server-Signature", "sig." + id }, { "Weight-Versions", "1" }, { "Content-Type", "text/event-stream" } }, text);
        }
        if (!connection.write(reply)) {
            return;
        }
    }
}

std::string makeJob(const std::string &name, int step, std::size_t promptBytes)
{
    json rows = json::array();
    for (int i = 0; i < items; ++i) {
        const std::string number = std::to_string(i);
        rows.push_back({ { "id", name + "." + number },
                         { "path", "/roll/" + number },
                         { "headers", { { "Model", "m0" }, { "Token-Count", "25000,8" }, { "Prompt-Prefix", "9c2e41:24984,5d07b" + number + ":16" } } },
                         { "body", encodeBase64(std::string(promptBytes, static_cast<char>('a' + i % 26))) },
                         { "tokens", 25008 },
                         { "group", name + "g" + std::to_string(i / 8) } });
    }
    return json{ { "step", step }, { "model", "m0" }, { "minVersion", 1 }, { "groupCount", items / 8 }, { "items", rows } }.dump();
}

[[noreturn]] void run(const case_setup &setup)
{
    record_file record(setup.record);
    metadata_store store(record);
    json roll = makeRoute("roll", "/roll/", "rollout", "lm");
    roll["runTargetMs"] = 7500;
    roll["itemTtlS"] = 60;
    const json engine{ { "slots", 12 }, { "kvTokens", 36488 }, { "models", json::array({ { { "name", "m0" } } }) } };
    store.put("op/config",
              { { "version", 1 },
                { "routes", json::array({ roll }) },
                { "services", json::array({ { { "name", "lm" }, { "healthPath", "/health" }, { "maxConns", 160 }, { "engine", engine } } }) },
                { "limits", { { "headerBytes", 16384 }, { "maxBodyBytes", maxBodyBytes }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } } } });
    std::vector<std::unique_ptr<tcp_listener>> servers;
    for (int i = 0; i < 3; ++i) {
        const std::string id = "i-" + std::to_string(i);
        servers.push_back(std::make_unique<tcp_listener>([id](tcp_connection &connection) {
            serveItems(connection, id);
        }));
        json entry = makeRegistration("lm", servers.back()->port(), i % 2 == 0 ? "zone-a" : "zone-b", 12, unixMs(), "v1");
        entry["models"] = json::array({ { { "name", "m0" }, { "version", 1 }, { "adapters", json::array() } } });
        store.put("servers/" + id, entry);
    }
    deployment nodes(setup, store.port(), edges);
    for (std::size_t i = 0; i < nodes.edges(); ++i) {
        nodes.edge(i).setMemoryMb(memoryMb);
    }
    if (!nodes.start()) {
        record.line("the edge machines did not become ready");
        finish(nodes, couldNotRun);
    }
    memory_watch memory(record, nodes);
    std::atomic<int> accepted = 0;
    std::vector<std::thread> all;
    all.reserve(trainers);
    for (int trainer = 0; trainer < trainers; ++trainer) {
        all.emplace_back([&, trainer] {
            for (int step = 0; step < stepsOfTrainer; ++step) {
                const std::int64_t due = elapsedMs() + stepMs;
                const std::string name = "job" + std::to_string(trainer) + "." + std::to_string(step);
                const std::string job = makeJob(name, step, setup.hasTrouble ? longPromptBytes : shortPromptBytes);
                int status = 0;
                for (int attempt = 0; attempt < 2 && status != 202; ++attempt) {
                    node_process &node = nodes.edge(static_cast<std::size_t>(trainer + step + attempt) % nodes.edges());
                    status = callOnce(node.callers(), "POST", "/roll/" + name, { { "Request-Id", name } }, job, 4000).status;
                    record.line("trainer submits " + name + ", " + std::to_string(job.size()) + " bytes, to " + node.name() + ": "
                                + (status == 0 ? "no answer" : std::to_string(status)));
                }
                accepted += status == 202 ? 1 : 0;
                sleepMs(due - elapsedMs());
                callOnce(nodes.edge(static_cast<std::size_t>(trainer + step) % nodes.edges()).callers(), "DELETE", "/-/lots/" + name, {}, "", 3000);
            }
        });
    }
    for (std::thread &each : all) {
        each.join();
    }
    record.line("accepted " + std::to_string(accepted) + " of " + std::to_string(trainers * stepsOfTrainer) + " batch jobs; " + memory.describe());
    const bool isBroken = memory.machinesOverLimit() >= machinesThatCount;
    if (!isBroken && !setup.hasTrouble && accepted < trainers * stepsOfTrainer) {
        finish(nodes, couldNotRun);
    }
    finish(nodes, isBroken ? ruleBroken : ruleHeld);
}

} // namespace
} // namespace review

int main(int argc, char **argv)
{
    const std::optional<review::case_setup> setup = review::readSetup(argc, argv);
    if (!setup) {
        return review::couldNotRun;
    }
    review::run(*setup);
}
