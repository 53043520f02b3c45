// Each exchange is wrapped before the stand-in handles it, so a stand-in's own code deals only with the faults of its content (reports, weight switches). The
// wrapper compares the number of Silent faults with the number at its start, so no list of open exchanges is needed.

#include "standins/fault_board.h"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>

namespace reedtrail {
namespace {

constexpr int crashExitCode = 137; // The exit status that a shell reports for SIGKILL (128 + 9).

struct fault_name
{
    std::string_view name;
    stand_in_fault kind;
};

constexpr std::array<fault_name, 22> faultNames{ {
    { "none", stand_in_fault::None },
    { "crash", stand_in_fault::Crash },
    { "hang", stand_in_fault::Hang },
    { "slow", stand_in_fault::Slow },
    { "silent", stand_in_fault::Silent },
    { "down", stand_in_fault::Down },
    { "lost-answer", stand_in_fault::LostAnswer },
    { "refuse-not-started", stand_in_fault::RefuseNotStarted },
    { "watch-dropped", stand_in_fault::WatchDropped },
    { "report-lag", stand_in_fault::ReportLag },
    { "report-gap", stand_in_fault::ReportGap },
    { "swap-partway", stand_in_fault::SwapPartway },
    { "leaving", stand_in_fault::Leaving },
    { "crash-keep-disk", stand_in_fault::Crash },
    { "crash-lose-disk", stand_in_fault::Crash },
    { "pause", stand_in_fault::Hang },
    { "store-down", stand_in_fault::Down },
    { "store-slow", stand_in_fault::Slow },
    { "store-answer-lost", stand_in_fault::LostAnswer },
    { "message-delayed", stand_in_fault::Slow },
    { "connection-silent", stand_in_fault::Silent },
    { "swap-failed-partway", stand_in_fault::SwapPartway },
} };

/** Forwards to the real exchange unless a fault suppresses the response or aborts the exchange. */
class faulty_exchange : public http_exchange
{
public:
    faulty_exchange(std::shared_ptr<http_exchange> inner, const fault_board &board, bool losesAnswer)
        : m_inner(std::move(inner))
        , m_board(board)
        , m_silentCount(board.silentCount())
        , m_losesAnswer(losesAnswer)
    {
    }
    ~faulty_exchange() override
    {
        if (isSilenced()) {
            keepOpenUntilCallerLeaves();
        }
    }
    const http_request &request() const override
    {
        return m_inner->request();
    }
    void respond(http_response response) override
    {
        if (isSilenced()) {
            return;
        }
        if (m_losesAnswer) {
            m_inner->abort();
            return;
        }
        m_inner->respond(std::move(response));
    }
    void startStream(http_response head) override
    {
        if (!isSilenced()) {
            m_inner->startStream(std::move(head));
        }
    }
    void write(std::string data) override
    {
        if (!isSilenced()) {
            m_inner->write(std::move(data));
        }
    }
    void finishStream() override
    {
        if (isSilenced()) {
            return;
        }
        if (m_losesAnswer) {
            m_inner->abort();
            return;
        }
        m_inner->finishStream();
    }
    void abort() override
    {
        m_inner->abort();
    }
    void onGone(std::function<void()> action) override
    {
        m_inner->onGone(std::move(action));
    }
    bool isGone() const override
    {
        return m_inner->isGone();
    }

private:
    bool isSilenced() const
    {
        return m_silentCount != m_board.silentCount();
    }

    /** Keeps the real exchange open without a response until its caller disconnects. */
    void keepOpenUntilCallerLeaves()
    {
        if (m_inner->isGone()) {
            return;
        }
        http_exchange &inner = *m_inner;
        inner.onGone([kept = std::move(m_inner)]() mutable {
            kept.reset();
        });
    }

    std::shared_ptr<http_exchange> m_inner;
    const fault_board &m_board;
    std::uint64_t m_silentCount;
    bool m_losesAnswer;
};

std::string allowedFaultNames()
{
    std::string text;
    for (const fault_name &each : faultNames) {
        text += (text.empty() ? "" : ", ") + std::string(each.name);
    }
    return text;
}

} // namespace

time_point steadyNow()
{
    return time_point(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

result<fault_order> parseFaultOrder(std::string_view body, time_point now)
{
    try {
        const nlohmann::json object = nlohmann::json::parse(body);
        const std::string kindName = object.at("kind");
        const auto found = std::ranges::find(faultNames, kindName, &fault_name::name);
        if (found == faultNames.end()) {
            return fail(error_kind::BadRequest, "kind must be one of " + allowedFaultNames());
        }
        fault_order order;
        order.kind = found->kind;
        if (object.contains("forMs")) {
            order.until = now + std::chrono::milliseconds(object.at("forMs").get<std::int64_t>());
        }
        order.delay = std::chrono::milliseconds(object.value("delayMs", std::int64_t{ 200 }));
        order.chance = object.value("chance", 1.0);
        order.path = object.value("path", "");
        return order;
    } catch (const nlohmann::json::exception &) {
        return fail(error_kind::BadRequest, "a fault order is {\"kind\", \"forMs\", \"delayMs\", \"chance\", \"path\"}");
    }
}

fault_board::fault_board(boost::asio::io_context &io, std::uint64_t seed)
    : m_io(io)
    , m_random(seed)
{
}

void fault_board::apply(const fault_order &order)
{
    switch (order.kind) {
    case stand_in_fault::None:
        m_orders.clear();
        return;
    case stand_in_fault::Crash:
        std::_Exit(crashExitCode);
    case stand_in_fault::Silent:
        ++m_silentCount;
        return;
    default:
        m_orders.push_back(order);
    }
}

const fault_order *fault_board::find(stand_in_fault kind, std::string_view path)
{
    const time_point now = steadyNow();
    std::erase_if(m_orders, [now](const fault_order &order) {
        return order.until <= now;
    });
    const auto found = std::ranges::find_if(m_orders, [&](const fault_order &order) {
        return order.kind == kind && path.starts_with(order.path);
    });
    return found == m_orders.end() ? nullptr : &*found;
}

bool fault_board::shouldInject(stand_in_fault kind, std::string_view path)
{
    const fault_order *order = find(kind, path);
    return order != nullptr && m_random.chance(order->chance);
}

duration fault_board::delayOf(stand_in_fault kind, std::string_view path)
{
    const fault_order *order = find(kind, path);
    return order == nullptr ? duration{} : order->delay;
}

void fault_board::dispatchAfter(duration delay, std::shared_ptr<http_exchange> exchange, const http_server::handler &next)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
    timer->async_wait([timer, exchange = std::move(exchange), next](const boost::system::error_code &error) {
        if (!error && !exchange->isGone()) {
            next(exchange);
        }
    });
}

void fault_board::dispatch(std::shared_ptr<http_exchange> exchange, const http_server::handler &next)
{
    const std::string path(exchange->request().path());
    if (shouldInject(stand_in_fault::Down, path)) {
        exchange->abort();
        return;
    }
    if (shouldInject(stand_in_fault::RefuseNotStarted, path)) {
        http_response refusal = jsonResponse(503, R"({"error":"not started"})");
        refusal.fields.set("Reedtrail-Not-Started", "1");
        exchange->respond(std::move(refusal));
        return;
    }
    const bool losesAnswer = shouldInject(stand_in_fault::LostAnswer, path);
    auto wrapped = std::make_shared<faulty_exchange>(std::move(exchange), *this, losesAnswer);
    const fault_order *hang = find(stand_in_fault::Hang, path);
    if (hang != nullptr) {
        constexpr duration longestHang = std::chrono::hours(1);
        dispatchAfter(hang->until == timeNever ? longestHang : hang->until - steadyNow(), std::move(wrapped), next);
        return;
    }
    if (shouldInject(stand_in_fault::Slow, path)) {
        dispatchAfter(delayOf(stand_in_fault::Slow, path), std::move(wrapped), next);
        return;
    }
    next(std::move(wrapped));
}

} // namespace reedtrail
