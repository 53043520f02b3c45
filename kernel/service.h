/**
 * @file
 * The micro-kernel: a process is a set of services that find each other by name.
 *
 *     kernel process;
 *     process.add("settings", std::make_unique<settings_service>(...));
 *     process.add("router", std::make_unique<router_service>(...));
 *     BOOST_LEAF_CHECK(process.start());              // starts in the order of adding
 *     auto &settings = process.find<settings_service>("settings");   // inside a service's start(), typed and checked
 *
 * All calls are made on the control thread.
 */
#pragma once

#include "base/failure.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

class kernel;

/** One part of a process. */
class service
{
public:
    virtual ~service() = default;
    /** Starts work; services added before are started already and can be found in @p process. */
    virtual result<void> start(kernel &process) = 0;
    /**
     * Begins a graceful shutdown: takes nothing new, finishes or hands over what is under way.
     * @param done called once, when nothing is left
     */
    virtual void drain(std::function<void()> done)
    {
        done();
    }
    /** Stops at once. */
    virtual void stop()
    {
    }
    /** Returns the whole state, for a person and for tools. */
    virtual nlohmann::json dump() const
    {
        return nlohmann::json::object();
    }
};

/** The services of one process. */
class kernel
{
public:
    kernel() = default;
    /** Destroys the services in reverse order: a later one may still refer to an earlier one. */
    ~kernel();
    kernel(const kernel &) = delete;
    kernel &operator=(const kernel &) = delete;

    /** Adds a service under a name that no other has. */
    void add(std::string name, std::unique_ptr<service> part);
    /** Starts all services in order. @return the first failure; those started before it are stopped */
    result<void> start();
    /** Drains all services in reverse order, one after the other. @param done called when the last has finished */
    void drain(std::function<void()> done);
    /** Stops all services in reverse order. */
    void stop();
    /** Returns the dumps of all services by name, or of the one named. */
    nlohmann::json dump(std::string_view name = "") const;
    /** Returns the service @p name. @return the service, or Internal if there is none of that name and type */
    template<class Service>
    result<Service *> find(std::string_view name)
    {
        auto *typed = dynamic_cast<Service *>(findUntyped(name));
        if (typed == nullptr) {
            return fail(error_kind::Internal, "no service \"" + std::string(name) + "\" of the wanted type");
        }
        return typed;
    }

private:
    struct entry
    {
        std::string name;
        std::unique_ptr<service> part;
        bool isStarted = false;
    };
    service *findUntyped(std::string_view name);
    void drainFrom(std::size_t count, std::function<void()> done);

    std::vector<entry> m_entries;
};

} // namespace reedtrail
