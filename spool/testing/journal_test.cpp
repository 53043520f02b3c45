#include "spool/journal.h"

#include "base/random.h"
#include "spool/testing/faulty_files.h"

#include <filesystem>
#include <gtest/gtest.h>

namespace reedtrail {
namespace {

/** A temporary folder that is removed with its contents by the destructor. */
class journal_folder
{
public:
    journal_folder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "reedtrail-journal-XXXXXX").string();
        m_path = ::mkdtemp(pattern.data());
    }
    ~journal_folder()
    {
        std::filesystem::remove_all(m_path);
    }
    journal_folder(const journal_folder &) = delete;
    journal_folder &operator=(const journal_folder &) = delete;
    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

template<class Journal>
std::optional<failure> openFailure(Journal &log)
{
    return failureOf([&] {
        return log.open();
    });
}

template<class Journal>
error_kind stageError(Journal &log, const std::string &run, std::uint64_t step, const std::string &key, const std::string &body)
{
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(isPending, log.stage(run, step, key, body));
        static_cast<void>(isPending);
        return {};
    });
    return error ? error->kind : error_kind::None;
}

/** Writes and finishes one batch. @return its error */
template<class Journal>
file_error commit(Journal &log)
{
    journal_batch batch = log.takeBatch();
    batch.error = log.write(batch);
    log.finish(batch);
    return batch.error;
}

/** Returns the payload of @p key, or "error: " and the name of the error. */
template<class Journal>
std::string readOrError(const Journal &log, const std::string &key)
{
    std::string bytes;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(bytes, log.read(key));
        return {};
    });
    return error ? "error: " + std::string(answerFor(error->kind).name) : bytes;
}

/** Returns a body of up to 299 pseudorandom bytes that depends only on @p number. */
std::string bodyFor(std::uint64_t number)
{
    random_source random(number);
    std::string body(random.below(300), ' ');
    for (char &byte : body) {
        byte = static_cast<char>(random.below(256));
    }
    return body;
}

TEST(journal, reopenKeepsPayloadsExceptReleased)
{
    const journal_folder folder;
    posix_files files;
    {
        journal<posix_files> log(files, { .folder = folder.path() });
        ASSERT_FALSE(openFailure(log));
        EXPECT_EQ(stageError(log, "run", 1, "a", "alpha"), error_kind::None);
        EXPECT_EQ(stageError(log, "run", 2, "b", "beta"), error_kind::None);
        EXPECT_EQ(readOrError(log, "a"), "error: not-found");
        EXPECT_EQ(commit(log), 0);
        EXPECT_EQ(readOrError(log, "a"), "alpha");
        log.release("run", 2);
        EXPECT_EQ(readOrError(log, "a"), "error: not-found");
        EXPECT_EQ(commit(log), 0);
    }
    journal<posix_files> log(files, { .folder = folder.path() });
    ASSERT_FALSE(openFailure(log));
    EXPECT_EQ(log.keys(), std::vector<std::string>{ "b" });
    EXPECT_EQ(readOrError(log, "b"), "beta");
}

TEST(journal, stagingAgainSucceedsOnlyWithSameBody)
{
    const journal_folder folder;
    posix_files files;
    journal<posix_files> log(files, { .folder = folder.path() });
    ASSERT_FALSE(openFailure(log));
    EXPECT_EQ(stageError(log, "run", 1, "a", "alpha"), error_kind::None);
    EXPECT_EQ(commit(log), 0);
    EXPECT_EQ(stageError(log, "run", 1, "a", "alpha"), error_kind::None);
    EXPECT_FALSE(log.hasStaged());
    EXPECT_EQ(stageError(log, "run", 1, "a", "other"), error_kind::Conflict);
}

TEST(journal, refusesPayloadsWhenFullUntilRelease)
{
    const journal_folder folder;
    posix_files files;
    journal<posix_files> log(files, { .folder = folder.path(), .limitBytes = 256U << 10U, .segmentBytes = 32U << 10U });
    ASSERT_FALSE(openFailure(log));
    const std::string body(1000, 'x');
    std::uint64_t stored = 0;
    while (stageError(log, "run", stored / 10, "k" + std::to_string(stored), body) == error_kind::None) {
        ASSERT_EQ(commit(log), 0);
        ++stored;
    }
    EXPECT_GT(stored, 150U);
    EXPECT_LE(log.counts().fileBytes, 256U << 10U);
    for (std::uint64_t i = 0; i < stored; ++i) {
        EXPECT_EQ(readOrError(log, "k" + std::to_string(i)), body);
    }
    log.release("run", 10);
    EXPECT_EQ(commit(log), 0);
    EXPECT_EQ(stageError(log, "run", 99, "late", body), error_kind::None);
    EXPECT_EQ(commit(log), 0);
    EXPECT_EQ(readOrError(log, "late"), body);
}

/** The payloads that the journal must still have after a crash. */
struct expected_state
{
    std::map<std::string, std::pair<std::uint64_t, std::string>> committed; ///< Step and body of each committed payload, by key.
    std::uint64_t releasedBefore = 0;
};

/** Stages, releases and commits at random, and records in @p model what was committed. */
void runRandomOperations(journal<faulty_files> &log, faulty_files &files, std::uint64_t seed, expected_state &model)
{
    random_source random(seed);
    std::uint64_t next = 0;
    for (int round = 0; round < 12 && !files.isCrashed(); ++round) {
        std::map<std::string, std::pair<std::uint64_t, std::string>> staged;
        const std::uint64_t count = 1 + random.below(4);
        for (std::uint64_t i = 0; i < count; ++i) {
            const std::uint64_t step = static_cast<std::uint64_t>(round) / 2;
            const std::string key = "key-" + std::to_string(next++);
            const std::string body = bodyFor(seed * 1000 + next);
            if (stageError(log, "run", step, key, body) == error_kind::None) {
                staged[key] = { step, body };
            }
        }
        if (random.chance(0.2) && round > 4) {
            model.releasedBefore = static_cast<std::uint64_t>(round) / 2 - 1;
            log.release("run", model.releasedBefore);
        }
        if (commit(log) == 0) {
            model.committed.merge(staged);
        }
    }
}

/** Reopens the journal without faults, and expects all payloads of @p model, no corrupt segment, and a journal that can be written to and reopened. */
void expectCommittedPayloads(const std::string &folder, const expected_state &model, const std::string &context)
{
    posix_files files;
    journal<posix_files> log(files, { .folder = folder, .segmentBytes = 2048 });
    const std::optional<failure> error = openFailure(log);
    ASSERT_FALSE(error) << context << error->detail;
    for (const auto &[key, expected] : model.committed) {
        if (expected.first >= model.releasedBefore) {
            EXPECT_EQ(readOrError(log, key), expected.second) << context << key;
        }
    }
    EXPECT_EQ(log.counts().corruptSegments, 0U) << context;
    EXPECT_EQ(stageError(log, "run", 1000, "after", "more"), error_kind::None) << context;
    EXPECT_EQ(commit(log), 0) << context;
    EXPECT_EQ(readOrError(log, "after"), "more") << context;
    journal<posix_files> reopened(files, { .folder = folder, .segmentBytes = 2048 });
    ASSERT_FALSE(openFailure(reopened)) << context;
    EXPECT_EQ(reopened.counts().corruptSegments, 0U) << context;
    EXPECT_EQ(reopened.counts().tornBytes, 0U) << context;
    EXPECT_EQ(readOrError(reopened, "after"), "more") << context;
}

/** The parameter is what the crash does to bytes that were written but not synced. */
class journal_crash : public testing::TestWithParam<crash_kind>
{
};

// Guards against the loss of committed payloads by a crash: the process crashes at each file operation in turn, and the journal is reopened.
TEST_P(journal_crash, crashAtAnyOperationKeepsCommittedPayloads)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        std::uint64_t operations = 0;
        for (std::uint64_t crashAt = 1;; ++crashAt) {
            const journal_folder folder;
            faulty_files files({ .crashAtOperation = crashAt, .kind = GetParam(), .seed = seed * 7919 + crashAt });
            expected_state model;
            {
                journal<faulty_files> log(files, { .folder = folder.path(), .segmentBytes = 2048 });
                if (!openFailure(log)) {
                    runRandomOperations(log, files, seed, model);
                }
                operations = files.operations();
            }
            files.discardUnsyncedData();
            expectCommittedPayloads(folder.path(), model, "seed " + std::to_string(seed) + " crash at operation " + std::to_string(crashAt) + ": ");
            if (HasFatalFailure() || crashAt > operations) {
                break;
            }
        }
        EXPECT_GT(operations, 20U);
    }
}

INSTANTIATE_TEST_SUITE_P(kinds, journal_crash, testing::Values(crash_kind::ProcessKilled, crash_kind::PowerLost, crash_kind::PowerLostWithZeros));

// Guards against recovery that stops at corrupt bytes in the middle of a segment and so loses the intact records after them.
TEST(journal, skipsCorruptBytesAndKeepsOtherPayloads)
{
    const journal_folder folder;
    posix_files files;
    {
        journal<posix_files> log(files, { .folder = folder.path() });
        ASSERT_FALSE(openFailure(log));
        for (const std::string key : { "a", "b", "c" }) {
            EXPECT_EQ(stageError(log, "run", 1, key, std::string(100, key[0])), error_kind::None);
            EXPECT_EQ(commit(log), 0);
        }
        int file = -1;
        ASSERT_EQ(files.open(folder.path() + "/segment-000000000001", file), 0);
        ASSERT_EQ(files.writeAt(file, 200, "x"), 0);
        EXPECT_EQ(readOrError(log, "b"), "error: corrupt");
        files.close(file);
    }
    journal<posix_files> log(files, { .folder = folder.path() });
    ASSERT_FALSE(openFailure(log));
    EXPECT_EQ(log.counts().corruptSegments, 1U);
    EXPECT_EQ(readOrError(log, "a"), std::string(100, 'a'));
    EXPECT_EQ(readOrError(log, "b"), "error: not-found");
    EXPECT_EQ(readOrError(log, "c"), std::string(100, 'c'));
}

// Guards against a write error that damages committed payloads: three operations in a row fail with ENOSPC, at each position in turn.
TEST(journal, fullDiskKeepsCommittedPayloads)
{
    for (std::uint64_t failAt = 1; failAt <= 40; ++failAt) {
        const journal_folder folder;
        faulty_files files({ .failFrom = failAt, .failUntil = failAt + 3, .seed = failAt });
        expected_state model;
        {
            journal<faulty_files> log(files, { .folder = folder.path(), .segmentBytes = 2048 });
            if (openFailure(log)) {
                continue;
            }
            runRandomOperations(log, files, failAt, model);
            for (const auto &[key, expected] : model.committed) {
                if (expected.first >= model.releasedBefore) {
                    EXPECT_EQ(readOrError(log, key), expected.second) << failAt;
                }
            }
        }
        expectCommittedPayloads(folder.path(), model, "disk full at operation " + std::to_string(failAt) + ": ");
    }
}

} // namespace
} // namespace reedtrail
