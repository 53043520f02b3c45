/**
 * @file
 * Which settings are in force on one node, and how a change is accepted: the core.
 *
 *     settings_core core(options, node, seed);
 *     settings_step step = core.onPeerRevision(now, address, 17);     // a heartbeat told of a newer revision
 *     for (const settings_action &action : step) { ... }              // see the actions below
 *     core.confirm(now, number, change);                              // ends in one settings_confirm_end, after as many attempts as it takes
 *
 * The revision in force only rises. What is accepted by the store is found by few watchers in each zone and passed on from node to node.
 */
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "fleet/membership_messages.h"
#include "fleet/store_types.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace reedtrail {

/** Keys in the store. */
namespace settings_keys {
inline constexpr const char *current = "reedtrail/settings/current"; ///< The newest settings_record.
inline constexpr const char *revision = "reedtrail/settings/revision"; ///< Its revision alone, for cheap polling and for the compare.
/** Returns the key of the record of @p number. */
std::string history(std::uint64_t number);
/** Returns the key of the audit record of @p number. */
std::string audit(std::uint64_t number);
} // namespace settings_keys

/** Intervals and bounds. */
struct settings_options
{
    duration pollInterval = std::chrono::milliseconds(1500); ///< A watcher reads the revision so often, in case its watch has died silently.
    duration longestPollDelay = std::chrono::seconds(10); ///< After failures.
    duration askTimeout = std::chrono::milliseconds(600); ///< For a peer to hand over its settings.
    duration confirmRetryDelay = std::chrono::milliseconds(250); ///< Between attempts to commit; doubles, with jitter.
    duration confirmTimeout = std::chrono::seconds(15); ///< After which an operator is told that the outcome is open, or that nothing happened.
    std::uint64_t historyKept = 200; ///< Older records are deleted with each change.
};

/** A change that an operator has confirmed. */
struct settings_change
{
    std::uint64_t baseRevision = 0; ///< The revision it was planned on.
    std::string operation; ///< Id chosen by this node, different for each confirm.
    std::string operatorName;
    std::string summary;
    std::int64_t acceptedAtMs = 0; ///< Wall clock, for people only.
    nlohmann::json document;
};

/** Put this record in force. */
struct settings_adopt
{
    std::shared_ptr<const settings_record> record;
};
/** Ask the peer at this address for its settings. */
struct settings_ask
{
    std::string address;
};
/** Read one key and hand the answer to onStoreRange(). */
struct settings_read
{
    std::string key;
};
/** Open a watch of settings_keys::revision, and tell of it by onWatchReport() and onWatchEnd(). */
struct settings_open_watch
{
};
/** Close that watch. */
struct settings_close_watch
{
};
/** Commit, and hand the answer to onTxnAnswer(). */
struct settings_commit
{
    std::uint64_t number = 0;
    store_txn txn;
};
/** A confirm has ended. */
struct settings_confirm_end
{
    std::uint64_t number = 0;
    std::optional<failure> error; ///< Conflict, StoreUnavailable (certainly not accepted) or StoreUnknown.
    std::uint64_t revision = 0; ///< Accepted as.
};

/** What follows from an event. */
using settings_action =
    std::variant<settings_adopt, settings_ask, settings_read, settings_open_watch, settings_close_watch, settings_commit, settings_confirm_end>;
using settings_step = std::vector<settings_action>;

/** The core. */
class settings_core
{
public:
    settings_core(settings_options options, std::uint64_t seed);

    /** Returns the record in force, or none. */
    const std::shared_ptr<const settings_record> &inForce() const
    {
        return m_inForce;
    }
    /** Returns the revision in force; 0 if there is none. */
    std::uint64_t revision() const
    {
        return m_inForce ? m_inForce->revision : 0;
    }
    /** Tells whether the last read of the store was answered; true before the first. */
    bool isStoreReachable() const
    {
        return m_failedReads == 0;
    }
    /** Returns how many reads of the store have failed in a row. */
    std::uint64_t failedReads() const
    {
        return m_failedReads;
    }

    /** Takes up or gives up the duty of a watcher. */
    settings_step setWatcher(time_point now, bool isWatcher);
    /** Does what is due; call it at deadline(). */
    settings_step onTimer(time_point now);
    /** Takes a revision that a peer has in force. */
    settings_step onPeerRevision(time_point now, const std::string &address, std::uint64_t revision);
    /** Takes the settings of a peer or of the data folder. */
    settings_step onRecord(time_point now, const settings_record &record);
    /** Takes the answer to settings_read. */
    settings_step onStoreRange(time_point now, const std::string &key, const store_range_answer &answer);
    /** Takes what the watch reports. */
    settings_step onWatchReport(time_point now, const store_watch_report &report);
    /** Takes the end of the watch. */
    settings_step onWatchEnd(time_point now);
    /** Starts to commit a change. @param number chosen by the caller, told back in settings_confirm_end */
    settings_step confirm(time_point now, std::uint64_t number, settings_change change);
    /** Takes the answer to settings_commit. */
    settings_step onTxnAnswer(time_point now, std::uint64_t number, const store_txn_answer &answer);
    /** Returns when onTimer() must be called next. */
    time_point deadline() const;

private:
    struct pending_confirm
    {
        settings_change change;
        std::uint64_t revision = 0; ///< That it will get.
        std::uint64_t storeRevision = 0; ///< That the store is expected to have.
        bool mayHaveWritten = false;
        bool isInFlight = false;
        time_point nextAttempt = timeNever;
        time_point givenUpAt = timeNever;
        duration retryDelay{};
    };
    struct offer
    {
        std::string address;
        std::uint64_t revision = 0;
    };

    void adopt(const std::shared_ptr<const settings_record> &record, settings_step &step);
    void adoptText(const std::string &text, settings_step &step);
    void askNext(time_point now, settings_step &step);
    void readRevision(time_point now, settings_step &step);
    void noteStoreRevision(std::uint64_t revision, settings_step &step);
    void attempt(time_point now, std::uint64_t number, pending_confirm &pending, settings_step &step);
    void retryLater(time_point now, std::uint64_t number, pending_confirm &pending, bool mayHaveWritten, settings_step &step);
    void resolveRefusal(time_point now, std::uint64_t number, pending_confirm &pending, const store_txn_answer &answer, settings_step &step);
    void endConfirm(std::uint64_t number, std::optional<failure> error, settings_step &step);
    std::shared_ptr<const settings_record> recordOf(const pending_confirm &pending) const;
    duration jittered(duration delay);

    settings_options m_options;
    random_source m_random;
    std::shared_ptr<const settings_record> m_inForce;
    bool m_isWatcher = false;
    bool m_isWatchOpen = false;
    bool m_isReading = false;
    std::uint64_t m_failedReads = 0;
    time_point m_nextPoll = timeNever;
    std::vector<offer> m_offers; ///< Peers with newer settings; the first is being asked while m_askUntil is set.
    time_point m_askUntil = timeNever;
    std::map<std::uint64_t, pending_confirm> m_confirms;
};

} // namespace reedtrail
