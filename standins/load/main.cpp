// Generates the load, waits until the servers have settled, reads their records and prints the report. The exit code tells whether a guarantee was violated.

#include "standins/load/load_driver.h"
#include "standins/load/load_report.h"

#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdio>

namespace reedtrail {
namespace {

constexpr duration progressInterval = std::chrono::seconds(5);

/** One run of the load generator. */
class load_run
{
public:
    explicit load_run(const load_options &options)
        : m_options(options)
        , m_client(m_io, {})
        , m_driver(m_io, options, m_ledger)
        , m_progressTimer(m_io)
        , m_settleTimer(m_io)
    {
    }

    int run()
    {
        m_driver.start([this] {
            readRecordsAfterSettling();
        });
        showProgress();
        m_io.run();
        if (!m_options.asJson) {
            std::fputs(loadTable(m_report).c_str(), stdout);
        }
        std::printf("%s\n", m_report.dump().c_str());
        return m_report.value("isBroken", true) ? 1 : 0;
    }

private:
    void showProgress()
    {
        m_progressTimer.expires_after(progressInterval);
        m_progressTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                std::fprintf(stderr,
                             "reedtrail-load: %llu started, %llu in flight\n",
                             static_cast<unsigned long long>(m_driver.operationsBegun()),
                             static_cast<unsigned long long>(m_driver.operationsInFlight()));
                showProgress();
            }
        });
    }

    void readRecordsAfterSettling()
    {
        m_settleTimer.expires_after(m_options.settleTime);
        m_settleTimer.async_wait([this](const boost::system::error_code &) {
            readRecords(m_client, m_options, m_ledger, [this](const nlohmann::json &trainers) {
                m_report = loadReport(m_options, m_ledger, trainers);
                m_io.stop();
            });
        });
    }

    const load_options &m_options;
    boost::asio::io_context m_io;
    load_ledger m_ledger;
    http_client m_client;
    load_driver m_driver;
    boost::asio::steady_timer m_progressTimer;
    boost::asio::steady_timer m_settleTimer;
    nlohmann::json m_report;
};

} // namespace
} // namespace reedtrail

int main(int argc, char **argv)
{
    using namespace reedtrail;
    const parsed_line parsed = makeLoadCommandLine().parse(argc, argv);
    if (parsed.exitCode) {
        return *parsed.exitCode;
    }
    std::signal(SIGPIPE, SIG_IGN);
    load_options options;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(options, readLoadOptions(parsed));
        return {};
    });
    if (error) {
        std::fprintf(stderr, "reedtrail-load: %s; see --help\n", error->detail.c_str());
        return answerFor(error_kind::BadUsage).exitCode;
    }
    return load_run(options).run();
}
