/**
 * @file
 * Runs the settings core on the control thread: its store calls, its watch, its timer and the copy in the data folder.
 */
#pragma once

#include "fleet/fleet_document.h"
#include "fleet/settings_core.h"
#include "steward/store_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace reedtrail {

/** What the driver asks of the fleet service. */
struct settings_driver_handlers
{
    std::function<void()> onAdopted; ///< A newer revision is in force.
    std::function<void(const std::string &address)> ask; ///< Ask this peer for its settings and hand them to onRecord().
};

/** The driver. */
class settings_driver
{
public:
    /** Reports the end of a confirm. */
    using confirm_handler = std::function<void(std::optional<failure> error, std::uint64_t revision)>;

    settings_driver(boost::asio::io_context &io, store_service &store, std::string dataFolder, std::uint64_t seed, settings_driver_handlers handlers);

    /** Reads the copy in the data folder, if there is one. */
    void start();
    void stop();
    /** Takes up or gives up the duty of a watcher. */
    void setWatcher(bool isWatcher);
    /** Takes a revision that a peer has in force. */
    void onPeerRevision(const std::string &address, std::uint64_t revision);
    /** Takes the settings of a peer. */
    void onRecord(const settings_record &record);
    /** Commits a change. */
    void confirm(settings_change change, confirm_handler onEnd);

    /** Returns the typed document in force, or none. */
    const std::shared_ptr<const fleet_document> &document() const
    {
        return m_document;
    }
    const settings_core &core() const
    {
        return m_core;
    }
    bool isWatcher() const
    {
        return m_isWatcher;
    }

private:
    void perform(const settings_step &step);
    void act(const settings_adopt &action);
    void act(const settings_ask &action);
    void act(const settings_read &action);
    void act(const settings_open_watch &action);
    void act(const settings_close_watch &action);
    void act(const settings_commit &action);
    void act(const settings_confirm_end &action);
    void schedule();
    void saveCopy(const settings_record &record) const;
    std::string copyPath() const;

    store_service &m_store;
    std::string m_dataFolder;
    settings_driver_handlers m_handlers;
    settings_core m_core;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<const fleet_document> m_document;
    std::map<std::uint64_t, confirm_handler> m_confirms;
    std::uint64_t m_nextConfirm = 1;
    store_watch_id m_watch = 0;
    bool m_isWatcher = false;
    bool m_isStopped = false;
};

} // namespace reedtrail
