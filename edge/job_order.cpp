#include "edge/job_order.h"

#include <algorithm>
#include <limits>
#include <map>

namespace reedtrail {
namespace {

const char *rankName(room_rank rank)
{
    switch (rank) {
    case room_rank::Overdue:
        return "overdue";
    case room_rank::InTime:
        return "in-time";
    case room_rank::PutOff:
        break;
    }
    return "put-off";
}

} // namespace

std::vector<waiting_job> orderWaitingJobs(time_point now, std::span<const std::shared_ptr<job_worker>> workers)
{
    std::map<std::string_view, std::vector<waiting_job>> byModel;
    for (const std::shared_ptr<job_worker> &worker : workers) {
        if (const std::optional<work_claim> claim = worker->claim(now)) {
            byModel[worker->model()].push_back({ worker, *claim });
        }
    }
    std::vector<waiting_job> ordered;
    for (const auto &[model, jobs] : byModel) {
        std::vector<work_claim> claims;
        claims.reserve(jobs.size());
        for (const waiting_job &job : jobs) {
            claims.push_back(job.claim);
        }
        // A job that is alone at its model competes with nobody, so its places need not be counted.
        const double places = jobs.size() == 1 ? std::numeric_limits<double>::infinity() : jobs.front().worker->places();
        for (const room_place &place : orderWork(now, claims, places)) {
            ordered.push_back({ jobs[place.claim].worker, jobs[place.claim].claim, place.rank });
        }
    }
    // Scores of all models use the same servers. Within a model the order stays, because its ranks are in order.
    std::ranges::stable_sort(ordered, {}, &waiting_job::rank);
    return ordered;
}

bool isRoomShort(std::span<const waiting_job> jobs)
{
    return jobs.size() > 1 && std::ranges::any_of(jobs, [](const waiting_job &job) {
               return job.worker->isShortOfPlaces();
           });
}

std::string describeOrder(time_point now, std::span<const waiting_job> jobs)
{
    constexpr auto millisecond = std::chrono::milliseconds(1);
    std::string text;
    for (const waiting_job &job : jobs) {
        text += text.empty() ? "" : ", ";
        text += job.worker->job() + " " + rankName(job.rank) + " due-ms " + std::to_string((job.claim.due - now) / millisecond) + " work-ms "
            + std::to_string(job.claim.work / millisecond) + " value " + std::to_string(static_cast<int>(job.claim.value));
    }
    return text;
}

} // namespace reedtrail
