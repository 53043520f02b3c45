/**
 * @file
 * The platform's store over HTTP: the etcd v3 JSON gateway, called from the control thread.
 *
 *     BOOST_LEAF_AUTO(store, process.find<store_service>("store"));
 *     store->txn(create, [](const store_txn_answer &answer) { ... });
 *
 * Handlers run exactly once, on the control thread, never from inside the call. Nothing is repeated here: the caller knows what may be. Calls come out of one
 * budget by priority: calls about leases first, then transactions and watches, then reads. A call beyond it is not made and ends in StoreUnavailable.
 */
#pragma once

#include "fleet/call_budget.h"
#include "fleet/store_types.h"
#include "kernel/service.h"
#include "net/http_client.h"
#include "node/process_host.h"

#include <array>
#include <map>
#include <memory>

namespace reedtrail {

/** Time limits of calls to the store. */
struct store_service_options
{
    duration callTimeout = std::chrono::seconds(2);
    duration connectTimeout = std::chrono::milliseconds(700);
    call_budget_options budget{};
    duration watchSilence = std::chrono::minutes(11); ///< A watch without even a sign of life for longer has ended.
};

/** The service; it satisfies store_client. */
class store_service : public service
{
public:
    store_service(process_context &context, store_service_options options);
    ~store_service() override;

    result<void> start(kernel &process) override;
    void stop() override;
    nlohmann::json dump() const override;

    void range(const store_range &call, std::function<void(const store_range_answer &)> onAnswer);
    void txn(const store_txn &call, std::function<void(const store_txn_answer &)> onAnswer);
    void grant(const store_lease_grant &call, std::function<void(const store_lease_answer &)> onAnswer);
    void keepAlive(const store_lease_keep_alive &call, std::function<void(const store_lease_answer &)> onAnswer);
    void revoke(const store_lease_revoke &call, std::function<void(const store_lease_answer &)> onAnswer);
    store_watch_id watch(const store_watch_create &call, store_watch_handlers handlers);
    void cancelWatch(store_watch_id watch);

    /** Tells whether the last call that ended got an answer. */
    bool isReachable() const;
    /** Returns the calls begun, by kind. */
    const std::array<std::uint64_t, storeCallKindCount> &counts() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

static_assert(store_client<store_service>);

} // namespace reedtrail
