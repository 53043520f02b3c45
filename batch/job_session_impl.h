/**
 * @file
 * Implementation of batch/job_session.h; include that one.
 *
 * Every answer of the store comes later and to a session that may be gone by then, so each handler holds it weakly. A question about the image carries the
 * time at which it was asked: what the store had then is known, what it has now is not.
 */
#pragma once

#include "batch/job_session.h"

namespace reedtrail {

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::accept(const job_facts &facts, std::string_view document, std::function<void(accept_outcome)> done)
{
    m_lease->acquire([weak = this->weak_from_this(), facts, document = std::string(document), done](store_lease_id lease) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (lease == 0) {
            done(accept_outcome::NotAccepted);
            return;
        }
        const std::optional<store_txn> txn = acceptTransaction(self->m_job, facts, document, self->m_self, lease);
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
        self->takeListing(answer, askedAt);
        if (!self->m_image.isPresent()) {
            done(load_outcome::Absent);
            return;
        }
        if (self->m_isOwner) {
            self->reviewOwnership(answer.revision, false);
        } else {
            self->follow(answer.revision);
        }
        done(load_outcome::Present);
        self->claimIfOrphaned();
    });
}

template<store_client Store, event_loop Loop>
bool job_session<Store, Loop>::isCaughtUp() const
{
    if (m_image.isEnded()) {
        return m_isFinal;
    }
    const time_point oldest = m_loop.now() - m_options.confirmTime;
    if (m_confirmedAt && *m_confirmedAt >= oldest) {
        return true;
    }
    // Others may show a batch whose record this owner has not heard of yet.
    return m_isOwner && isSynced() && (!m_isAppending || m_appendingSince >= oldest);
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::verify(std::function<void(bool)> done)
{
    if (isCaughtUp()) {
        done(true);
        return;
    }
    m_verifying.push_back(std::move(done));
    if (m_verifying.size() == 1) {
        readNextBatch();
    }
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::append(std::vector<item_result> results, std::string drafts)
{
    m_appending = std::move(results);
    m_draftsToKeep = std::move(drafts);
    m_isAppending = true;
    m_appendingSince = m_loop.now();
    m_retryDelay = m_options.retryDelay;
    sendAppend();
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::storeRegained()
{
    if (!m_isOwner || m_isClaiming || m_image.isEnded()) {
        return;
    }
    if (m_isAppending && m_loop.now() - m_appendingSince > m_options.overdueTime) {
        m_retryDelay = m_options.retryDelay;
        sendAppend();
    } else if (!isSynced()) {
        readAndReview(false);
    }
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::end(std::span<const store_put> beside, std::function<void(bool)> done)
{
    if (m_image.isEnded()) {
        done(true);
        return;
    }
    const store_txn txn = endTransaction(m_job, beside);
    m_store.txn(txn, [weak = this->weak_from_this(), done](const store_txn_answer &answer) {
        const auto self = weak.lock();
        if (self && !answer.error) {
            self->noteEnded();
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
    disown("released");
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::readNextBatch()
{
    const store_range next{ job_key::resultBatch(m_job, m_image.nextBatch()), false, 0 };
    m_store.range(next, [weak = weakSelf(), askedAt = m_loop.now(), wasEnded = m_image.isEnded()](const store_range_answer &answer) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (answer.error) {
            self->verified(false);
        } else if (answer.items.empty()) {
            self->confirm(askedAt);
            self->m_isFinal = self->m_isFinal || wasEnded;
            self->verified(self->isCaughtUp());
        } else {
            logLine(log_level::Warning,
                    "job-watch-missed-results",
                    { { "job", self->m_job }, { "known", std::to_string(self->m_image.results().size()) }, { "revision", std::to_string(answer.revision) } });
            self->load([weak](load_outcome) {
                if (const auto session = weak.lock()) {
                    session->verified(session->isCaughtUp());
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
            self->resolveAccept(done);
        } else if (answer.error->kind == error_kind::NotFound) {
            self->m_lease->recordEnded(lease);
            done(wasUnknown ? accept_outcome::Unknown : accept_outcome::NotAccepted);
        } else if (answer.error->kind == error_kind::StoreUnknown || wasUnknown) {
            done(accept_outcome::Unknown);
            self->m_loop.after(self->m_options.retryDelayMost, [weak, txn, lease] {
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
        m_image.apply({ put.key, put.value, revision, revision, 1, put.lease });
    }
    m_knownRevision = std::max(m_knownRevision, revision);
    becomeOwner(revision, revision);
    done(accept_outcome::Accepted);
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::takeListing(const store_range_answer &answer, time_point askedAt)
{
    if (answer.revision < m_knownRevision) {
        return;
    }
    m_knownRevision = answer.revision;
    m_needsListing = false;
    confirm(askedAt);
    const std::size_t before = m_image.results().size();
    const bool wasEnded = m_image.isEnded();
    m_image.clear();
    for (const store_key_value &item : answer.items) {
        m_image.apply(item);
    }
    m_isFinal = m_image.isEnded();
    notifyChanges(before, wasEnded, true);
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::notifyChanges(std::size_t resultsBefore, bool wasEnded, bool isComplete)
{
    if (m_image.results().size() != resultsBefore) {
        m_handlers.onResults();
    }
    if (m_image.isEnded() && !wasEnded) {
        noteEndedSeen(isComplete);
    }
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::follow(store_revision revision)
{
    cancelWatch();
    if (m_image.isEnded()) {
        return;
    }
    store_watch_create call{ m_isOwner ? job_key::statePrefix(m_job) : job_key::prefix(m_job), true, revision + 1 };
    call.reportInterval = m_options.readInterval;
    m_isWatching = true;
    m_watchesResults = call.key == job_key::prefix(m_job);
    m_watch = m_store.watch(call,
                            { [weak = weakSelf()](const store_watch_report &report) {
                                 if (const auto self = weak.lock()) {
                                     self->reported(report);
                                 }
                             },
                              [weak = weakSelf()](const store_watch_end &end) {
                                  if (const auto self = weak.lock()) {
                                      self->watchEnded(end);
                                  }
                              } });
    m_followedFrom = revision;
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::reported(const store_watch_report &report)
{
    const std::size_t before = m_image.results().size();
    const bool wasEnded = m_image.isEnded();
    m_followedFrom = std::max(m_followedFrom, report.revision);
    m_knownRevision = std::max(m_knownRevision, report.revision);
    for (const store_watch_event &event : report.events) {
        if (event.type == store_watch_event::kind::Put) {
            m_image.apply(event.item);
        } else {
            m_image.applyDelete(event.item.key);
        }
    }
    // An owner may have lost its key and missed results of another before it hears of the end.
    notifyChanges(before, wasEnded, !m_isOwner);
    if (m_isOwner && !m_isClaiming && m_image.ownerRevision() != m_ownerRevision) {
        readAndReview(false);
    }
    claimIfOrphaned();
    if (!m_isOwner && !m_isClaiming && !m_image.isEnded() && !m_handlers.isFollowed()) {
        cancelWatch();
    }
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::watchEnded(const store_watch_end &)
{
    m_watch = 0;
    m_isWatching = false;
    m_needsListing = true;
    m_loop.after(m_options.retryDelay, [weak = weakSelf()] {
        const auto self = weak.lock();
        if (!self || self->m_watch != 0 || self->m_image.isEnded()) {
            return;
        }
        if (self->m_isOwner) {
            self->readAndReview(false);
        } else if (self->m_handlers.isFollowed()) {
            self->load([](load_outcome) {});
        }
    });
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::claimIfOrphaned()
{
    if (m_isOwner || m_isClaiming || !m_image.isPresent() || m_image.isEnded()) {
        return;
    }
    if (isOwnedBySelf()) {
        becomeOwner(m_image.ownerRevision(), m_followedFrom);
        return;
    }
    if (isOwnedByAnother() || !m_handlers.mayClaim()) {
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
            self->claimFailed();
            return;
        }
        const store_txn txn = claimTransaction(self->m_job, self->m_image.ownerRevision(), self->m_self, lease);
        self->m_store.txn(txn, [weak, lease](const store_txn_answer &answer) {
            if (const auto session = weak.lock()) {
                session->claimed(lease, answer);
            }
        });
    });
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::claimed(store_lease_id lease, const store_txn_answer &answer)
{
    if (answer.error) {
        if (answer.error->kind == error_kind::NotFound) {
            m_lease->recordEnded(lease);
        }
        claimFailed();
        return;
    }
    if (!answer.isSucceeded) {
        m_isClaiming = false;
        logLine(log_level::Info, "job-claim-lost", { { "job", m_job }, { "seen-revision", std::to_string(m_image.ownerRevision()) } });
        const bool wasOwner = std::exchange(m_isOwner, false);
        load([weak = weakSelf(), wasOwner](load_outcome) {
            const auto self = weak.lock();
            if (self && wasOwner && !self->m_isOwner) {
                self->m_isAppending = false;
                self->m_handlers.onDisowned();
            }
        });
        return;
    }
    // Read again as the owner: from here on nobody else appends.
    m_claimRevision = answer.revision;
    readClaimed();
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::readClaimed()
{
    m_store.range({ job_key::prefix(m_job), true, 0 }, [weak = weakSelf(), askedAt = m_loop.now()](const store_range_answer &answer) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (answer.error) {
            self->m_loop.after(self->m_options.retryDelay, [weak] {
                if (const auto session = weak.lock()) {
                    session->readClaimed();
                }
            });
            return;
        }
        self->takeListing(answer, askedAt);
        if (self->m_image.isEnded() || self->m_image.ownerRevision() != self->m_claimRevision) {
            self->disown("lost again");
            return;
        }
        self->readDrafts(answer.revision);
    });
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::readDrafts(store_revision revision)
{
    m_store.range({ job_key::drafts(m_job), false, 0 }, [weak = weakSelf(), revision](const store_range_answer &answer) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        // Without them the texts start anew, which costs time and nothing else.
        self->m_draftsLeft = answer.items.empty() ? std::string() : answer.items.front().value;
        self->m_isClaiming = false;
        if (!self->m_image.isEnded()) {
            self->becomeOwner(self->m_claimRevision, revision);
        }
    });
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::claimFailed()
{
    m_isClaiming = false;
    m_loop.after(m_options.retryDelayMost, [weak = weakSelf()] {
        const auto self = weak.lock();
        if (!self || self->m_image.isEnded()) {
            return;
        }
        if (self->m_isOwner) {
            self->readAndReview(true);
        } else {
            self->load([](load_outcome) {});
        }
    });
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::becomeOwner(store_revision ownerRevision, store_revision followFrom)
{
    m_isOwner = true;
    m_ownerRevision = ownerRevision;
    logLine(log_level::Info,
            "job-owned",
            { { "job", m_job }, { "owner-revision", std::to_string(ownerRevision) }, { "recorded", std::to_string(m_image.results().size()) } });
    follow(followFrom);
    m_handlers.onOwned();
    if (m_isAppending) {
        sendAppend();
    }
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::sendAppend()
{
    std::erase_if(m_appending, [this](const item_result &result) {
        return isRecorded(result.id);
    });
    if (m_appending.empty()) {
        finishAppend();
        return;
    }
    const store_txn txn = appendTransaction(m_job, m_ownerRevision, m_image.nextBatch(), m_appending, m_draftsToKeep);
    m_store.txn(txn, [weak = weakSelf(), number = ++m_appendNumber](const store_txn_answer &answer) {
        const auto self = weak.lock();
        if (self && self->m_isOwner && self->m_isAppending && self->m_appendNumber == number) {
            self->appended(answer);
        }
    });
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::appended(const store_txn_answer &answer)
{
    if (!answer.error && answer.isSucceeded) {
        m_knownRevision = std::max(m_knownRevision, answer.revision);
        finishAppend();
        return;
    }
    if (answer.error) {
        m_loop.after(m_retryDelay, [weak = weakSelf(), number = m_appendNumber] {
            const auto self = weak.lock();
            if (self && self->m_isOwner && self->m_isAppending && self->m_appendNumber == number) {
                self->sendAppend();
            }
        });
        m_retryDelay = std::min(m_retryDelay * 2, m_options.retryDelayMost);
        return;
    }
    readAndReview(true);
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::readAndReview(bool isAppendRefused)
{
    m_store.range({ job_key::prefix(m_job), true, 0 }, [weak = weakSelf(), askedAt = m_loop.now(), isAppendRefused](const store_range_answer &answer) {
        const auto self = weak.lock();
        if (!self || !self->m_isOwner) {
            return;
        }
        if (answer.error) {
            self->m_loop.after(self->m_options.retryDelayMost / 2, [weak, isAppendRefused] {
                if (const auto session = weak.lock()) {
                    session->readAndReview(isAppendRefused);
                }
            });
            return;
        }
        self->takeListing(answer, askedAt);
        self->reviewOwnership(answer.revision, isAppendRefused);
    });
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::reviewOwnership(store_revision revision, bool isAppendRefused)
{
    if (!m_isOwner || m_isClaiming || m_image.isEnded()) {
        return;
    }
    if (m_image.ownerRevision() == m_ownerRevision) {
        follow(revision);
        if (m_isAppending && isAppendRefused) {
            sendAppend();
        }
    } else if (isOwnedBySelf()) {
        becomeOwner(m_image.ownerRevision(), revision);
    } else if (isOwnedByAnother()) {
        disown("owned by " + m_image.owner()->node);
        m_needsListing = false; // The image is as of that revision.
        follow(revision);
    } else {
        logLine(log_level::Warning, "job-owner-key-lapsed", { { "job", m_job }, { "owner-revision", std::to_string(m_ownerRevision) } });
        claim();
    }
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::finishAppend()
{
    m_isAppending = false;
    const std::vector<item_result> results = std::exchange(m_appending, {});
    // A complete read since then shows the batch already.
    if (!results.empty() && !isRecorded(results.front().id)) {
        m_image.appendOwn(results);
    }
    m_handlers.onResults();
    m_handlers.onRecorded(results);
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::noteEndedSeen(bool isComplete)
{
    cancelWatch();
    m_needsListing = m_needsListing || !isComplete;
    m_isOwner = false;
    m_isAppending = false;
    m_handlers.onEnded();
}

template<store_client Store, event_loop Loop>
void job_session<Store, Loop>::disown(const std::string &reason)
{
    logLine(log_level::Info, "job-disowned", { { "job", m_job }, { "reason", reason } });
    m_isOwner = false;
    m_isAppending = false;
    m_isClaiming = false;
    if (!m_watchesResults) {
        // What a successor has recorded since is not in the image.
        cancelWatch();
        m_needsListing = true;
    }
    m_handlers.onDisowned();
}

} // namespace reedtrail
