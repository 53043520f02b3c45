/**
 * @file
 * Client of the platform's store through the etcd v3 JSON gateway over HTTP, used from the control thread.
 *
 *     BOOST_LEAF_AUTO(store, process.find<store_service>("store"));
 *     store->txn(create, [](const store_txn_answer &answer) { ... });
 *
 * The handler of a call runs once, on the control thread, never from inside the call; after stop() it no longer runs. The service retries nothing, because only
 * the caller knows which calls are safe to repeat. All calls except watches share one rate budget, which admits lease calls before transactions and
 * transactions before reads. A call that exceeds the budget is not sent and ends with StoreUnavailable.
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

/** Time limits and rate budget of calls to the store. */
struct store_service_options
{
    duration callTimeout = std::chrono::seconds(2);
    duration connectTimeout = std::chrono::milliseconds(700);
    call_budget_options budget{};
    duration watchSilenceTimeout = std::chrono::minutes(11); ///< A watch that receives no bytes at all for this long is ended.
};

/** Sends calls to the store; satisfies the concept store_client. */
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

    /** Returns true if the last completed call got a valid answer; "lease not found" counts as one. Watches don't count. */
    bool isReachable() const;
    /** Returns the number of calls sent so far, indexed by store_call_kind. */
    const std::array<std::uint64_t, storeCallKindCount> &counts() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

static_assert(store_client<store_service>);

} // namespace reedtrail
