/**
 * @file
 * Follows all keys of a prefix: reads them, then watches for changes from the revision of that read. Whenever the watch ends, it starts over with a read. A
 * store that compacts its history ends the watches that have missed events, and a new watch from the same revision might report nothing for a long time.
 *
 *     auto mirror = std::make_shared<prefix_mirror<Store, Loop>>(store, loop, "settings/", prefix_mirror_options{}, handlers);
 *     mirror->start();
 */
#pragma once

#include "fleet/event_loop.h"
#include "fleet/store_types.h"

#include <functional>
#include <memory>
#include <span>
#include <string>

namespace reedtrail {

/** What a prefix_mirror follows, and its times. */
struct prefix_mirror_options
{
    bool isPrefix = true; ///< Whether the mirror follows all keys that begin with the prefix, or the one key that equals it.
    bool isShared = true; ///< Whether other nodes follow the same prefix, so that one node may poll the store for several.
    duration reportInterval{}; ///< Minimum time between two reports; changes within it are reported together.
    duration silenceTimeout = std::chrono::seconds(20); ///< A watch without a report for this long is opened again; a poll of the store ends after 17 s.
    duration retryDelay = std::chrono::milliseconds(250); ///< Wait after a failed read, doubled with each further failure up to maxRetryDelay.
    duration maxRetryDelay = std::chrono::milliseconds(1000); ///< Upper bound of the delay until the store's return is noticed; the average is half of it.
};

/** Callbacks of a prefix_mirror. */
struct prefix_mirror_handlers
{
    /** Called with all keys after each complete read; they replace everything reported before. */
    std::function<void(std::span<const store_key_value> items)> onListing;
    std::function<void(const store_watch_event &event)> onEvent; ///< Called for each later change.
    std::function<void()> onCaughtUp; ///< Called after onListing, and after all events of one report; may be empty.
    std::function<void(bool isConnected)> onConnectionChange; ///< Called when the store stops or starts to answer; may be empty.
};

/** Follows the keys of one prefix. */
template<store_client Store, event_loop Loop>
class prefix_mirror : public std::enable_shared_from_this<prefix_mirror<Store, Loop>>
{
public:
    prefix_mirror(Store &store, Loop &loop, std::string prefix, prefix_mirror_options options, prefix_mirror_handlers handlers)
        : m_store(store)
        , m_loop(loop)
        , m_prefix(std::move(prefix))
        , m_options(options)
        , m_handlers(std::move(handlers))
        , m_retryDelay(options.retryDelay)
    {
    }

    /** Begins with a complete read. */
    void start()
    {
        list();
    }

    /** Stops permanently; no handler is called afterwards. */
    void stop()
    {
        m_isStopped = true;
        if (m_watch != 0) {
            m_store.cancelWatch(std::exchange(m_watch, 0));
        }
    }

    /** Reads all keys again; for a caller that has found the reported state to be outdated. Does nothing while no watch is open. */
    void refresh()
    {
        if (m_watch != 0) {
            m_store.cancelWatch(std::exchange(m_watch, 0));
            list();
        }
    }

    /** Tells whether a complete read has succeeded. */
    bool hasListed() const
    {
        return m_hasListed;
    }
    /** Tells whether the store answered the last call. */
    bool isConnected() const
    {
        return m_isConnected;
    }
    /** Returns when isConnected() changed last. */
    time_point connectionChangedAt() const
    {
        return m_connectionChangedAt;
    }

private:
    /** Wraps @p method so that it runs only while this mirror exists and is not stopped. */
    template<class... Arguments>
    auto guarded(void (prefix_mirror::*method)(Arguments...))
    {
        return [weak = this->weak_from_this(), method](Arguments... arguments) {
            const auto self = weak.lock();
            if (self && !self->m_isStopped) {
                ((*self).*method)(arguments...);
            }
        };
    }

    void list()
    {
        m_store.range({ m_prefix, m_options.isPrefix, 0 }, guarded(&prefix_mirror::handleListing));
    }

    void handleListing(const store_range_answer &answer)
    {
        if (answer.error) {
            setConnected(false);
            m_loop.after(m_retryDelay, guarded(&prefix_mirror::list));
            m_retryDelay = std::min(m_retryDelay * 2, m_options.maxRetryDelay);
            return;
        }
        setConnected(true);
        m_retryDelay = m_options.retryDelay;
        m_hasListed = true;
        m_revision = answer.revision;
        m_handlers.onListing(answer.items);
        notifyCaughtUp();
        watch();
    }

    void watch()
    {
        store_watch_create call{ m_prefix, m_options.isPrefix, m_revision + 1 };
        call.reportInterval = m_options.reportInterval;
        call.isShared = m_options.isShared;
        m_watch = m_store.watch(call, { guarded(&prefix_mirror::handleReport), guarded(&prefix_mirror::handleWatchEnd) });
        m_lastReportAt = m_loop.now();
        scheduleSilenceCheck(m_watch);
    }

    /** Starts over when @p watch has reported nothing within the silence timeout: its connection may be half open. */
    void scheduleSilenceCheck(store_watch_id watch)
    {
        m_loop.after(m_options.silenceTimeout / 2, [weak = this->weak_from_this(), watch] {
            const auto self = weak.lock();
            if (!self || self->m_isStopped || self->m_watch != watch) {
                return;
            }
            if (self->m_loop.now() - self->m_lastReportAt >= self->m_options.silenceTimeout) {
                self->refresh();
            } else {
                self->scheduleSilenceCheck(watch);
            }
        });
    }

    void handleReport(const store_watch_report &report)
    {
        m_lastReportAt = m_loop.now();
        setConnected(true);
        m_revision = std::max(m_revision, report.revision);
        for (const store_watch_event &event : report.events) {
            m_handlers.onEvent(event);
        }
        if (!report.events.empty()) {
            notifyCaughtUp();
        }
    }

    void handleWatchEnd(const store_watch_end &end)
    {
        m_watch = 0;
        if (end.error.kind == error_kind::Stale) {
            list();
            return;
        }
        setConnected(false);
        m_loop.after(m_options.retryDelay, guarded(&prefix_mirror::list));
    }

    void notifyCaughtUp()
    {
        if (m_handlers.onCaughtUp) {
            m_handlers.onCaughtUp();
        }
    }

    void setConnected(bool isConnected)
    {
        if (isConnected == m_isConnected) {
            return;
        }
        m_isConnected = isConnected;
        m_connectionChangedAt = m_loop.now();
        if (m_handlers.onConnectionChange) {
            m_handlers.onConnectionChange(isConnected);
        }
    }

    Store &m_store;
    Loop &m_loop;
    std::string m_prefix;
    prefix_mirror_options m_options;
    prefix_mirror_handlers m_handlers;
    duration m_retryDelay;
    store_watch_id m_watch = 0; ///< The open watch; 0 while there is none.
    store_revision m_revision = 0; ///< Up to which all changes have been reported.
    time_point m_connectionChangedAt;
    time_point m_lastReportAt; ///< When the open watch last reported, or was opened.
    bool m_hasListed = false;
    bool m_isConnected = false;
    bool m_isStopped = false;
};

} // namespace reedtrail
