/**
 * @file
 * Keeps up with all keys of a prefix: a complete read, then a watch from its revision; again from the start whenever the watch ends. A store that drops its
 * history cuts the watches that have missed something, and a new one from the same revision may hear of nothing for a long time.
 *
 *     prefix_mirror mirror(store, loop, "settings/", {}, { .onListing = ..., .onEvent = ..., .onState = ... });
 *     mirror.start();
 */
#pragma once

#include "fleet/event_loop.h"
#include "fleet/store_types.h"

#include <functional>
#include <memory>
#include <span>
#include <string>

namespace reedtrail {

/** Times of a mirror. */
struct prefix_mirror_options
{
    bool isPrefix = true;
    bool isShared = true; ///< Whether other nodes mirror the same, so that one may poll for several.
    duration reportInterval{}; ///< Least time between two reports; changes in between come together.
    duration silenceTimeout = std::chrono::seconds(20); ///< A watch without any report for this long has fallen silent: a poll of the store ends after 17 s.
    duration retryDelay = std::chrono::milliseconds(250); ///< After a failed call, doubled with each further one up to retryDelayMost.
    duration maxRetryDelay = std::chrono::milliseconds(1000); ///< The store's return is seen this late at most, and half as late on average.
};

/** What a mirror tells. */
struct prefix_mirror_handlers
{
    std::function<void(std::span<const store_key_value> items)> onListing; ///< Everything there is.
    std::function<void(const store_watch_event &event)> onEvent; ///< One change since.
    std::function<void()> onCaughtUp; ///< After a listing or the events of a report.
    std::function<void(bool isConnected)> onConnectionChange; ///< The store was lost or regained.
};

/** The mirror. */
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

    void start()
    {
        list();
    }

    /** Stops for good; no handler is called afterwards. */
    void stop()
    {
        m_isStopped = true;
        if (m_watch != 0) {
            m_store.cancelWatch(std::exchange(m_watch, 0));
        }
    }

    /** Reads everything again, for a caller that has found out that what it was told is not so. */
    void refresh()
    {
        if (m_watch != 0) {
            m_store.cancelWatch(std::exchange(m_watch, 0));
            list();
        }
    }

    /** Tells whether a complete read has succeeded yet. */
    bool hasListed() const
    {
        return m_hasListed;
    }
    /** Tells whether the store answered the last call. */
    bool isConnected() const
    {
        return m_isConnected;
    }
    /** Returns when the store was last lost or regained. */
    time_point connectionChangedAt() const
    {
        return m_connectionChangedAt;
    }

private:
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

    /** Opens a watch again that has shown no sign of life for too long: its connection has fallen silent. */
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
    store_watch_id m_watch = 0;
    store_revision m_revision = 0;
    time_point m_connectionChangedAt;
    time_point m_lastReportAt; ///< Of the watch.
    bool m_hasListed = false;
    bool m_isConnected = false;
    bool m_isStopped = false;
};

} // namespace reedtrail
