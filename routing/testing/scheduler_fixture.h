/**
 * @file
 * Test fixture with a scheduler for one pool of a few servers.
 */
#pragma once

#include "routing/request_scheduler.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace reedtrail::testing {

/** Fixture that builds documents and requests, drives the scheduler and keeps the actions of the last call. */
class scheduler_fixture : public ::testing::Test
{
protected:
    /** Returns a document with one pool "p" of servers "s0", "s1", ... and customers "c0", "c1", ... */
    static fleet_document makeDocument(int servers, int slots, int customers)
    {
        fleet_document document;
        pool_settings pool;
        pool.id = pool_id("p");
        for (int i = 0; i < servers; ++i) {
            server_settings server;
            server.id = server_id("s" + std::to_string(i));
            server.zone = zone_id("a");
            server.slots = slots;
            pool.servers.push_back(server);
        }
        document.pools.push_back(pool);
        for (int i = 0; i < customers; ++i) {
            customer_settings customer;
            customer.id = customer_id("c" + std::to_string(i));
            document.customers.push_back(customer);
        }
        return document;
    }
    void applyDocument(int servers, int slots, int customers, std::vector<server_id> leaving = {})
    {
        scheduler.applyDocument(now, makeDocument(servers, slots, customers), leaving, actions);
    }
    static arriving_request makeRequest(const std::string &id, const std::string &customer = "c0")
    {
        arriving_request request;
        request.id = request_id(id);
        request.customer = customer_id(customer);
        request.pool = pool_id("p");
        return request;
    }
    void arrive(arriving_request request)
    {
        actions.clear();
        scheduler.onArrival(now, std::move(request), actions);
    }
    void endAttempt(const std::string &id, std::uint32_t attempt, attempt_end outcome)
    {
        actions.clear();
        scheduler.onAttemptEnd(now, request_id(id), attempt, outcome, actions);
    }
    /** Advances time by @p span and handles all timers on the way. */
    void advance(duration span)
    {
        const time_point until = now + span;
        actions.clear();
        while (scheduler.nextDeadline() <= until) {
            now = std::max(now, scheduler.nextDeadline());
            scheduler.onTimer(now, actions);
        }
        now = until;
    }
    /** Returns the actions of the given type among the actions of the last call. */
    template<class Action>
    std::vector<Action> actionsOf() const
    {
        std::vector<Action> found;
        for (const request_action &action : actions) {
            if (const auto *wanted = std::get_if<Action>(&action)) {
                found.push_back(*wanted);
            }
        }
        return found;
    }
    /** Returns the error of the only refusal among the actions of the last call; None if there is not exactly one. */
    error_kind refusal() const
    {
        const std::vector<refuse_request> refusals = actionsOf<refuse_request>();
        return refusals.size() == 1 ? refusals[0].kind : error_kind::None;
    }

    time_point now{ std::chrono::seconds(100) };
    scheduler_options options;
    request_scheduler scheduler{ options, zone_id("a"), 7 };
    request_scheduler::actions actions;
};

} // namespace reedtrail::testing
