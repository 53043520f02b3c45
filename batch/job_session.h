/**
 * @file
 * A node's session of one batch job: accepts the job, follows its results, takes it over when its owner is lost, and appends results while this node owns it.
 *
 *     auto session = std::make_shared<job_session<Store, Loop>>(store, loop, *lease, "job-1", self, handlers);
 *     session->accept(metadata, document, [](accept_outcome outcome) { ... });   // or session->load(...)
 *     session->append(results, drafts);                                          // as the owner; calls onRecorded later
 *     session->verify([](bool isCaughtUp) { ... });                              // before a caller is told that there are no further results
 *
 * Reader: watches all keys of the job as long as a caller at this node waits for results. When it sees the owner key deleted, it claims the job. If several
 * readers claim it, the store lets one succeed. catchUp() resumes a watch from the revision at which it was cancelled. A watch without events does not prove
 * that nothing was written, so verify() queries the store unless a recent answer of the store is known.
 *
 * Neither does the silence of a watch prove that the job goes on: an answer to a long poll may be lost, and its connection stays open. So a watching session
 * reads the owner and the end of the job when no answer of the store has confirmed them for a while. An owner's writes confirm them at no cost.
 *
 * Owner: watches only the owner key and the end of the job. A write whose answer was lost is repeated unchanged until the store gives a definite answer, so a
 * batch of results is recorded at most once. The owner's view is complete only while its owner key is unchanged; when that is in doubt, the next read goes to
 * the store.
 */
#pragma once

#include "batch/job_store.h"
#include "fleet/event_loop.h"
#include "fleet/node_lease.h"
#include "kernel/log.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace reedtrail {

/** Outcome of a submission. */
enum class accept_outcome : std::uint8_t {
    Accepted, ///< The job is recorded, by this submission or by an earlier one.
    NotAccepted, ///< Nothing was recorded.
    Unknown, ///< The job may have been recorded. The session continues to resolve this.
    TooLarge, ///< The document does not fit into the store.
};

/** Outcome of a read of the job. */
enum class load_outcome : std::uint8_t { Present, Absent, Unavailable };

/** Callbacks of a session. */
struct job_session_handlers
{
    std::function<void()> onOwnershipGained; ///< This node now owns and runs the job; the view is complete.
    std::function<void()> onOwnershipLost; ///< This node no longer owns the job: another node does, or it was released.
    std::function<void()> onResults; ///< The view has new results.
    std::function<void(std::span<const item_result>)> onRecorded; ///< Results that this node appended are recorded.
    std::function<void()> onEnded; ///< The caller ended the job.
    std::function<bool()> mayClaim; ///< Returns whether this node takes further jobs.
    std::function<bool()> hasReaders; ///< Returns whether a caller at this node waits for further results.
};

/** Timing of a session. */
struct job_session_options
{
    /** Delay before a failed call is repeated; doubled up to maximumRetryDelay. */
    duration retryDelay = std::chrono::milliseconds(150);
    /** Half of the lease duration, so that a takeover is delayed by at most this time. */
    duration maximumRetryDelay = std::chrono::milliseconds(1000);
    /** Age from which an unanswered append is repeated once the store is reachable again. A store that is slow by its usual factor of 50 answers earlier. */
    duration appendOverdueAfter = std::chrono::milliseconds(300);
    /** How long an answer of the store counts as current: half of the time within which results shown by one node must be visible at every node. */
    duration confirmationValidity = std::chrono::milliseconds(500);
    /** Age from which an owner reads the state of its job again. Less than half of the time after its end by which no item of a job may start. */
    duration ownerStateValidity = std::chrono::milliseconds(1200);
    /** The same for a reader, which takes the job over if it has no owner; half of the time for which an item may be at no server. */
    duration readerStateValidity = std::chrono::milliseconds(2500);
    /** Interval of watch reports to a reader; callers poll about twice a second. */
    duration watchReportInterval = std::chrono::milliseconds(250);
};

/** A node's session of one job. Must be held by a std::shared_ptr, because answers of the store arrive later. */
template<store_client Store, event_loop Loop>
class job_session : public std::enable_shared_from_this<job_session<Store, Loop>>
{
public:
    using lease_type = node_lease<Store, Loop>;

    job_session(Store &store,
                Loop &loop,
                std::shared_ptr<lease_type> lease,
                std::string job,
                job_owner_record self,
                job_session_handlers handlers,
                job_session_options options = {})
        : m_store(store)
        , m_loop(loop)
        , m_lease(std::move(lease))
        , m_self(std::move(self))
        , m_handlers(std::move(handlers))
        , m_options(options)
        , m_job(job)
        , m_view(std::move(job))
    {
    }

    ~job_session()
    {
        cancelWatch();
    }

    const std::string &job() const
    {
        return m_job;
    }
    const job_view &view() const
    {
        return m_view;
    }
    job_view &view()
    {
        return m_view;
    }
    bool isOwner() const
    {
        return m_isOwner;
    }
    /** Returns whether the view follows the store: it is complete, its watch is active, and an owner still has its lease. */
    bool isSynced() const
    {
        if (m_view.isEnded()) {
            return !m_needsListing; // An ended job does not change.
        }
        return m_isWatching && (!m_isOwner || m_lease->validFor(m_view.ownerLease(), m_loop.now()) > duration::zero());
    }

    /** Records the job. @param done called once; after Unknown the session continues, and calls onOwnershipGained if this node turns out to be the owner */
    void accept(const job_metadata &metadata, std::string_view document, std::function<void(accept_outcome)> done);

    /** Reads the job completely and watches it from there. @param done called once */
    void load(std::function<void(load_outcome)> done);

    /** Resumes the watch from the last known revision; the view must be present. */
    void catchUp()
    {
        if (m_watch == 0 && !m_isOwner && !m_isClaiming) {
            watchFrom(m_watchedRevision);
        }
    }
    /** Returns whether a complete read is required before catchUp() can be used. */
    bool needsListing() const
    {
        return !m_view.isPresent() || m_needsListing || (m_isOwner && !isSynced());
    }
    /** Returns whether the view shows all results that the store had confirmationValidity ago. A reader's watch is no proof: it may be late or lost silently.
     */
    bool isCaughtUp() const;
    /**
     * Queries the store for results that the view does not show, unless isCaughtUp().
     * @param done called once, with whether the view is caught up; false if the store did not answer. If results are found, onResults is called before
     */
    void verify(std::function<void(bool)> done);

    /** Appends results as the owner; only one append may be in progress. @param drafts encoded drafts to store in the same transaction; may be empty */
    void append(std::vector<item_result> results, std::string drafts);
    /** Handles that the store is reachable again: repeats an overdue append, or checks ownership if it is in doubt, without waiting for the retry delay. */
    void storeRegained();
    bool isAppending() const
    {
        return m_isAppending;
    }

    /** Stores encoded drafts for a possible successor. This is best effort: a failure costs a successor only the work that the drafts would have saved. */
    void keepDrafts(const std::string &drafts)
    {
        if (m_isOwner && !m_isClaiming) {
            m_store.txn(keepDraftsTransaction(m_job, m_ownerRevision, drafts), [weak = weakSelf(), sentAt = m_loop.now()](const store_txn_answer &answer) {
                const auto self = weak.lock();
                if (self && !answer.error && answer.isSucceeded) {
                    self->noteStateConfirmed(sentAt);
                }
            });
        }
    }
    /** Returns the encoded drafts of the previous owner; empty if none were read. */
    const std::string &inheritedDrafts() const
    {
        return m_inheritedDrafts;
    }

    /**
     * Ends the job.
     * @param additionalPuts further writes of the same transaction
     * @param done called with whether the end is recorded
     */
    void end(std::span<const store_put> additionalPuts, std::function<void(bool)> done);

    /** Releases ownership so that another node can take the job over immediately. @param done called when the store has answered or the call has failed */
    void release(std::function<void()> done);

    /** Cancels a reader's watch. load() or catchUp() starts it again. */
    void stopWatching()
    {
        if (!m_isOwner) {
            cancelWatch();
        }
    }

private:
    auto weakSelf()
    {
        return this->weak_from_this();
    }

    /** Reads the key of the next batch. Batches are numbered without gaps, so if it is absent there are no further results. */
    void readNextBatch();

    void noteConfirmed(time_point at)
    {
        m_confirmedAt = std::max(m_confirmedAt.value_or(at), at); // Answers may arrive in a different order than the queries were sent.
    }

    void finishVerification(bool isCaughtUp)
    {
        for (const auto &done : std::exchange(m_verificationCallbacks, {})) {
            done(isCaughtUp);
        }
    }

    void sendAccept(const store_txn &txn, store_lease_id lease, bool wasUnknown, std::function<void(accept_outcome)> done);

    void acceptedAsOwner(const store_txn &txn, store_revision revision, const std::function<void(accept_outcome)> &done);

    /** Handles a submission of a job that exists already: from an earlier submission, or from this one if its answer was lost. */
    void resolveExistingJob(std::function<void(accept_outcome)> done)
    {
        load([done](load_outcome outcome) {
            done(outcome == load_outcome::Present ? accept_outcome::Accepted : accept_outcome::Unknown);
        });
    }

    /** Replaces the view by a complete read. A read that is older than the known revision is ignored, because it would undo later changes. */
    void applyListing(const store_range_answer &answer, time_point askedAt);

    /** Calls the handlers for what has changed. @param isComplete whether the view has everything that was written before the end of the job */
    void notifyChanges(std::size_t resultsBefore, bool wasEnded, bool isComplete);

    /** Watches the job from the revision after @p revision. */
    void watchFrom(store_revision revision);

    void onWatchReport(const store_watch_report &report);

    void noteStateConfirmed(time_point at)
    {
        m_stateConfirmedAt = std::max(m_stateConfirmedAt, at);
    }

    duration stateValidity() const
    {
        return m_isOwner ? m_options.ownerStateValidity : m_options.readerStateValidity;
    }

    /** Reads the state of the job when its confirmation has become too old, but not before @p delay, as long as @p watch is open. */
    void scheduleStateCheck(store_watch_id watch, duration delay);

    void checkState(store_watch_id watch);

    /** Compares the keys under job_key::statePrefix() with the view. */
    bool isStateInView(std::span<const store_key_value> items) const;

    /** Schedules a complete read, because only that shows what was missed: a store that compacts its history cancels watches of older revisions. */
    void onWatchEnd(const store_watch_end &);

    void cancelWatch()
    {
        m_isWatching = false;
        if (m_watch != 0) {
            m_store.cancelWatch(std::exchange(m_watch, 0));
        }
    }

    /** Returns whether another node owns the job. An earlier process of this node does not count: it must have ended, or this one would not run. */
    bool isOwnedByOtherNode() const
    {
        return m_view.owner() && m_view.owner()->node != m_self.node;
    }

    bool isOwnedBySelf() const
    {
        return m_view.owner() && m_view.owner()->node == m_self.node && m_view.owner()->incarnation == m_self.incarnation;
    }

    /** Claims the job if it has no owner, or if its owner is an earlier process of this node. */
    void claimIfOrphaned();

    void claim();

    void onClaimAnswer(store_lease_id lease, const store_txn_answer &answer);

    /** Reads the job again after a successful claim: from then on no other node appends. */
    void readAfterClaim();

    void readInheritedDrafts(store_revision revision);

    void scheduleClaimRetry();

    void becomeOwner(store_revision ownerRevision, store_revision watchRevision);

    bool isRecorded(std::string_view item) const
    {
        return std::ranges::any_of(m_view.results(), [&](const item_result &result) {
            return result.id == item;
        });
    }

    /** Sends the results that are not recorded yet. An earlier attempt without an answer may have succeeded, and another owner may have recorded some since. */
    void sendAppend();

    void onAppendAnswer(const store_txn_answer &answer);

    /** Reads the job and calls reconcileOwnership(). @param isAppendRefused whether the store refused the append in progress */
    void readAndReconcile(bool isAppendRefused);

    /** Compares the ownership in a complete read with this session's. @param isAppendRefused whether the store refused the append in progress */
    void reconcileOwnership(store_revision revision, bool isAppendRefused);

    void finishAppend();

    void markEnded()
    {
        if (!m_view.isEnded()) {
            m_view.apply({ job_key::end(m_job), "1", 0, 0, 1, 0 });
            handleEnd(false);
        }
    }

    void handleEnd(bool isComplete);

    void loseOwnership(const std::string &reason);

    Store &m_store;
    Loop &m_loop;
    std::shared_ptr<lease_type> m_lease;
    job_owner_record m_self;
    job_session_handlers m_handlers;
    job_session_options m_options;
    std::string m_job;
    job_view m_view;
    store_watch_id m_watch = 0;
    store_revision m_watchedRevision = 0; ///< Watch events up to this revision are applied.
    store_revision m_knownRevision = 0; ///< The view holds all that the store had at this revision.
    store_revision m_ownerRevision = 0; ///< Revision of the owner key that this node wrote; guards its appends.
    store_revision m_claimRevision = 0; ///< Revision of the last successful claim.
    std::vector<item_result> m_pendingResults; ///< Results of the append in progress.
    std::string m_draftsToKeep; ///< Encoded drafts, written together with m_pendingResults.
    std::string m_inheritedDrafts; ///< Encoded drafts of the previous owner.
    time_point m_appendStartedAt;
    time_point m_appendSentAt; ///< When the newest attempt to append was sent.
    time_point m_stateConfirmedAt; ///< The view shows the owner and the end that the store had at this time.
    duration m_retryDelay{};
    std::uint64_t m_appendAttempt = 0; ///< Number of the newest attempt to append; answers to earlier attempts are ignored.
    bool m_isAppending = false;
    bool m_isOwner = false;
    bool m_isClaiming = false;
    bool m_isWatching = false;
    bool m_needsListing = false; ///< The view may lack changes from before m_watchedRevision.
    bool m_watchesResults = false; ///< Whether the watch covers the results; an owner's does not.
    bool m_isEndVerified = false; ///< The job has ended, and the view was compared with the store after that.
    std::optional<time_point> m_confirmedAt; ///< The view shows all results that the store had at this time.
    std::vector<std::function<void(bool)>> m_verificationCallbacks; ///< Callbacks of the verify() calls in progress.
};

} // namespace reedtrail

#include "batch/job_session_impl.h"
