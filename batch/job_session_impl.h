/**
 * @file
 * Implementation of batch/job_session.h, which is the header to include.
 *
 * Answers of the store arrive asynchronously, when the session may be destroyed already, so each handler holds a weak pointer to it. A read carries the time at
 * which it was sent, because its answer confirms the state of the store only as of that time.
 */
#pragma once

#include "batch/job_session.h"

namespace reedtrail {

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::accept(const job_metadata &metadata, std::string_view document, std::function<void(accept_outcome)> done)
{
    m_lease->acquire([weak = this->weak_from_this(), metadata, document = std::string(document), done](store_lease_id lease) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (lease == 0) {
            done(accept_outcome::NotAccepted);
            return;
        }
        const std::optional<store_txn> txn = acceptTransaction(self->m_job, metadata, document, self->m_self, lease);
        if (!txn) {
            done(accept_outcome::TooLarge);
            return;
        }
        self->sendAccept(*txn, lease, false, done);
    });
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::load(std::function<void(load_outcome)> done)
{
    m_store.range({ job_key::prefix(m_job), true, 0 }, [weak = this->weak_from_this(), askedAt = m_loop.now(), done](const store_range_answer &answer) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (answer.error) {
            done(load_outcome::Unavailable);
            return;
        }
        self->applyListing(answer, askedAt);
        if (!self->m_view.isPresent()) {
            done(load_outcome::Absent);
            return;
        }
        if (self->m_isOwner) {
            self->reconcileOwnership(answer.revision, false);
        } else {
            self->watchFrom(answer.revision);
        }
        done(load_outcome::Present);
        self->claimIfOrphaned();
    });
}

template<store_client Store, event_loop Loop>
bool job_session<Store, Loop>::isCaughtUp() const
{
    if (m_view.isEnded()) {
        return m_isEndVerified;
    }
    const time_point oldest = m_loop.now() - m_options.confirmationValidity;
    if (m_confirmedAt && *m_confirmedAt >= oldest) {
        return true;
    }
    // If the append's answer is outstanding for longer, other nodes may already show its results.
    return m_isOwner && isSynced() && (!m_isAppending || m_appendStartedAt >= oldest);
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::verify(std::function<void(bool)> done)
{
    if (isCaughtUp()) {
        done(true);
        return;
    }
    m_verificationCallbacks.push_back(std::move(done));
    if (m_verificationCallbacks.size() == 1) {
        readNextBatch();
    }
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::append(std::vector<item_result> results, std::string drafts)
{
    m_pendingResults = std::move(results);
    m_draftsToKeep = std::move(drafts);
    m_isAppending = true;
    m_appendStartedAt = m_loop.now();
    m_retryDelay = m_options.retryDelay;
    sendAppend();
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::storeRegained()
{
    if (!m_isOwner || m_isClaiming || m_view.isEnded()) {
        return;
    }
    if (m_isAppending && m_loop.now() - m_appendStartedAt > m_options.appendOverdueAfter) {
        m_retryDelay = m_options.retryDelay;
        sendAppend();
    } else if (!isSynced()) {
        readAndReconcile(false);
    }
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::end(std::span<const store_put> additionalPuts, std::function<void(bool)> done)
{
    if (m_view.isEnded()) {
        done(true);
        return;
    }
    const store_txn txn = endTransaction(m_job, additionalPuts);
    m_store.txn(txn, [weak = this->weak_from_this(), done](const store_txn_answer &answer) {
        const auto self = weak.lock();
        if (self && !answer.error) {
            self->markEnded();
        }
        done(!answer.error);
    });
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::release(std::function<void()> done)
{
    if (!m_isOwner) {
        done();
        return;
    }
    m_store.txn(releaseTransaction(m_job, m_ownerRevision), [done](const store_txn_answer &) {
        done();
    });
    loseOwnership("released");
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::readNextBatch()
{
    const store_range next{ job_key::resultBatch(m_job, m_view.nextBatch()), false, 0 };
    m_store.range(next, [weak = weakSelf(), askedAt = m_loop.now(), wasEnded = m_view.isEnded()](const store_range_answer &answer) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (answer.error) {
            self->finishVerification(false);
        } else if (answer.items.empty()) {
            self->noteConfirmed(askedAt);
            self->m_isEndVerified = self->m_isEndVerified || wasEnded;
            self->finishVerification(self->isCaughtUp());
        } else {
            logLine(log_level::Warning,
                    "job-watch-missed-results",
                    { { "job", self->m_job }, { "known", std::to_string(self->m_view.results().size()) }, { "revision", std::to_string(answer.revision) } });
            self->load([weak](load_outcome) {
                if (const auto session = weak.lock()) {
                    session->finishVerification(session->isCaughtUp());
                }
            });
        }
    });
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::sendAccept(const store_txn &txn, store_lease_id lease, bool wasUnknown, std::function<void(accept_outcome)> done)
{
    m_store.txn(txn, [weak = weakSelf(), txn, lease, wasUnknown, done](const store_txn_answer &answer) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (!answer.error && answer.isSucceeded) {
            self->acceptedAsOwner(txn, answer.revision, done);
        } else if (!answer.error) {
            self->resolveExistingJob(done);
        } else if (answer.error->kind == error_kind::NotFound) {
            self->m_lease->recordEnded(lease);
            done(wasUnknown ? accept_outcome::Unknown : accept_outcome::NotAccepted);
        } else if (answer.error->kind == error_kind::StoreUnknown || wasUnknown) {
            done(accept_outcome::Unknown);
            self->m_loop.after(self->m_options.maximumRetryDelay, [weak, txn, lease] {
                if (const auto session = weak.lock()) {
                    session->sendAccept(txn, lease, true, [](accept_outcome) {});
                }
            });
        } else {
            done(accept_outcome::NotAccepted);
        }
    });
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::acceptedAsOwner(const store_txn &txn, store_revision revision, const std::function<void(accept_outcome)> &done)
{
    for (const store_operation &operation : txn.onSuccess) {
        const auto &put = std::get<store_put>(operation);
        m_view.apply({ put.key, put.value, revision, revision, 1, put.lease });
    }
    m_knownRevision = std::max(m_knownRevision, revision);
    noteStateConfirmed(m_loop.now());
    becomeOwner(revision, revision);
    done(accept_outcome::Accepted);
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::applyListing(const store_range_answer &answer, time_point askedAt)
{
    if (answer.revision < m_knownRevision) {
        return;
    }
    m_knownRevision = answer.revision;
    m_needsListing = false;
    noteConfirmed(askedAt);
    noteStateConfirmed(askedAt);
    const std::size_t before = m_view.results().size();
    const bool wasEnded = m_view.isEnded();
    m_view.clear();
    for (const store_key_value &item : answer.items) {
        m_view.apply(item);
    }
    m_isEndVerified = m_view.isEnded();
    notifyChanges(before, wasEnded, true);
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::notifyChanges(std::size_t resultsBefore, bool wasEnded, bool isComplete)
{
    if (m_view.results().size() != resultsBefore) {
        m_handlers.onResults();
    }
    if (m_view.isEnded() && !wasEnded) {
        handleEnd(isComplete);
    }
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::watchFrom(store_revision revision)
{
    cancelWatch();
    if (m_view.isEnded()) {
        return;
    }
    store_watch_create call{ m_isOwner ? job_key::statePrefix(m_job) : job_key::prefix(m_job), true, revision + 1 };
    call.reportInterval = m_options.watchReportInterval;
    m_isWatching = true;
    m_watchesResults = call.key == job_key::prefix(m_job);
    m_watch = m_store.watch(call,
                            { [weak = weakSelf()](const store_watch_report &report) {
                                 if (const auto self = weak.lock()) {
                                     self->onWatchReport(report);
                                 }
                             },
                              [weak = weakSelf()](const store_watch_end &end) {
                                  if (const auto self = weak.lock()) {
                                      self->onWatchEnd(end);
                                  }
                              } });
    m_watchedRevision = revision;
    scheduleStateCheck(m_watch, stateValidity());
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::scheduleStateCheck(store_watch_id watch, duration delay)
{
    const duration untilDue = std::max(delay, m_stateConfirmedAt + stateValidity() - m_loop.now());
    if (untilDue <= duration::zero()) {
        checkState(watch);
        return;
    }
    m_loop.after(untilDue, [weak = weakSelf(), watch] {
        const auto self = weak.lock();
        if (self && self->m_watch == watch) {
            self->scheduleStateCheck(watch, duration::zero());
        }
    });
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::checkState(store_watch_id watch)
{
    m_store.range({ job_key::statePrefix(m_job), true, 0 }, [weak = weakSelf(), watch, askedAt = m_loop.now()](const store_range_answer &answer) {
        const auto self = weak.lock();
        if (!self || self->m_watch != watch) {
            return;
        }
        if (answer.error) {
            self->scheduleStateCheck(watch, self->m_options.retryDelay);
            return;
        }
        const bool isOutdated = answer.revision >= self->m_knownRevision && !self->isStateInView(answer.items);
        if (!isOutdated) {
            self->noteStateConfirmed(askedAt);
            self->scheduleStateCheck(watch, self->m_options.retryDelay);
            return;
        }
        logLine(log_level::Warning,
                "job-state-unheard",
                { { "job", self->m_job }, { "owner", self->m_isOwner ? "yes" : "no" }, { "revision", std::to_string(answer.revision) } });
        self->scheduleStateCheck(watch, self->m_options.maximumRetryDelay);
        if (self->m_isOwner) {
            self->readAndReconcile(false);
        } else {
            self->load([](load_outcome) {});
        }
    });
}

template<store_client Store, event_loop Loop>
bool job_session<Store, Loop>::isStateInView(std::span<const store_key_value> items) const
{
    store_revision ownerRevision = 0;
    for (const store_key_value &item : items) {
        if (item.key == job_key::end(m_job)) {
            return m_view.isEnded();
        }
        if (item.key == job_key::owner(m_job)) {
            ownerRevision = item.modRevision;
        }
    }
    return ownerRevision == m_view.ownerRevision();
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::onWatchReport(const store_watch_report &report)
{
    const std::size_t before = m_view.results().size();
    const bool wasEnded = m_view.isEnded();
    m_watchedRevision = std::max(m_watchedRevision, report.revision);
    m_knownRevision = std::max(m_knownRevision, report.revision);
    noteStateConfirmed(m_loop.now());
    for (const store_watch_event &event : report.events) {
        if (event.type == store_watch_event::kind::Put) {
            m_view.apply(event.item);
        } else {
            m_view.applyDelete(event.item.key);
        }
    }
    // An owner's watch does not cover results, so it may have lost its key and missed another owner's results before this report of the end.
    notifyChanges(before, wasEnded, !m_isOwner);
    if (m_isOwner && !m_isClaiming && m_view.ownerRevision() != m_ownerRevision) {
        readAndReconcile(false);
    }
    claimIfOrphaned();
    if (!m_isOwner && !m_isClaiming && !m_view.isEnded() && !m_handlers.hasReaders()) {
        cancelWatch();
    }
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::onWatchEnd(const store_watch_end &)
{
    m_watch = 0;
    m_isWatching = false;
    m_needsListing = true;
    m_loop.after(m_options.retryDelay, [weak = weakSelf()] {
        const auto self = weak.lock();
        if (!self || self->m_watch != 0 || self->m_view.isEnded()) {
            return;
        }
        if (self->m_isOwner) {
            self->readAndReconcile(false);
        } else if (self->m_handlers.hasReaders()) {
            self->load([](load_outcome) {});
        }
    });
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::claimIfOrphaned()
{
    if (m_isOwner || m_isClaiming || !m_view.isPresent() || m_view.isEnded()) {
        return;
    }
    if (isOwnedBySelf()) {
        becomeOwner(m_view.ownerRevision(), m_watchedRevision);
        return;
    }
    if (isOwnedByOtherNode() || !m_handlers.mayClaim()) {
        return;
    }
    claim();
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::claim()
{
    m_isClaiming = true;
    m_lease->acquire([weak = weakSelf()](store_lease_id lease) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (lease == 0) {
            self->scheduleClaimRetry();
            return;
        }
        const store_txn txn = claimTransaction(self->m_job, self->m_view.ownerRevision(), self->m_self, lease);
        self->m_store.txn(txn, [weak, lease](const store_txn_answer &answer) {
            if (const auto session = weak.lock()) {
                session->onClaimAnswer(lease, answer);
            }
        });
    });
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::onClaimAnswer(store_lease_id lease, const store_txn_answer &answer)
{
    if (answer.error) {
        if (answer.error->kind == error_kind::NotFound) {
            m_lease->recordEnded(lease);
        }
        scheduleClaimRetry();
        return;
    }
    if (!answer.isSucceeded) {
        m_isClaiming = false;
        logLine(log_level::Info, "job-claim-lost", { { "job", m_job }, { "seen-revision", std::to_string(m_view.ownerRevision()) } });
        const bool wasOwner = std::exchange(m_isOwner, false);
        load([weak = weakSelf(), wasOwner](load_outcome) {
            const auto self = weak.lock();
            if (self && wasOwner && !self->m_isOwner) {
                self->m_isAppending = false;
                self->m_handlers.onOwnershipLost();
            }
        });
        return;
    }
    // Reads again as the owner, because from now on no other node can append.
    m_claimRevision = answer.revision;
    readAfterClaim();
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::readAfterClaim()
{
    m_store.range({ job_key::prefix(m_job), true, 0 }, [weak = weakSelf(), askedAt = m_loop.now()](const store_range_answer &answer) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (answer.error) {
            self->m_loop.after(self->m_options.retryDelay, [weak] {
                if (const auto session = weak.lock()) {
                    session->readAfterClaim();
                }
            });
            return;
        }
        self->applyListing(answer, askedAt);
        if (self->m_view.isEnded() || self->m_view.ownerRevision() != self->m_claimRevision) {
            self->loseOwnership("job ended or owner changed during the claim");
            return;
        }
        self->readInheritedDrafts(answer.revision);
    });
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::readInheritedDrafts(store_revision revision)
{
    m_store.range({ job_key::drafts(m_job), false, 0 }, [weak = weakSelf(), revision](const store_range_answer &answer) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        // A failed read is treated as no drafts: the items restart, which only costs time.
        self->m_inheritedDrafts = answer.items.empty() ? std::string() : answer.items.front().value;
        self->m_isClaiming = false;
        if (!self->m_view.isEnded()) {
            self->becomeOwner(self->m_claimRevision, revision);
        }
    });
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::scheduleClaimRetry()
{
    m_isClaiming = false;
    m_loop.after(m_options.maximumRetryDelay, [weak = weakSelf()] {
        const auto self = weak.lock();
        if (!self || self->m_view.isEnded()) {
            return;
        }
        if (self->m_isOwner) {
            self->readAndReconcile(true);
        } else {
            self->load([](load_outcome) {});
        }
    });
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::becomeOwner(store_revision ownerRevision, store_revision watchRevision)
{
    m_isOwner = true;
    m_ownerRevision = ownerRevision;
    logLine(log_level::Info,
            "job-owned",
            { { "job", m_job }, { "owner-revision", std::to_string(ownerRevision) }, { "recorded", std::to_string(m_view.results().size()) } });
    watchFrom(watchRevision);
    m_handlers.onOwnershipGained();
    if (m_isAppending) {
        sendAppend();
    }
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::sendAppend()
{
    std::erase_if(m_pendingResults, [this](const item_result &result) {
        return isRecorded(result.id);
    });
    if (m_pendingResults.empty()) {
        finishAppend();
        return;
    }
    m_appendSentAt = m_loop.now();
    const store_txn txn = appendTransaction(m_job, m_ownerRevision, m_view.nextBatch(), m_pendingResults, m_draftsToKeep);
    m_store.txn(txn, [weak = weakSelf(), attempt = ++m_appendAttempt](const store_txn_answer &answer) {
        const auto self = weak.lock();
        if (self && self->m_isOwner && self->m_isAppending && self->m_appendAttempt == attempt) {
            self->onAppendAnswer(answer);
        }
    });
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::onAppendAnswer(const store_txn_answer &answer)
{
    if (!answer.error && answer.isSucceeded) {
        m_knownRevision = std::max(m_knownRevision, answer.revision);
        noteStateConfirmed(m_appendSentAt);
        finishAppend();
        return;
    }
    if (answer.error) {
        m_loop.after(m_retryDelay, [weak = weakSelf(), attempt = m_appendAttempt] {
            const auto self = weak.lock();
            if (self && self->m_isOwner && self->m_isAppending && self->m_appendAttempt == attempt) {
                self->sendAppend();
            }
        });
        m_retryDelay = std::min(m_retryDelay * 2, m_options.maximumRetryDelay);
        return;
    }
    readAndReconcile(true);
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::readAndReconcile(bool isAppendRefused)
{
    m_store.range({ job_key::prefix(m_job), true, 0 }, [weak = weakSelf(), askedAt = m_loop.now(), isAppendRefused](const store_range_answer &answer) {
        const auto self = weak.lock();
        if (!self || !self->m_isOwner) {
            return;
        }
        if (answer.error) {
            self->m_loop.after(self->m_options.maximumRetryDelay / 2, [weak, isAppendRefused] {
                if (const auto session = weak.lock()) {
                    session->readAndReconcile(isAppendRefused);
                }
            });
            return;
        }
        self->applyListing(answer, askedAt);
        self->reconcileOwnership(answer.revision, isAppendRefused);
    });
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::reconcileOwnership(store_revision revision, bool isAppendRefused)
{
    if (!m_isOwner || m_isClaiming || m_view.isEnded()) {
        return;
    }
    if (m_view.ownerRevision() == m_ownerRevision) {
        watchFrom(revision);
        if (m_isAppending && isAppendRefused) {
            sendAppend();
        }
    } else if (isOwnedBySelf()) {
        becomeOwner(m_view.ownerRevision(), revision);
    } else if (isOwnedByOtherNode()) {
        loseOwnership("owned by " + m_view.owner()->node);
        m_needsListing = false; // The view is complete as of the revision that is watched next.
        watchFrom(revision);
    } else {
        logLine(log_level::Warning, "job-owner-key-lapsed", { { "job", m_job }, { "owner-revision", std::to_string(m_ownerRevision) } });
        claim();
    }
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::finishAppend()
{
    m_isAppending = false;
    const std::vector<item_result> results = std::exchange(m_pendingResults, {});
    // The view has the batch already if a complete read was applied since the append was sent.
    if (!results.empty() && !isRecorded(results.front().id)) {
        m_view.appendRecorded(results);
    }
    m_handlers.onResults();
    m_handlers.onRecorded(results);
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::handleEnd(bool isComplete)
{
    cancelWatch();
    m_needsListing = m_needsListing || !isComplete;
    m_isOwner = false;
    m_isAppending = false;
    m_handlers.onEnded();
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::loseOwnership(const std::string &reason)
{
    logLine(log_level::Info, "job-disowned", { { "job", m_job }, { "reason", reason } });
    m_isOwner = false;
    m_isAppending = false;
    m_isClaiming = false;
    if (!m_watchesResults) {
        // The watch did not cover results, so the view lacks what the next owner records.
        cancelWatch();
        m_needsListing = true;
    }
    m_handlers.onOwnershipLost();
}

} // namespace reedtrail
