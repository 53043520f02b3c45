// reedtrail-storage: the process on machines with a disk. All durable data is in the platform's store, so it only waits for a stop signal.

#include "kernel/command_line.h"
#include "platform/node_file.h"

#include <csignal>
#include <cstdio>

int main(int argc, char **argv)
{
    using namespace reedtrail;
    command_line line("reedtrail-storage", "Holds the place of a machine with a disk; keeps nothing there.");
    line.option("settings", "FILE", "Settings file of the platform (that of the environment)");
    line.flag("check-settings", "Check the settings and stop");
    const parsed_line parsed = line.parse(argc, argv);
    if (parsed.exitCode) {
        return *parsed.exitCode;
    }
    std::string node;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(settings, platform::readNodeFile(parsed.value("settings", platform::nodeFilePath())));
        node = settings.node;
        return {};
    });
    if (error) {
        std::fprintf(stderr, "reedtrail-storage: %s\n", error->detail.c_str());
        return answerFor(error->kind).exitCode;
    }
    if (parsed.has("check-settings")) {
        return 0;
    }
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : { SIGTERM, SIGINT, SIGHUP }) {
        sigaddset(&signals, signal);
    }
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    std::printf("info started node=%s program=reedtrail-storage\n", node.c_str());
    std::fflush(stdout);
    int received = 0;
    do {
        sigwait(&signals, &received);
    } while (received == SIGHUP);
    std::printf("info stopped node=%s\n", node.c_str());
    return 0;
}
