/**
 * @file
 * Runs the settings state machine on the control thread: performs its store calls, its watch and its timer, and saves the settings in the data folder.
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

/** Callbacks of the driver into the fleet service. */
struct settings_driver_handlers
{
    std::function<void()> onAdopted; ///< Runs when a newer revision has come into force.
    std::function<void(const std::string &address)> askPeer; ///< Requests the settings of the peer at this address; the result goes to onRecord().
};

/** Performs the actions of a settings_core and feeds their results back to it. */
class settings_driver
{
public:
    /** Receives the result of confirm(): an error, or the revision under which the change was committed. */
    using confirm_handler = std::function<void(std::optional<failure> error, std::uint64_t revision)>;

    settings_driver(boost::asio::io_context &io, store_service &store, std::string dataFolder, std::uint64_t seed, settings_driver_handlers handlers);

    /** Loads the settings saved in the data folder, if there are any, and starts the timer. */
    void start();
    void stop();
    /** Starts or stops watching the settings in the store; only the watchers of a zone do so. */
    void setWatcher(bool isWatcher);
    /** Handles the announcement that the peer at @p address has @p revision in force. */
    void onPeerRevision(const std::string &address, std::uint64_t revision);
    /** Handles settings received from a peer or read from the data folder; they come into force only if they are newer. */
    void onRecord(const settings_record &record);
    /** Commits a change to the store and reports the result to @p onEnd. */
    void confirm(settings_change change, confirm_handler onEnd);

    /** Returns the parsed document in force, or null if there is none. */
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
    void execute(const settings_adopt &action);
    void execute(const settings_ask &action);
    void execute(const settings_read &action);
    void execute(const settings_open_watch &action);
    void execute(const settings_close_watch &action);
    void execute(const settings_commit &action);
    void execute(const settings_confirm_end &action);
    void schedule();
    void saveCopy(const settings_record &record) const;
    std::string copyPath() const;

    store_service &m_store;
    std::string m_dataFolder;
    settings_driver_handlers m_handlers;
    settings_core m_core;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<const fleet_document> m_document;
    std::map<std::uint64_t, confirm_handler> m_pendingConfirms;
    std::uint64_t m_nextConfirmNumber = 1;
    store_watch_id m_watch = 0;
    bool m_isWatcher = false;
    bool m_isStopped = false;
};

} // namespace reedtrail
