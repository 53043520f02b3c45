// Runs the load, waits until it has settled, reads the records, prints the verdict.

#include "standins/load/load_driver.h"
#include "standins/load/load_report.h"

#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdio>

namespace reedtrail {
namespace {

constexpr duration progressInterval = std::chrono::seconds(5);

/** One run of the tool. */
class load_run
{
public:
    explicit load_run(const load_options &options)
        : m_options(options)
        , m_client(m_io, {})
        , m_driver(m_io, options, m_ledger)
        , m_progress(m_io)
        , m_settle(m_io)
    {
    }

    int run()
    {
        m_driver.start([this] {
            settle();
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
        m_progress.expires_after(progressInterval);
        m_progress.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                std::fprintf(stderr,
                             "reedtrail-load: %llu begun, %llu under way\n",
                             static_cast<unsigned long long>(m_driver.begun()),
                             static_cast<unsigned long long>(m_driver.underWay()));
                showProgress();
            }
        });
    }

    void settle()
    {
        m_settle.expires_after(m_options.settle);
        m_settle.async_wait([this](const boost::system::error_code &) {
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
    boost::asio::steady_timer m_progress;
    boost::asio::steady_timer m_settle;
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
