/**
 * @file
 * Puts the jobs of this node in the order in which they take places at the servers.
 */
#pragma once

#include "edge/job_worker.h"
#include "routing/room_order.h"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace reedtrail {

/** A job that waits for places. */
struct waiting_job
{
    std::shared_ptr<job_worker> worker;
    work_claim claim;
    room_rank rank = room_rank::InTime; ///< Among the jobs of its model, which use the same servers.
};

/** Returns those of the jobs that wait for places, the first to be served first. */
std::vector<waiting_job> orderWaitingJobs(time_point now, std::span<const std::shared_ptr<job_worker>> workers);

/** Tells whether several jobs wait, and one of them has found no place. */
bool isRoomShort(std::span<const waiting_job> jobs);

/** Describes an order of jobs for the log. */
std::string describeOrder(time_point now, std::span<const waiting_job> jobs);

} // namespace reedtrail
