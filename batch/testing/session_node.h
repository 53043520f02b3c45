/**
 * @file
 * A node with a session of one job in virtual time, for tests of several nodes that share a job.
 */
#pragma once

#include "batch/job_session.h"
#include "harness/fake_store.h"
#include "harness/virtual_time.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace reedtrail::testing {

using session_type = job_session<harness::fake_store_client, harness::virtual_time>;
using lease_type = node_lease<harness::fake_store_client, harness::virtual_time>;

/** Returns the result of a completed item. */
inline item_result completed(const std::string &id)
{
    return { id, true, "text of " + id, { 1 }, "score" };
}

/** A node with a session of one job. It appends results of the job while it owns it. */
struct session_node
{
    session_node(harness::virtual_time &world, harness::fake_store &store, const std::string &name, std::size_t itemCount)
        : name(name)
        , world(world)
        , client(store.client(name))
        , itemCount(itemCount)
    {
        start();
    }

    void start()
    {
        ++incarnation;
        lease = std::make_shared<lease_type>(client, world, node_lease_options{});
        job_session_handlers handlers;
        handlers.onOwnershipGained = [] {};
        handlers.onOwnershipLost = [] {};
        handlers.onResults = [] {};
        handlers.onRecorded = [](std::span<const item_result>) {};
        handlers.onEnded = [] {};
        handlers.mayClaim = [] {
            return true;
        };
        handlers.hasReaders = [this] {
            return hasReader;
        };
        session = std::make_shared<session_type>(client, world, lease, "job-1", job_owner_record{ name, std::to_string(incarnation) }, handlers, options);
    }

    /** Appends results of the next @p count unrecorded items if this node owns the job and no append is in progress. */
    void appendNext(std::size_t count)
    {
        if (!session->isOwner() || session->isAppending()) {
            return;
        }
        std::set<std::string> recorded;
        for (const item_result &result : session->view().results()) {
            recorded.insert(result.id);
        }
        std::vector<item_result> results;
        for (std::size_t i = 0; i < itemCount && results.size() < count; ++i) {
            const std::string id = "item-" + std::to_string(i);
            if (!recorded.contains(id)) {
                results.push_back(completed(id));
            }
        }
        if (!results.empty()) {
            session->append(results, "");
        }
    }

    job_session_options options; ///< Of the next start().
    bool hasReader = true;
    std::string name;
    harness::virtual_time &world;
    harness::fake_store_client client;
    std::size_t itemCount;
    int incarnation = 0;
    std::shared_ptr<lease_type> lease;
    std::shared_ptr<session_type> session;
};

} // namespace reedtrail::testing
