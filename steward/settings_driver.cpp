// The copy in the data folder only shortens the time without settings after a restart. It is replaced atomically by a rename, and the settings core adopts it
// only if nothing newer is in force.

#include "steward/settings_driver.h"

#include "base/cbor_codec.h"
#include "base/settings_reader.h"
#include "kernel/log.h"
#include "node/process_host.h"

#include <cstdio>
#include <filesystem>
#include <fstream>

namespace reedtrail {

settings_driver::settings_driver(
    boost::asio::io_context &io, store_service &store, std::string dataFolder, std::uint64_t seed, settings_driver_handlers handlers)
    : m_store(store)
    , m_dataFolder(std::move(dataFolder))
    , m_handlers(std::move(handlers))
    , m_core({}, seed)
    , m_timer(io)
{
}

std::string settings_driver::copyPath() const
{
    return m_dataFolder + "/settings.json";
}

void settings_driver::start()
{
    std::error_code ignored;
    if (!m_dataFolder.empty() && std::filesystem::exists(copyPath(), ignored)) {
        const std::optional<failure> error = failureOf([&]() -> result<void> {
            BOOST_LEAF_AUTO(copy, readJsonFile(copyPath()));
            BOOST_LEAF_AUTO(record, decodeBody<settings_record>({ std::string(settings_record::messageName), 0, false, copy }));
            onRecord(record);
            return {};
        });
        if (error) {
            logLine(log_level::Warning, "settings-copy-unreadable", { { "reason", error->detail } });
        }
    }
    schedule();
}

void settings_driver::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void settings_driver::setWatcher(bool isWatcher)
{
    m_isWatcher = isWatcher;
    perform(m_core.setWatcher(monotonicNow(), isWatcher));
}

void settings_driver::onPeerRevision(const std::string &address, std::uint64_t revision)
{
    perform(m_core.onPeerRevision(monotonicNow(), address, revision));
}

void settings_driver::onRecord(const settings_record &record)
{
    perform(m_core.onRecord(monotonicNow(), record));
}

void settings_driver::confirm(settings_change change, confirm_handler onEnd)
{
    const std::uint64_t number = m_nextConfirmNumber++;
    m_pendingConfirms[number] = std::move(onEnd);
    perform(m_core.confirm(monotonicNow(), number, std::move(change)));
}

void settings_driver::perform(const settings_step &step)
{
    for (const settings_action &action : step) {
        std::visit(
            [this](const auto &each) {
                execute(each);
            },
            action);
    }
    schedule();
}

void settings_driver::schedule()
{
    const time_point deadline = m_core.deadline();
    if (m_isStopped || deadline == timeNever) {
        return;
    }
    m_timer.expires_after(std::max(duration{}, deadline - monotonicNow()));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error && !m_isStopped) {
            perform(m_core.onTimer(monotonicNow()));
        }
    });
}

void settings_driver::execute(const settings_adopt &action)
{
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(parsed, parseFleetDocument(action.record->document, "settings revision " + std::to_string(action.record->revision)));
        m_document = std::make_shared<const fleet_document>(std::move(parsed));
        return {};
    });
    if (error) {
        logLine(log_level::Error, "settings-not-understood", { { "revision", std::to_string(action.record->revision) }, { "reason", error->detail } });
    } else {
        logLine(log_level::Info, "settings-in-force", { { "revision", std::to_string(action.record->revision) }, { "by", action.record->operatorName } });
    }
    saveCopy(*action.record);
    m_handlers.onAdopted();
}

void settings_driver::saveCopy(const settings_record &record) const
{
    if (m_dataFolder.empty()) {
        return;
    }
    std::error_code ignored;
    std::filesystem::create_directories(m_dataFolder, ignored);
    const std::string temporary = copyPath() + ".new";
    std::ofstream file(temporary, std::ios::trunc);
    file << nlohmann::json(record).dump();
    file.close();
    if (!file || std::rename(temporary.c_str(), copyPath().c_str()) != 0) {
        logLine(log_level::Warning, "settings-copy-not-written", { { "file", copyPath() } });
    }
}

void settings_driver::execute(const settings_ask &action)
{
    m_handlers.askPeer(action.address);
}

void settings_driver::execute(const settings_read &action)
{
    m_store.range({ action.key, false, 0 }, [this, key = action.key](const store_range_answer &answer) {
        perform(m_core.onStoreRange(monotonicNow(), key, answer));
    });
}

void settings_driver::execute(const settings_open_watch & /*action*/)
{
    m_watch = m_store.watch({ settings_keys::revision, false, 0 },
                            { [this](const store_watch_report &report) {
                                 perform(m_core.onWatchReport(monotonicNow(), report));
                             },
                              [this](const store_watch_end &) {
                                  perform(m_core.onWatchEnd(monotonicNow()));
                              } });
}

void settings_driver::execute(const settings_close_watch & /*action*/)
{
    m_store.cancelWatch(m_watch);
}

void settings_driver::execute(const settings_commit &action)
{
    m_store.txn(action.txn, [this, number = action.number](const store_txn_answer &answer) {
        perform(m_core.onTxnAnswer(monotonicNow(), number, answer));
    });
}

void settings_driver::execute(const settings_confirm_end &action)
{
    const auto found = m_pendingConfirms.find(action.number);
    if (found != m_pendingConfirms.end()) {
        const confirm_handler onEnd = std::move(found->second);
        m_pendingConfirms.erase(found);
        onEnd(action.error, action.revision);
    }
}

} // namespace reedtrail
