/**
 * @file
 * State machine for the settings of one node: which revision is in force, and how a change is committed to the store. It does no I/O.
 *
 *     settings_core core(options, seed);
 *     settings_step step = core.onPeerRevision(now, address, 17);     // a heartbeat announced a newer revision
 *     for (const settings_action &action : step) { ... }              // perform the action, see the types below
 *     core.confirm(now, number, change);                              // ends in exactly one settings_confirm_end, possibly after several attempts
 *
 * The revision in force never decreases. A few watchers in each zone read new revisions from the store, and the other nodes fetch them from their peers.
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

/** Keys of the settings in the store. */
namespace settings_keys {
inline constexpr const char *current = "reedtrail/settings/current"; ///< The newest settings_record.
inline constexpr const char *revision = "reedtrail/settings/revision"; ///< Revision of that record; kept separately so that polls and compares stay small.
/** Returns the key of the settings_record of revision @p number. */
std::string history(std::uint64_t number);
/** Returns the key of the audit record of revision @p number. */
std::string audit(std::uint64_t number);
} // namespace settings_keys

/** Intervals, timeouts and limits of settings_core. */
struct settings_options
{
    duration pollInterval = std::chrono::milliseconds(1500); ///< Between polls of the revision, which find changes that a dropped watch misses.
    duration maximumPollDelay = std::chrono::seconds(10); ///< Upper limit of the poll interval after failed reads.
    duration askTimeout = std::chrono::milliseconds(600); ///< Time for a peer to send its settings; afterwards the next peer is asked.
    duration confirmRetryDelay = std::chrono::milliseconds(250); ///< Delay before the second attempt to commit. It doubles with each attempt and has jitter.
    duration confirmTimeout = std::chrono::seconds(15); ///< After this time a confirm fails with StoreUnknown or StoreUnavailable.
    std::uint64_t maximumHistory = 200; ///< Records kept in the store; each change deletes the record that falls out of the history.
};

/** A change that an operator has confirmed. */
struct settings_change
{
    std::uint64_t baseRevision = 0; ///< The revision that the change was planned on.
    std::string operation; ///< Id chosen by this node, unique for each confirm.
    std::string operatorName;
    std::string summary; ///< One line that describes the change.
    std::int64_t acceptedAtMs = 0; ///< Wall clock in Unix milliseconds; shown to people and never compared.
    nlohmann::json document;
};

/** Action: put this record in force. */
struct settings_adopt
{
    std::shared_ptr<const settings_record> record;
};
/** Action: request the settings of the peer at this address, and pass a response to onRecord(). */
struct settings_ask
{
    std::string address;
};
/** Action: read one key from the store and pass the response to onStoreRange(). */
struct settings_read
{
    std::string key;
};
/** Action: open a watch of settings_keys::revision and pass its events to onWatchReport() and onWatchEnd(). */
struct settings_open_watch
{
};
/** Action: close the watch of settings_keys::revision. */
struct settings_close_watch
{
};
/** Action: send this transaction to the store and pass the response to onTxnAnswer(). */
struct settings_commit
{
    std::uint64_t number = 0; ///< Number of the confirm.
    store_txn txn;
};
/** Action: report the outcome of a confirm to its caller. */
struct settings_confirm_end
{
    std::uint64_t number = 0; ///< Number of the confirm.
    std::optional<failure> error; ///< Conflict, StoreUnavailable (certainly not committed) or StoreUnknown (possibly committed); none on success.
    std::uint64_t revision = 0; ///< Revision of the committed change; 0 on failure.
};

/** One action for the caller to perform. */
using settings_action =
    std::variant<settings_adopt, settings_ask, settings_read, settings_open_watch, settings_close_watch, settings_commit, settings_confirm_end>;
/** Actions that result from one event, in the order in which they are performed. */
using settings_step = std::vector<settings_action>;

/** The state machine. Each event returns the actions that result from it. */
class settings_core
{
public:
    /** @param seed of the random numbers for the jitter of polls and retries */
    settings_core(settings_options options, std::uint64_t seed);

    /** Returns the record in force, or null. */
    const std::shared_ptr<const settings_record> &inForce() const
    {
        return m_inForce;
    }
    /** Returns the revision in force; 0 if there is none. */
    std::uint64_t revision() const
    {
        return m_inForce ? m_inForce->revision : 0;
    }
    /** Returns whether the last read of the store succeeded; true before the first read. */
    bool isStoreReachable() const
    {
        return m_failedReads == 0;
    }
    /** Returns how many reads of the store have failed in a row. */
    std::uint64_t failedReads() const
    {
        return m_failedReads;
    }

    /** Sets whether this node is one of the settings watchers of its zone, which read new revisions from the store. */
    settings_step setWatcher(time_point now, bool isWatcher);
    /** Runs all timers that have expired; call it at deadline(). */
    settings_step onTimer(time_point now);
    /** Handles the announcement that the peer at @p address has @p revision in force. */
    settings_step onPeerRevision(time_point now, const std::string &address, std::uint64_t revision);
    /** Handles a record received from a peer or read from the data folder. */
    settings_step onRecord(time_point now, const settings_record &record);
    /** Handles the response to settings_read. */
    settings_step onStoreRange(time_point now, const std::string &key, const store_range_answer &answer);
    /** Handles events of the watch. */
    settings_step onWatchReport(time_point now, const store_watch_report &report);
    /** Handles the end of the watch. */
    settings_step onWatchEnd(time_point now);
    /** Starts to commit a change. @param number chosen by the caller to identify the confirm in settings_commit and settings_confirm_end */
    settings_step confirm(time_point now, std::uint64_t number, settings_change change);
    /** Handles the response to settings_commit. */
    settings_step onTxnAnswer(time_point now, std::uint64_t number, const store_txn_answer &answer);
    /** Returns the time when onTimer() must be called next. */
    time_point deadline() const;

private:
    struct pending_confirm
    {
        settings_change change;
        std::uint64_t revision = 0; ///< Revision that the change gets.
        std::uint64_t storeRevision = 0; ///< Revision that the transaction expects in the store.
        bool mayHaveWritten = false; ///< Whether an earlier attempt may have taken effect.
        bool isInFlight = false;
        time_point nextAttempt = timeNever; ///< When the transaction is sent again, unless it is in flight.
        time_point deadlineAt = timeNever;
        duration retryDelay{};
    };
    struct peer_offer
    {
        std::string address;
        std::uint64_t revision = 0;
    };

    void adopt(const std::shared_ptr<const settings_record> &record, settings_step &step);
    void adoptStoredRecord(const std::string &text, settings_step &step);
    void askNextPeer(time_point now, settings_step &step);
    void poll(time_point now, settings_step &step);
    void readIfNewer(std::uint64_t revision, settings_step &step);
    void sendCommit(time_point now, std::uint64_t number, pending_confirm &pending, settings_step &step);
    void scheduleRetry(time_point now, std::uint64_t number, pending_confirm &pending, bool mayHaveWritten, settings_step &step);
    void resolveFailedCompare(time_point now, std::uint64_t number, pending_confirm &pending, const store_txn_answer &answer, settings_step &step);
    void finishConfirm(std::uint64_t number, std::optional<failure> error, settings_step &step);
    std::shared_ptr<const settings_record> makeRecord(const pending_confirm &pending) const;
    duration jittered(duration delay);

    settings_options m_options;
    random_source m_random;
    std::shared_ptr<const settings_record> m_inForce;
    bool m_isWatcher = false;
    bool m_isWatchOpen = false;
    bool m_isReading = false;
    std::uint64_t m_failedReads = 0;
    time_point m_nextPoll = timeNever;
    std::vector<peer_offer> m_offers; ///< Peers with newer settings. A request to the first one is pending while m_askDeadline is set.
    time_point m_askDeadline = timeNever;
    std::map<std::uint64_t, pending_confirm> m_confirms;
};

} // namespace reedtrail
