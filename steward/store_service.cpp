// The result of a failed write depends on whether the HTTP client handed any byte of it to the connection. A write of which nothing was handed over ends with
// StoreUnavailable; one that was handed over and got no valid answer ends with StoreUnknown, because it may have been applied. After a failure the next call
// uses the next store address of the node file. The service retries nothing.

#include "steward/store_service.h"

#include "fleet/store_json.h"
#include "kernel/log.h"

#include <boost/asio/post.hpp>

namespace reedtrail {
namespace {

bool isWrite(store_call_kind kind)
{
    return kind != store_call_kind::Read && kind != store_call_kind::Watch;
}

store_priority priorityOf(store_call_kind kind)
{
    if (kind == store_call_kind::Read) {
        return store_priority::Background;
    }
    return kind == store_call_kind::Write || kind == store_call_kind::Watch ? store_priority::Commit : store_priority::Lease;
}

/** Returns the error of a call of @p kind, or none if the response has a body to decode. */
std::optional<failure> failureOfCall(store_call_kind kind, const http_call_end &end, const http_response &response)
{
    if (end.error != error_kind::None) {
        return failure{ isWrite(kind) && end.isHandedOver ? error_kind::StoreUnknown : error_kind::StoreUnavailable, end.detail };
    }
    if (response.status == 404 && response.body.find("lease not found") != std::string::npos) {
        return failure{ error_kind::NotFound, "lease has lapsed" };
    }
    if (response.status >= 500) {
        return failure{ isWrite(kind) ? error_kind::StoreUnknown : error_kind::StoreUnavailable, "store answered " + std::to_string(response.status) };
    }
    if (response.status != 200) {
        return failure{ error_kind::StoreUnavailable, "store refused with " + std::to_string(response.status) + ": " + response.body };
    }
    return std::nullopt;
}

} // namespace

struct store_service::implementation : std::enable_shared_from_this<store_service::implementation>
{
    struct open_watch
    {
        store_watch_handlers handlers;
        std::shared_ptr<http_call> call;
        std::string partialLine;
    };

    boost::asio::io_context &io;
    store_service_options options;
    call_budget budget;
    std::vector<endpoint> stores;
    http_client client;
    std::size_t currentStore = 0;
    bool isReachable = false;
    bool isStopped = false;
    std::array<std::uint64_t, storeCallKindCount> counts{};
    std::map<store_watch_id, open_watch> watches;
    store_watch_id nextWatchId = 1;
    std::string lastError;

    implementation(process_context &context, store_service_options theOptions)
        : io(context.control)
        , options(theOptions)
        , budget(theOptions.budget)
        , stores(context.settings.stores)
        , client(context.control, {})
    {
    }

    http_request requestFor(const store_call &call) const
    {
        return { "POST", std::string(storePath(call)), { { "Content-Type", "application/json" } }, encodeStoreCall(call) };
    }

    http_call_options callOptions() const
    {
        http_call_options limits;
        limits.connectTimeout = options.connectTimeout;
        limits.silenceTimeout = options.callTimeout;
        limits.deadline = options.callTimeout;
        return limits;
    }

    void recordCallEnd(const std::optional<failure> &error)
    {
        const bool isAnswered = !error || error->kind == error_kind::NotFound;
        if (isAnswered != isReachable) {
            logLine(isAnswered ? log_level::Info : log_level::Warning,
                    isAnswered ? "store-reachable" : "store-unreachable",
                    { { "store", stores.at(currentStore).text() }, { "reason", error ? error->detail : "" } });
        }
        isReachable = isAnswered;
        if (!isAnswered) {
            lastError = error->detail;
            currentStore = (currentStore + 1) % stores.size();
        }
    }

    template<class Answer, class Decode>
    void call(store_call_kind kind, const store_call &storeCall, Decode decode, std::function<void(const Answer &)> onAnswer)
    {
        const auto self = weak_from_this();
        if (!budget.take(monotonicNow(), priorityOf(kind))) {
            boost::asio::post(io, [self, onAnswer] {
                const auto alive = self.lock();
                if (alive && !alive->isStopped) {
                    Answer refused;
                    refused.error = failure{ error_kind::StoreUnavailable, "the call budget of this process is spent" };
                    onAnswer(refused);
                }
            });
            return;
        }
        ++counts.at(static_cast<std::size_t>(kind));
        client.call(stores.at(currentStore),
                    requestFor(storeCall),
                    callOptions(),
                    [self, kind, decode, onAnswer](const http_call_end &end, const http_response &response) {
                        const auto alive = self.lock();
                        if (!alive || alive->isStopped) {
                            return;
                        }
                        Answer answer;
                        std::optional<failure> error = failureOfCall(kind, end, response);
                        if (!error) {
                            error = failureOf([&]() -> result<void> {
                                BOOST_LEAF_ASSIGN(answer, decode(response.body));
                                return {};
                            });
                        }
                        if (error) {
                            answer.error = error;
                        }
                        alive->recordCallEnd(error);
                        onAnswer(answer);
                    });
    }

    template<class Call>
    void callLease(store_call_kind kind, const Call &storeCall, std::function<void(const store_lease_answer &)> onAnswer)
    {
        const store_call anyCall = storeCall;
        call<store_lease_answer>(
            kind,
            anyCall,
            [anyCall](std::string_view text) {
                return decodeLeaseAnswer(text, anyCall);
            },
            std::move(onAnswer));
    }

    void readWatch(store_watch_id id, std::string_view part)
    {
        const auto found = watches.find(id);
        if (found == watches.end()) {
            return;
        }
        found->second.partialLine += part;
        for (std::size_t end = 0; (end = watches.contains(id) ? watches.at(id).partialLine.find('\n') : std::string::npos) != std::string::npos;) {
            std::string &buffer = watches.at(id).partialLine;
            const std::string line = buffer.substr(0, end);
            buffer.erase(0, end + 1);
            readWatchLine(id, line);
        }
    }

    void readWatchLine(store_watch_id id, const std::string &text)
    {
        if (text.empty()) {
            return;
        }
        store_watch_line line;
        const std::optional<failure> error = failureOf([&]() -> result<void> {
            BOOST_LEAF_ASSIGN(line, decodeWatchLine(text));
            return {};
        });
        if (error) {
            endWatch(id, { *error, 0 });
        } else if (line.end) {
            endWatch(id, *line.end);
        } else {
            const auto onReport = watches.at(id).handlers.onReport;
            onReport(line.report);
        }
    }

    void endWatch(store_watch_id id, const store_watch_end &end)
    {
        const auto found = watches.find(id);
        if (found == watches.end() || isStopped) {
            return;
        }
        const auto onEnd = found->second.handlers.onEnd;
        const auto call = found->second.call;
        watches.erase(found);
        call->cancel();
        onEnd(end);
    }
};

store_service::store_service(process_context &context, store_service_options options)
    : m_implementation(std::make_shared<implementation>(context, options))
{
}

store_service::~store_service()
{
    store_service::stop();
}

result<void> store_service::start(kernel & /*process*/)
{
    if (m_implementation->stores.empty()) {
        return fail(error_kind::BadSettings, "stores: must name at least one address of the platform's store");
    }
    return {};
}

void store_service::stop()
{
    m_implementation->isStopped = true;
    m_implementation->watches.clear();
}

void store_service::range(const store_range &call, std::function<void(const store_range_answer &)> onAnswer)
{
    m_implementation->call<store_range_answer>(store_call_kind::Read, call, decodeRangeAnswer, std::move(onAnswer));
}

void store_service::txn(const store_txn &call, std::function<void(const store_txn_answer &)> onAnswer)
{
    m_implementation->call<store_txn_answer>(store_call_kind::Write, call, decodeTxnAnswer, std::move(onAnswer));
}

void store_service::grant(const store_lease_grant &call, std::function<void(const store_lease_answer &)> onAnswer)
{
    m_implementation->callLease(store_call_kind::LeaseGrant, call, std::move(onAnswer));
}

void store_service::keepAlive(const store_lease_keep_alive &call, std::function<void(const store_lease_answer &)> onAnswer)
{
    m_implementation->callLease(store_call_kind::LeaseKeepAlive, call, std::move(onAnswer));
}

void store_service::revoke(const store_lease_revoke &call, std::function<void(const store_lease_answer &)> onAnswer)
{
    m_implementation->callLease(store_call_kind::LeaseRevoke, call, std::move(onAnswer));
}

store_watch_id store_service::watch(const store_watch_create &call, store_watch_handlers handlers)
{
    implementation &self = *m_implementation;
    const store_watch_id id = self.nextWatchId++;
    ++self.counts.at(static_cast<std::size_t>(store_call_kind::Watch));
    http_call_options limits = self.callOptions();
    limits.silenceTimeout = self.options.watchSilenceTimeout;
    limits.deadline = std::chrono::hours(24 * 365);
    const auto weak = self.weak_from_this();
    http_call_handlers watchHandlers;
    watchHandlers.onBody = [weak, id](std::string_view part) {
        if (const auto alive = weak.lock()) {
            alive->readWatch(id, part);
        }
    };
    watchHandlers.onEnd = [weak, id](const http_call_end &end) {
        if (const auto alive = weak.lock()) {
            alive->endWatch(id, { { error_kind::StoreUnavailable, end.detail }, 0 });
        }
    };
    self.watches[id] = { std::move(handlers),
                         self.client.start(self.stores.at(self.currentStore), self.requestFor(call), limits, std::move(watchHandlers)),
                         {} };
    return id;
}

void store_service::cancelWatch(store_watch_id watch)
{
    const auto found = m_implementation->watches.find(watch);
    if (found != m_implementation->watches.end()) {
        const auto call = found->second.call;
        m_implementation->watches.erase(found);
        call->cancel();
    }
}

bool store_service::isReachable() const
{
    return m_implementation->isReachable;
}

const std::array<std::uint64_t, storeCallKindCount> &store_service::counts() const
{
    return m_implementation->counts;
}

nlohmann::json store_service::dump() const
{
    const implementation &self = *m_implementation;
    return { { "store", self.stores.at(self.currentStore).text() },
             { "isReachable", self.isReachable },
             { "lastError", self.lastError },
             { "watches", self.watches.size() },
             { "refusedByBudget",
               { { "lease", self.budget.refused(store_priority::Lease) },
                 { "promise", self.budget.refused(store_priority::Commit) },
                 { "background", self.budget.refused(store_priority::Background) } } },
             { "calls", self.counts } };
}

} // namespace reedtrail
