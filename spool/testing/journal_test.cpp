#include "spool/journal.h"

#include "base/random.h"
#include "spool/testing/faulty_files.h"

#include <filesystem>
#include <gtest/gtest.h>

namespace reedtrail {
namespace {

/** A folder of its own for each test, removed afterwards. */
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
        BOOST_LEAF_AUTO(isWaiting, log.stage(run, step, key, body));
        static_cast<void>(isWaiting);
        return {};
    });
    return error ? error->kind : error_kind::None;
}

template<class Journal>
file_error commit(Journal &log)
{
    journal_batch batch = log.takeBatch();
    batch.error = log.write(batch);
    log.finish(batch);
    return batch.error;
}

template<class Journal>
std::string readOr(const Journal &log, const std::string &key)
{
    std::string bytes;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(bytes, log.read(key));
        return {};
    });
    return error ? "error: " + std::string(answerFor(error->kind).name) : bytes;
}

std::string bodyFor(std::uint64_t number)
{
    random_source random(number);
    std::string body(random.below(300), ' ');
    for (char &byte : body) {
        byte = static_cast<char>(random.below(256));
    }
    return body;
}

TEST(journal, findsPayloadsAgainAndForgetsReleasedOnes)
{
    const journal_folder folder;
    posix_files files;
    {
        journal<posix_files> log(files, { .folder = folder.path() });
        ASSERT_FALSE(openFailure(log));
        EXPECT_EQ(stageError(log, "run", 1, "a", "alpha"), error_kind::None);
        EXPECT_EQ(stageError(log, "run", 2, "b", "beta"), error_kind::None);
        EXPECT_EQ(readOr(log, "a"), "error: not-found");
        EXPECT_EQ(commit(log), 0);
        EXPECT_EQ(readOr(log, "a"), "alpha");
        log.release("run", 2);
        EXPECT_EQ(readOr(log, "a"), "error: not-found");
        EXPECT_EQ(commit(log), 0);
    }
    journal<posix_files> log(files, { .folder = folder.path() });
    ASSERT_FALSE(openFailure(log));
    EXPECT_EQ(log.keys(), std::vector<std::string>{ "b" });
    EXPECT_EQ(readOr(log, "b"), "beta");
}

TEST(journal, takesTheSamePayloadTwiceAndRefusesAnotherUnderItsKey)
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

TEST(journal, refusesWhatDoesNotFitAndTakesItAfterARelease)
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
        EXPECT_EQ(readOr(log, "k" + std::to_string(i)), body);
    }
    log.release("run", 10);
    EXPECT_EQ(commit(log), 0);
    EXPECT_EQ(stageError(log, "run", 99, "late", body), error_kind::None);
    EXPECT_EQ(commit(log), 0);
    EXPECT_EQ(readOr(log, "late"), body);
}

/** Stores, releases and commits at random; remembers what was promised. */
struct promise_model
{
    std::map<std::string, std::pair<std::uint64_t, std::string>> promised; ///< Key to step and body.
    std::uint64_t releasedBefore = 0;
};

void playRandomly(journal<faulty_files> &log, faulty_files &files, std::uint64_t seed, promise_model &model)
{
    random_source random(seed);
    std::uint64_t next = 0;
    for (int round = 0; round < 12 && !files.isDead(); ++round) {
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
            model.promised.merge(staged);
        }
    }
}

void expectPromisesKept(const std::string &folder, const promise_model &model, const std::string &context)
{
    posix_files files;
    journal<posix_files> log(files, { .folder = folder, .segmentBytes = 2048 });
    const std::optional<failure> error = openFailure(log);
    ASSERT_FALSE(error) << context << error->detail;
    for (const auto &[key, promise] : model.promised) {
        if (promise.first >= model.releasedBefore) {
            EXPECT_EQ(readOr(log, key), promise.second) << context << key;
        }
    }
    EXPECT_EQ(log.counts().holes, 0U) << context;
    EXPECT_EQ(stageError(log, "run", 1000, "after", "more"), error_kind::None) << context;
    EXPECT_EQ(commit(log), 0) << context;
    EXPECT_EQ(readOr(log, "after"), "more") << context;
    journal<posix_files> again(files, { .folder = folder, .segmentBytes = 2048 });
    ASSERT_FALSE(openFailure(again)) << context;
    EXPECT_EQ(again.counts().holes, 0U) << context;
    EXPECT_EQ(again.counts().tornBytes, 0U) << context;
    EXPECT_EQ(readOr(again, "after"), "more") << context;
}

/** What becomes of bytes that were written and not synced. */
class journal_death : public testing::TestWithParam<death_kind>
{
};

TEST_P(journal_death, keepsEveryPromiseWhereverTheProcessDies)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        std::uint64_t operations = 0;
        for (std::uint64_t deathAt = 1;; ++deathAt) {
            const journal_folder folder;
            faulty_files files({ .dieAtOperation = deathAt, .kind = GetParam(), .seed = seed * 7919 + deathAt });
            promise_model model;
            {
                journal<faulty_files> log(files, { .folder = folder.path(), .segmentBytes = 2048 });
                if (!openFailure(log)) {
                    playRandomly(log, files, seed, model);
                }
                operations = files.operations();
            }
            files.settle();
            expectPromisesKept(folder.path(), model, "seed " + std::to_string(seed) + " death at operation " + std::to_string(deathAt) + ": ");
            if (HasFatalFailure() || deathAt > operations) {
                break;
            }
        }
        EXPECT_GT(operations, 20U);
    }
}

INSTANTIATE_TEST_SUITE_P(kinds, journal_death, testing::Values(death_kind::ProcessKilled, death_kind::PowerLost, death_kind::PowerLostWithZeros));

TEST(journal, stepsOverChangedBytesAndKeepsTheOtherPayloads)
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
        EXPECT_EQ(readOr(log, "b"), "error: corrupt");
        files.close(file);
    }
    journal<posix_files> log(files, { .folder = folder.path() });
    ASSERT_FALSE(openFailure(log));
    EXPECT_EQ(log.counts().holes, 1U);
    EXPECT_EQ(readOr(log, "a"), std::string(100, 'a'));
    EXPECT_EQ(readOr(log, "b"), "error: not-found");
    EXPECT_EQ(readOr(log, "c"), std::string(100, 'c'));
}

TEST(journal, answersAFullDiskWithAnErrorAndLosesNothing)
{
    for (std::uint64_t failAt = 1; failAt <= 40; ++failAt) {
        const journal_folder folder;
        faulty_files files({ .failFrom = failAt, .failUntil = failAt + 3, .seed = failAt });
        promise_model model;
        {
            journal<faulty_files> log(files, { .folder = folder.path(), .segmentBytes = 2048 });
            if (openFailure(log)) {
                continue;
            }
            playRandomly(log, files, failAt, model);
            for (const auto &[key, promise] : model.promised) {
                if (promise.first >= model.releasedBefore) {
                    EXPECT_EQ(readOr(log, key), promise.second) << failAt;
                }
            }
        }
        expectPromisesKept(folder.path(), model, "disk full at operation " + std::to_string(failAt) + ": ");
    }
}

} // namespace
} // namespace reedtrail
