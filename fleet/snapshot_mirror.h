/**
 * @file
 * Keeps a dated_snapshot of one store prefix fresh enough for the decisions that rest on it, and reads only when a decision is due.
 *
 * Load pattern: hundreds of nodes know the same few prefixes, most of them get a request every few seconds, and each read of the store is charged. A node that
 * polls at an interval pays for times in which it decides nothing. Here a decision states the greatest age that it allows. If the snapshot is older, the node
 * first asks the reader of its zone, and the store itself if the reader is silent, cannot answer, or knows nothing newer. One read serves all decisions that
 * wait, and the reader's one read of the store serves its whole zone. A reader that is frozen, cut off or gone therefore costs a call, never a bound.
 *
 * A read asks for the changes since an earlier state rather than for all keys. A store may hide changes from such a read for a while just before it drops its
 * history, and still name the revision that it has reached. So the state asked from lies an overlap before the last one: what was hidden from one read is
 * contained in the next, or the history is gone and all keys are read. The same holds for replies of readers, whose states may have had such holes.
 *
 * What waits is bounded: after holdTime, or once the store has failed, decisions go ahead on the state at hand, because a store outage must not stop the nodes
 * from serving. They do not wait at all while a read that failed was begun less than failureMemory ago. That time counts from the begin of the read: its end
 * may come seconds after the store has recovered.
 *
 *     auto mirror = std::make_shared<snapshot_mirror<Source, Loop>>(source, loop, options, handlers);
 *     mirror->start();
 *     if (mirror->ensureFresh([&] { ... decide again ... })) { ... decide ... }
 */
#pragma once

#include "fleet/dated_snapshot.h"
#include "fleet/event_loop.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace reedtrail {

/** Reads the store and peers for a snapshot_mirror. Handlers run exactly once, never from inside the call. */
template<class Source>
concept snapshot_source = requires(Source source,
                                   const std::string &name,
                                   const snapshot_query &query,
                                   bool isPrefix,
                                   std::function<void(const store_range_answer &)> onListing,
                                   std::function<void(const store_change_answer &)> onChanges,
                                   std::function<void(const std::optional<snapshot_reply> &)> onReply)
{
    source.list(name, isPrefix, onListing);
    source.changes(name, store_revision{}, onChanges);
    {
        source.reader()
        } -> std::same_as<std::optional<std::string>>;
    source.ask(name, query, onReply);
    source.recordReaderFailure(name);
    source.recordReaderSuccess(name);
};

/** What a snapshot_mirror reads, and its ages and times. */
struct snapshot_mirror_options
{
    std::string prefix;
    bool isPrefix = true; ///< Whether all keys that begin with the prefix are read, or the one key that equals it.
    duration allowance = std::chrono::milliseconds(1200); ///< Greatest age on which a decision may rest.
    duration replyAge = std::chrono::milliseconds(800); ///< Greatest age of a reader's reply; what is left of the allowance covers the way to the node.
    duration prefetchAge = std::chrono::milliseconds(600); ///< From this age on a decision starts a read in the background.
    duration readerPatience = std::chrono::milliseconds(100); ///< A reader that has not replied by then is passed over.
    duration holdTime = std::chrono::milliseconds(400); ///< Longest wait of a decision.
    duration failureMemory = std::chrono::milliseconds(1400); ///< Decisions do not wait for this long after the begin of a read that failed.
    duration retryDelay = std::chrono::milliseconds(250); ///< Between two reads after a failure.
    duration overlap = std::chrono::seconds(2); ///< Twice as long as a store is known to hide changes.
    duration maxBaseAge = std::chrono::seconds(12); ///< All keys are read if the state asked from is older; the store keeps 20 s of history.
};

/** Callbacks of a snapshot_mirror. */
struct snapshot_mirror_handlers
{
    std::function<void(const store_watch_event &event, bool mayHaveLapsed)> onEvent; ///< Called for each difference from the state before. A removed key
                                                                                     ///< may have lapsed in an outage of the store, and may come back.
    std::function<void(bool mayHaveLapsed)> onCaughtUp; ///< Called after all differences of one read; keys that lapsed are back if the argument is false.
    std::function<void(bool isConnected)> onConnectionChange; ///< Called when reads of the store begin to fail or to succeed.
    std::function<duration(time_point askedAt)> lapseGrace; ///< Returns for how much longer keys may come back that are missing in a listing.
    std::function<bool()> isLapseKnown; ///< Tells whether lapseGrace is certain; while it is not, peers get no replies.
};

/** Counts of a snapshot_mirror since its start. */
struct snapshot_mirror_counts
{
    std::uint64_t storeReads = 0;
    std::uint64_t peerReads = 0;
    std::uint64_t peerFailures = 0; ///< Reads from a peer that were silent, refused or too old.
    std::uint64_t staleDecisions = 0; ///< Decisions that went ahead on a state older than the allowance.
};

/** Follows the keys of one prefix on demand. */
template<snapshot_source Source, event_loop Loop>
class snapshot_mirror : public std::enable_shared_from_this<snapshot_mirror<Source, Loop>>
{
public:
    snapshot_mirror(Source &source, Loop &loop, snapshot_mirror_options options, snapshot_mirror_handlers handlers)
        : m_source(source)
        , m_loop(loop)
        , m_options(std::move(options))
        , m_handlers(std::move(handlers))
    {
    }

    /** Reads until a first read has succeeded. */
    void start()
    {
        refresh();
    }
    /** Stops permanently; no handler is called afterwards. */
    void stop()
    {
        m_isStopped = true;
        m_waiting.clear();
        m_newReaders.clear();
        m_nextReaders.clear();
        m_askers.clear();
    }

    /** Starts a read in the background if the state is about to become too old. */
    void prefetch()
    {
        if (age(m_loop.now()) > m_options.prefetchAge) {
            refresh();
        }
    }

    /**
     * Tells whether a decision may be made now. Starts a read in the background if the state is about to become too old.
     * @param whenReady called later, and only if the result is false, when the decision may be made
     */
    bool ensureFresh(std::function<void()> whenReady)
    {
        prefetch();
        const time_point now = m_loop.now();
        if (age(now) <= m_options.allowance) {
            return true;
        }
        if (hasFailedRecently(now)) {
            ++m_counts.staleDecisions;
            return true;
        }
        if (m_waiting.empty()) {
            limitWait();
        }
        m_waiting.push_back(std::move(whenReady));
        return false;
    }

    /** Returns when the store was asked for the current state; nothing before the first one. */
    std::optional<time_point> askedAt() const
    {
        return m_snapshot.isPresent() ? std::optional(m_snapshot.askedAt()) : std::nullopt;
    }
    /**
     * Reads a state for which the store is asked from now on. One read serves all that ask while another one is under way.
     * @param whenRead called later, also if the read fails or is overdue
     */
    void readNew(std::function<void()> whenRead)
    {
        m_nextReaders.push_back(std::move(whenRead));
        if (m_isListing) {
            return; // That read may have begun too early.
        }
        if (mayRetry(m_loop.now())) {
            startNextRead();
        } else if (!std::exchange(m_isNextReadDue, true)) {
            m_loop.after(m_options.retryDelay, guarded([](snapshot_mirror &self) {
                             self.m_isNextReadDue = false;
                             self.startNextRead();
                         }));
        }
    }

    /**
     * Answers a peer's query from a state that is at most as old as the query allows; reads the store first if necessary, but asks no further peer.
     * @param onReply called with the reply, or with nothing if the store does not answer
     */
    void serve(const snapshot_query &query, std::function<void(const std::optional<snapshot_reply> &)> onReply)
    {
        m_askers.push_back({ query, std::move(onReply) });
        answerAskers();
        if (mayRetry(m_loop.now()) && (!m_askers.empty() || age(m_loop.now()) > m_options.prefetchAge)) {
            listStore();
        }
        if (!m_isListing) {
            rejectAskers();
        }
    }

    /** Tells whether reads fail, so that decisions go ahead on whatever state is at hand. */
    bool isFailing(time_point now) const
    {
        return hasFailedRecently(now);
    }
    /** Returns until when keys may come back that are missing in the state at hand. */
    time_point lapseEnd() const
    {
        return m_snapshot.askedAt() + m_lapseGrace;
    }
    /** Called when the lapse grace has become certain, or has changed. */
    void onLapseKnown()
    {
        if (m_isOwnState && m_handlers.lapseGrace) {
            m_lapseGrace = m_handlers.lapseGrace(m_snapshot.askedAt());
        }
        answerAskers();
    }
    /** Tells whether a state has been read. */
    bool hasListed() const
    {
        return m_snapshot.isPresent();
    }
    /** Returns how long ago the store was asked for the current state. */
    duration age(time_point now) const
    {
        return m_snapshot.isPresent() ? now - m_snapshot.askedAt() : duration::max();
    }
    store_revision revision() const
    {
        return m_snapshot.revision();
    }
    const snapshot_mirror_counts &counts() const
    {
        return m_counts;
    }

private:
    struct asker
    {
        snapshot_query query;
        std::function<void(const std::optional<snapshot_reply> &)> onReply;
    };

    /** Wraps @p action so that it runs only while this mirror exists and is not stopped. */
    template<class Action>
    auto guarded(Action action)
    {
        return [weak = this->weak_from_this(), action](const auto &...arguments) {
            const auto self = weak.lock();
            if (self && !self->m_isStopped) {
                action(*self, arguments...);
            }
        };
    }

    bool hasFailedRecently(time_point now) const
    {
        return m_failedAt && now - *m_failedAt < m_options.failureMemory;
    }

    bool mayRetry(time_point now) const
    {
        return !m_failedAt || now - *m_failedAt >= m_options.retryDelay;
    }

    void startNextRead()
    {
        if (!m_nextReaders.empty() && !m_isListing) {
            m_newReaders = std::exchange(m_nextReaders, {});
            listStore();
        }
    }

    void releaseReaders(std::vector<std::function<void()>> &readers)
    {
        for (const auto &whenRead : std::exchange(readers, {})) {
            whenRead();
        }
    }

    /** Begins a read unless one is under way or one has just failed. */
    void refresh()
    {
        if (m_isReading || !mayRetry(m_loop.now())) {
            return;
        }
        m_isReading = true;
        if (const std::optional<std::string> reader = m_source.reader()) {
            askReader(*reader);
        } else {
            listStore();
        }
    }

    /** Releases the decisions that begin to wait now after the hold time, also if a read that began long before is still under way. */
    void limitWait()
    {
        m_loop.after(m_options.holdTime, guarded([batch = m_batch](snapshot_mirror &self) {
                         if (self.m_batch == batch) {
                             self.recordFailure(self.m_loop.now() - self.m_options.holdTime);
                             self.releaseWaiting();
                         }
                     }));
    }

    void askReader(const std::string &reader)
    {
        ++m_counts.peerReads;
        m_isAskingReader = true;
        const time_point askedAt = m_loop.now();
        const auto isPending = std::make_shared<bool>(true);
        const auto passOver = guarded([reader, isPending](snapshot_mirror &self) {
            if (std::exchange(*isPending, false)) {
                self.m_isAskingReader = false;
                ++self.m_counts.peerFailures;
                self.m_source.recordReaderFailure(reader);
                self.listStore();
            }
        });
        m_loop.after(m_options.readerPatience, passOver);
        const std::optional<base_state> from = base();
        const snapshot_query query{ m_options.prefix, from ? from->revision : 0, m_options.replyAge.count() };
        m_source.ask(reader, query, guarded([reader, askedAt, isPending, passOver](snapshot_mirror &self, const std::optional<snapshot_reply> &reply) {
                         // The age counts from the question, so that time on the way, in a queue or in a frozen reader makes the state older.
                         if (!reply || reply->age() > self.m_options.replyAge) {
                             passOver();
                             return;
                         }
                         self.applyReply(askedAt - reply->age(), *reply);
                         if (std::exchange(*isPending, false)) {
                             self.m_isAskingReader = false;
                             self.m_source.recordReaderSuccess(reader);
                             self.endRead(true);
                         }
                     }));
    }

    void applyReply(time_point askedAt, const snapshot_reply &reply)
    {
        const std::vector<store_watch_event> changes = m_snapshot.apply(askedAt, reply);
        recordBase(false);
        m_lapseGrace = duration(reply.lapseGraceUs);
        m_isOwnState = false;
        report(changes);
    }

    /** A state that was read, for later reads to ask from. */
    struct base_state
    {
        time_point askedAt;
        store_revision revision = 0;
    };

    /** Returns the state from which changes are asked for; nothing if all keys must be read. */
    std::optional<base_state> base() const
    {
        if (m_bases.empty()) {
            return std::nullopt;
        }
        const bool isOldEnough = m_isBaseComplete || m_bases.front().askedAt <= m_snapshot.askedAt() - m_options.overlap;
        return isOldEnough ? std::optional(m_bases.front()) : std::nullopt;
    }

    /** Records the state at hand. @param isListing whether all keys were read from the store, so that nothing can be missing in it */
    void recordBase(bool isListing)
    {
        if (isListing) {
            m_bases.clear();
        }
        m_isBaseComplete = isListing || (m_isBaseComplete && !m_bases.empty());
        m_bases.push_back({ m_snapshot.askedAt(), m_snapshot.revision() });
        while (m_bases.size() > 1 && m_bases[1].askedAt <= m_snapshot.askedAt() - m_options.overlap) {
            m_bases.pop_front();
            m_isBaseComplete = false;
        }
    }

    /** Reads the store, once for this node's decisions and for the peers that ask. */
    void listStore()
    {
        if (m_isListing) {
            return;
        }
        m_isListing = true;
        const time_point askedAt = m_loop.now();
        m_loop.after(m_options.holdTime, guarded([askedAt, number = ++m_listNumber](snapshot_mirror &self) {
                         if (self.m_isListing && self.m_listNumber == number) {
                             self.handleReadFailure(askedAt);
                             self.releaseReaders(self.m_nextReaders);
                         }
                     }));
        const std::optional<base_state> from = m_options.isPrefix ? base() : std::nullopt;
        const bool hasHistory = from && askedAt - from->askedAt <= m_options.maxBaseAge;
        hasHistory ? readChanges(from->revision, askedAt) : readAll(askedAt);
    }

    void readAll(time_point askedAt)
    {
        ++m_counts.storeReads;
        m_source.list(m_options.prefix, m_options.isPrefix, guarded([askedAt](snapshot_mirror &self, const store_range_answer &answer) {
                          if (answer.error) {
                              self.handleReadEnd(askedAt, false);
                              return;
                          }
                          const bool isTaken = answer.revision >= self.m_snapshot.revision(); // A peer's reply may have overtaken it.
                          const std::vector<store_watch_event> changes = self.m_snapshot.replace(askedAt, answer);
                          self.recordBase(isTaken);
                          self.takeState(askedAt, changes);
                          self.handleReadEnd(askedAt, true);
                      }));
    }

    void readChanges(store_revision since, time_point askedAt)
    {
        ++m_counts.storeReads;
        m_source.changes(m_options.prefix, since, guarded([askedAt](snapshot_mirror &self, const store_change_answer &answer) {
                             if (answer.error && answer.error->kind == error_kind::Stale) {
                                 self.readAll(self.m_loop.now());
                                 return;
                             }
                             if (answer.error) {
                                 self.handleReadEnd(askedAt, false);
                                 return;
                             }
                             const std::vector<store_watch_event> changes = self.m_snapshot.advance(askedAt, answer.revision, answer.events);
                             self.recordBase(false);
                             self.takeState(askedAt, changes);
                             self.handleReadEnd(askedAt, true);
                         }));
    }

    void takeState(time_point askedAt, const std::vector<store_watch_event> &changes)
    {
        setConnected(true);
        m_isOwnState = true;
        m_lapseGrace = m_handlers.lapseGrace ? m_handlers.lapseGrace(askedAt) : duration::zero();
        report(changes);
        answerAskers();
    }

    /** Handles the end of a read of the store. The success of an overdue one still counts. */
    void handleReadEnd(time_point askedAt, bool isSuccess)
    {
        m_isListing = false;
        if (isSuccess) {
            rejectAskers();
            endRead(true);
            releaseReaders(m_newReaders);
        } else {
            handleReadFailure(askedAt);
        }
        startNextRead();
    }

    /** Handles a read of the store, begun at @p askedAt, that has failed or is overdue. No other one begins while it is under way. */
    void handleReadFailure(time_point askedAt)
    {
        recordFailure(askedAt);
        setConnected(false);
        rejectAskers();
        if (!m_isAskingReader) {
            endRead(false);
        }
        releaseReaders(m_newReaders);
    }

    void recordFailure(time_point askedAt)
    {
        m_failedAt = std::max(m_failedAt.value_or(askedAt), askedAt);
    }

    void endRead(bool isSuccess)
    {
        m_isReading = false;
        if (isSuccess && age(m_loop.now()) <= m_options.allowance) {
            m_failedAt.reset(); // A state that arrives too late is no sign of a store that is well.
        } else if (!m_snapshot.isPresent()) {
            m_loop.after(m_options.retryDelay, guarded([](snapshot_mirror &self) {
                             self.refresh();
                         }));
        }
        const time_point now = m_loop.now();
        if (age(now) <= m_options.allowance || hasFailedRecently(now)) {
            releaseWaiting();
        } else if (!m_waiting.empty()) {
            refresh(); // The read had begun long before these decisions, so its end says nothing of the store as it is now.
        }
    }

    void releaseWaiting()
    {
        ++m_batch;
        for (const auto &whenReady : std::exchange(m_waiting, {})) {
            whenReady();
        }
    }

    void answerAskers()
    {
        if (m_handlers.isLapseKnown && !m_handlers.isLapseKnown()) {
            return;
        }
        const time_point now = m_loop.now();
        std::vector<asker> answered;
        std::erase_if(m_askers, [&](asker &each) {
            const bool isFresh = age(now).count() <= each.query.maxAgeUs;
            if (isFresh) {
                answered.push_back(std::move(each));
            }
            return isFresh;
        });
        for (const asker &each : answered) {
            snapshot_reply reply = m_snapshot.replySince(now, each.query.since);
            reply.lapseGraceUs = m_lapseGrace.count();
            each.onReply(reply);
        }
    }

    void rejectAskers()
    {
        for (const asker &waiting : std::exchange(m_askers, {})) {
            waiting.onReply(std::nullopt);
        }
    }

    void report(std::span<const store_watch_event> changes)
    {
        const bool mayHaveLapsed = m_lapseGrace > duration::zero();
        for (const store_watch_event &event : changes) {
            m_handlers.onEvent(event, mayHaveLapsed);
        }
        if (m_handlers.onCaughtUp) {
            m_handlers.onCaughtUp(mayHaveLapsed);
        }
    }

    void setConnected(bool isConnected)
    {
        if (std::exchange(m_isConnected, isConnected) != isConnected && m_handlers.onConnectionChange) {
            m_handlers.onConnectionChange(isConnected);
        }
    }

    Source &m_source;
    Loop &m_loop;
    snapshot_mirror_options m_options;
    snapshot_mirror_handlers m_handlers;
    dated_snapshot m_snapshot;
    std::vector<std::function<void()>> m_waiting; ///< Decisions that wait for the read under way.
    std::vector<std::function<void()>> m_newReaders; ///< Those that wait for the read of the store under way.
    std::vector<std::function<void()>> m_nextReaders; ///< Those that wait for a read after it.
    bool m_isNextReadDue = false; ///< The next read is to begin after a failure.
    std::vector<asker> m_askers; ///< Peers that wait for the read of the store.
    std::optional<time_point> m_failedAt; ///< When the last read that failed began; empty after a success.
    duration m_lapseGrace{}; ///< Of the state at hand, from the moment at which the store was asked for it.
    std::deque<base_state> m_bases; ///< States from the one to ask from to the last one, oldest first.
    bool m_isBaseComplete = false; ///< Whether the first of them was read as a whole from the store.
    std::uint64_t m_listNumber = 0; ///< Counts the reads of the store.
    std::uint64_t m_batch = 0; ///< Counts the times at which waiting decisions were released.
    bool m_isReading = false; ///< A read for this node's decisions is under way, from a peer or the store.
    bool m_isAskingReader = false; ///< The reader of the zone has been asked, has not replied, and is not passed over yet.
    bool m_isListing = false; ///< A read of the store is under way.
    bool m_isConnected = false;
    bool m_isOwnState = false; ///< The state at hand was read from the store, not from a peer.
    bool m_isStopped = false;
    snapshot_mirror_counts m_counts;
};

} // namespace reedtrail
