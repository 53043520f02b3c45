// Compares the journal's append rate with that of the disk: the baseline writes and syncs the same bytes in the same batches to one file without record format,
// checksum or index. Both alternate in one run, so that other load on the disk slows both. Also measures the time to open journals of several sizes.

#include "bench/benchmark.h"

#include "base/random.h"
#include "spool/journal.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <filesystem>
#include <unistd.h>

namespace reedtrail::bench {
namespace {

using seconds_type = std::chrono::duration<double>;
using clock_type = std::chrono::steady_clock;

/** Samples per second of the whole fleet: 3 trainers with 4,096 samples in 10 minutes each. A single spool must be able to store them all. */
constexpr double fleetSamplesPerSecond = 3 * 4096 / 600.0;

/** A spool must recover within the time in which the owner of a run is replaced, so that the drafts of its node still reach it. */
constexpr double longestRecoverySeconds = 3;

constexpr int rounds = 4;

struct batch_shape
{
    std::size_t payloadBytes;
    std::size_t payloads; ///< Payloads per batch, that is, callers that wait at the same time.
    std::size_t batches; ///< Batches per round.
};

constexpr std::array<batch_shape, 4> shapes{ { { 2048, 1, 150 }, { 2048, 64, 60 }, { 65536, 1, 100 }, { 65536, 64, 12 } } };

/** Temporary folder that is removed with its contents on destruction. */
class scratch_folder
{
public:
    scratch_folder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "reedtrail-spool-bench-XXXXXX").string();
        m_path = ::mkdtemp(pattern.data());
    }
    ~scratch_folder()
    {
        std::filesystem::remove_all(m_path);
    }
    scratch_folder(const scratch_folder &) = delete;
    scratch_folder &operator=(const scratch_folder &) = delete;
    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

std::string randomBytes(random_source &random, std::size_t size)
{
    std::string bytes(size, ' ');
    for (char &byte : bytes) {
        byte = static_cast<char>(random.next());
    }
    return bytes;
}

/** Sums over all rounds. */
struct append_totals
{
    double journalSeconds = 0;
    double rawSeconds = 0;
    std::uint64_t payloads = 0;
    std::uint64_t failed = 0;
};

/** Appends the batches of one round to the journal and adds the time, payloads and failures to @p totals. */
void appendToJournal(journal<posix_files> &log, const batch_shape &shape, const std::string &body, std::uint64_t &key, append_totals &totals)
{
    const auto begin = clock_type::now();
    for (std::size_t i = 0; i < shape.batches; ++i) {
        for (std::size_t j = 0; j < shape.payloads; ++j) {
            const std::optional<failure> error = failureOf([&]() -> result<void> {
                BOOST_LEAF_AUTO(isWaiting, log.stage("run", 1, "key-" + std::to_string(key++), body));
                static_cast<void>(isWaiting);
                return {};
            });
            totals.failed += error ? 1 : 0;
        }
        journal_batch batch = log.takeBatch();
        batch.error = log.write(batch);
        totals.failed += batch.error == 0 ? 0 : 1;
        log.finish(batch);
    }
    totals.journalSeconds += seconds_type(clock_type::now() - begin).count();
    totals.payloads += shape.batches * shape.payloads;
}

/** Writes and syncs the same bytes in the same batches to a plain file, and adds the time and failures to @p totals. */
void appendRaw(posix_files &files, int file, std::uint64_t &offset, const batch_shape &shape, const std::string &body, append_totals &totals)
{
    const auto begin = clock_type::now();
    std::string batch;
    for (std::size_t i = 0; i < shape.batches; ++i) {
        batch.clear();
        for (std::size_t j = 0; j < shape.payloads; ++j) {
            batch += body;
        }
        totals.failed += files.writeAt(file, offset, batch) == 0 && files.syncData(file) == 0 ? 0 : 1;
        offset += batch.size();
    }
    totals.rawSeconds += seconds_type(clock_type::now() - begin).count();
}

void measureShape(const batch_shape &shape, random_source &random, bench_report &report, std::uint64_t &failed)
{
    const scratch_folder folder;
    posix_files files;
    journal<posix_files> log(files, { .folder = folder.path() + "/journal" });
    int raw = -1;
    const bool isOpen = !failureOf([&] {
        return log.open();
    }) && files.open(folder.path() + "/raw", raw) == 0;
    if (!isOpen) {
        ++failed;
        return;
    }
    const std::string body = randomBytes(random, shape.payloadBytes);
    append_totals totals;
    std::uint64_t key = 0;
    std::uint64_t offset = 0;
    for (int round = 0; round < rounds; ++round) {
        appendToJournal(log, shape, body, key, totals);
        appendRaw(files, raw, offset, shape, body, totals);
    }
    files.close(raw);
    failed += totals.failed;
    const std::string name = std::to_string(shape.payloadBytes / 1024) + "KiBx" + std::to_string(shape.payloads);
    const auto count = static_cast<double>(totals.payloads);
    const double megabytes = count * static_cast<double>(shape.payloadBytes) / 1e6;
    report.figure("appends." + name, count / totals.journalSeconds, "1/s", atLeast(fleetSamplesPerSecond))
        .baseline("rawWriteAndSync", count / totals.rawSeconds);
    report.figure("rate." + name, megabytes / totals.journalSeconds, "MB/s").baseline("rawWriteAndSync", megabytes / totals.rawSeconds);
    report.figure("share." + name, totals.rawSeconds / totals.journalSeconds, "of raw");
    printProgress(name + " done");
}

/** Fills a journal with about @p megabytes MiB and measures how long it takes to open it again. */
void measureRecovery(std::size_t megabytes, random_source &random, bench_report &report, std::uint64_t &failed)
{
    constexpr std::size_t payloadBytes = 8192;
    constexpr std::size_t payloadsPerBatch = 512;
    const scratch_folder folder;
    posix_files files;
    const std::uint64_t count = (megabytes << 20U) / payloadBytes;
    {
        journal<posix_files> log(files, { .folder = folder.path() });
        const bool isOpen = !failureOf([&] {
            return log.open();
        });
        failed += isOpen ? 0 : 1;
        const std::string body = randomBytes(random, payloadBytes);
        const batch_shape shape{ payloadBytes, payloadsPerBatch, count / payloadsPerBatch };
        append_totals totals;
        std::uint64_t key = 0;
        appendToJournal(log, shape, body, key, totals);
        failed += totals.failed;
    }
    const auto begin = clock_type::now();
    journal<posix_files> log(files, { .folder = folder.path() });
    const bool isOpen = !failureOf([&] {
        return log.open();
    });
    const double seconds = seconds_type(clock_type::now() - begin).count();
    failed += isOpen && log.counts().payloads == count / payloadsPerBatch * payloadsPerBatch ? 0 : 1;
    report.figure("recovery." + std::to_string(megabytes) + "MiB", seconds * 1000, "ms", atMost(longestRecoverySeconds * 1000));
    printProgress("recovery of " + std::to_string(megabytes) + " MiB done");
}

void runSpool(const bench_options &options, bench_report &report)
{
    random_source random(options.seed);
    std::uint64_t failed = 0;
    for (const batch_shape &shape : shapes) {
        measureShape(shape, random, report, failed);
    }
    for (const std::size_t megabytes : { 16, 64, 256, 896 }) {
        measureRecovery(megabytes, random, report, failed);
    }
    report.figure("failed", static_cast<double>(failed), "operations", exactly(0));
}

const registered_benchmark spool("spool", "Append rate compared with plain write and sync, and recovery time by journal size", {}, runSpool);

} // namespace
} // namespace reedtrail::bench
