// A job has at most a few hundred items, so selecting an item is a linear scan. An event changes only one item.

#include "batch/job_progress.h"

#include <algorithm>
#include <numeric>

namespace reedtrail {

job_progress::job_progress(job_spec spec, job_progress_options options, time_point submittedAt)
    : m_spec(std::move(spec))
    , m_options(options)
    , m_submittedAt(submittedAt)
    , m_states(m_spec.items.size())
{
    std::map<std::string_view, std::size_t> groups;
    for (std::size_t i = 0; i < m_spec.items.size(); ++i) {
        const job_item &item = m_spec.items[i];
        m_indexOf.emplace(item.id, i);
        const std::string_view name = item.group.empty() ? std::string_view(item.id) : std::string_view(item.group);
        const auto [group, isNew] = groups.emplace(name, groups.size());
        if (isNew) {
            m_groupUnfinished.push_back(0);
            m_groupNames.emplace_back(name);
        }
        m_groupOf.push_back(group->second);
        ++m_groupUnfinished[group->second];
        m_states[i].stageSince = submittedAt;
    }
    m_groupUnrecorded = m_groupUnfinished;
    m_groupServer.resize(m_groupUnfinished.size());
    m_stageCounts[static_cast<std::size_t>(item_stage::Waiting)] = m_states.size();
    orderItems();
}

void job_progress::orderItems()
{
    std::vector<double> longest(m_groupUnfinished.size(), 0);
    for (std::size_t i = 0; i < m_states.size(); ++i) {
        longest[m_groupOf[i]] = std::max(longest[m_groupOf[i]], m_spec.items[i].expectedTokens);
    }
    std::vector<std::size_t> groups(longest.size());
    std::iota(groups.begin(), groups.end(), 0);
    std::ranges::stable_sort(groups, [&](std::size_t left, std::size_t right) {
        return longest[left] < longest[right];
    });
    const std::size_t wanted = m_spec.wantedGroups == 0 ? groups.size() : std::min(m_spec.wantedGroups, groups.size());
    std::vector<bool> isOptional(groups.size(), false);
    std::size_t remainingOptional = groups.size() - wanted;
    for (auto group = groups.rbegin(); group != groups.rend() && remainingOptional > 0; ++group) {
        if (std::ranges::find(m_spec.carriedOverGroups, m_groupNames[*group]) == m_spec.carriedOverGroups.end()) {
            isOptional[*group] = true;
            --remainingOptional;
        }
    }
    m_runOrder.resize(m_states.size());
    std::iota(m_runOrder.begin(), m_runOrder.end(), 0);
    std::ranges::stable_sort(m_runOrder, [&](std::size_t left, std::size_t right) {
        const bool leftOptional = isOptional[m_groupOf[left]];
        const bool rightOptional = isOptional[m_groupOf[right]];
        return leftOptional != rightOptional ? rightOptional : m_spec.items[left].expectedTokens > m_spec.items[right].expectedTokens;
    });
}

void job_progress::setOptions(const job_progress_options &options)
{
    m_options = options;
    for (item_state &state : m_states) {
        if (options.isSingleVersion && state.stage < item_stage::AwaitingScore && state.versions.size() > 1) {
            restartText(state); // A run under way is cancelled with its next event, which does not begin a text.
        }
    }
}

void job_progress::noteRecorded(std::span<const item_result> results)
{
    for (const item_result &result : results) {
        const auto found = m_indexOf.find(result.id);
        if (found == m_indexOf.end() || m_states[found->second].stage == item_stage::Recorded) {
            continue;
        }
        const std::size_t index = found->second;
        moveTo(m_states[index].stageSince, index, item_stage::Recorded);
        m_states[index].text.clear();
        m_states[index].text.shrink_to_fit();
    }
}

std::optional<std::size_t> job_progress::nextToRun(time_point now) const
{
    std::optional<std::size_t> firstUnstarted;
    for (const std::size_t index : m_runOrder) {
        const item_state &state = m_states[index];
        if (state.stage != item_stage::Waiting || state.notBefore > now) {
            continue;
        }
        if (state.lastEvent > 0) {
            return index;
        }
        if (!firstUnstarted) {
            firstUnstarted = index;
        }
    }
    return firstUnstarted;
}

std::optional<std::size_t> job_progress::nextToScore(time_point now) const
{
    if (count(item_stage::AwaitingScore) == 0) {
        return std::nullopt;
    }
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < m_states.size(); ++i) {
        if (m_states[i].stage != item_stage::AwaitingScore || m_states[i].notBefore > now) {
            continue;
        }
        if (!best || m_groupUnfinished[m_groupOf[i]] < m_groupUnfinished[m_groupOf[*best]]) {
            best = i;
        }
    }
    return best;
}

void job_progress::started(time_point now, std::size_t index, std::string server, int maxFailures)
{
    m_states[index].maxFailures = std::max(m_states[index].maxFailures, maxFailures);
    m_groupServer[m_groupOf[index]] = server;
    m_states[index].server = std::move(server);
    m_states[index].runBuild.clear();
    m_states[index].doesRunFit = m_states[index].lastEvent == 0;
    moveTo(now, index, item_stage::Running);
}

bool job_progress::runAnswered(std::size_t index, std::string_view build)
{
    item_state &state = m_states[index];
    state.runBuild = build;
    state.doesRunFit = state.lastEvent == 0 || (!build.empty() && build == state.build);
    return state.doesRunFit;
}

bool job_progress::addEvent(std::size_t index, std::uint64_t event, std::string_view data, std::uint64_t version)
{
    item_state &state = m_states[index];
    if (!state.doesRunFit) {
        return false;
    }
    const bool isNewVersion = state.versions.empty() || state.versions.back() != version;
    if (event != state.lastEvent + 1 || version < m_spec.minVersion || (isNewVersion && m_options.isSingleVersion && !state.versions.empty())) {
        return false;
    }
    if (state.text.size() + data.size() > m_options.maxTextBytes) {
        restartText(state);
        return false;
    }
    if (state.lastEvent == 0) {
        state.build = state.runBuild;
    } else {
        state.text += '\n';
    }
    state.awaitsBuildSince = timeNever;
    state.text += data;
    state.lastEvent = event;
    state.consecutiveBreaks = 0;
    if (std::ranges::find(state.versions, version) == state.versions.end()) {
        state.versions.push_back(version);
    }
    return true;
}

void job_progress::textEnded(time_point now, std::size_t index)
{
    item_state &state = m_states[index];
    state.failures = 0;
    state.maxFailures = 0;
    state.consecutiveBreaks = 0;
    state.notBefore = now;
    moveTo(now, index, m_spec.items[index].score ? item_stage::AwaitingScore : item_stage::Finished);
}

void job_progress::runFailed(time_point now, std::size_t index, run_failure failure, duration retryDelay)
{
    item_state &state = m_states[index];
    if (state.stage != item_stage::Running) {
        return;
    }
    state.consecutiveBreaks += failure == run_failure::Broken ? 1 : 0;
    if (failure == run_failure::NonRetryable || isFailureFinal(state, failure)) {
        giveUp(now, index);
        return;
    }
    state.notBefore = now + retryDelay;
    moveTo(now, index, item_stage::Waiting);
    // Such a text must come from one weight version, but the version that generated its first part is being replaced, so it restarts.
    if (m_options.isSingleVersion) {
        restartText(state);
    }
}

/** Counts a failure of the current step. @return whether the step has failed as often as its routes allow */
bool job_progress::isFailureFinal(item_state &state, run_failure failure)
{
    return failure == run_failure::Failed && ++state.failures >= state.maxFailures;
}

void job_progress::restartText(std::size_t index)
{
    restartText(m_states[index]);
}

void job_progress::awaitBuild(time_point now, std::size_t index, duration retryDelay)
{
    m_states[index].awaitsBuildSince = std::min(m_states[index].awaitsBuildSince, now);
    m_states[index].notBefore = now + retryDelay;
}

void job_progress::restartText(item_state &state)
{
    state.text.clear();
    state.build.clear();
    state.awaitsBuildSince = timeNever;
    state.lastEvent = 0;
    state.versions.clear();
}

void job_progress::scoringStarted(time_point now, std::size_t index, int maxFailures)
{
    m_states[index].maxFailures = std::max(m_states[index].maxFailures, maxFailures);
    moveTo(now, index, item_stage::Scoring);
}

void job_progress::scored(time_point now, std::size_t index, std::string score)
{
    m_states[index].score = std::move(score);
    moveTo(now, index, item_stage::Finished);
}

void job_progress::scoringFailed(time_point now, std::size_t index, run_failure failure, duration retryDelay)
{
    item_state &state = m_states[index];
    if (state.stage != item_stage::Scoring) {
        return;
    }
    if (isFailureFinal(state, failure)) {
        giveUp(now, index);
        return;
    }
    state.notBefore = now + retryDelay;
    moveTo(now, index, item_stage::AwaitingScore);
}

std::vector<item_draft>
job_progress::drafts(std::uint64_t minimumEvents, std::size_t maximumBytes, const std::function<bool(std::size_t)> &isOriginCertain) const
{
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < m_states.size(); ++i) {
        if (m_states[i].stage < item_stage::Finished && m_states[i].lastEvent >= minimumEvents && !m_options.isSingleVersion) {
            candidates.push_back(i);
        }
    }
    std::ranges::stable_sort(candidates, [this](std::size_t left, std::size_t right) {
        return m_states[left].lastEvent > m_states[right].lastEvent;
    });
    std::vector<item_draft> kept;
    std::size_t bytes = 0;
    for (const std::size_t index : candidates) {
        const item_state &state = m_states[index];
        const bool isTextComplete = state.stage == item_stage::AwaitingScore || state.stage == item_stage::Scoring;
        if (!isTextComplete && (state.build.empty() || !isOriginCertain(index))) {
            continue;
        }
        bytes += state.text.size();
        if (bytes > maximumBytes) {
            break;
        }
        kept.push_back({ m_spec.items[index].id, state.text, state.lastEvent, state.versions, isTextComplete, state.build });
    }
    return kept;
}

void job_progress::restore(std::span<const item_draft> drafts)
{
    for (const item_draft &draft : drafts) {
        const auto found = m_indexOf.find(draft.id);
        const bool isUsable = !draft.versions.empty() && draft.lastEvent > 0 && std::ranges::all_of(draft.versions, [this](std::uint64_t version) {
            return version >= m_spec.minVersion;
        });
        const bool canGoOn = draft.isTextComplete || !draft.build.empty();
        if (found == m_indexOf.end() || !isUsable || !canGoOn || m_options.isSingleVersion) {
            continue;
        }
        item_state &state = m_states[found->second];
        if (state.stage != item_stage::Waiting || state.lastEvent >= draft.lastEvent) {
            continue;
        }
        state.text = draft.text;
        state.lastEvent = draft.lastEvent;
        state.versions = draft.versions;
        state.build = draft.build;
        if (draft.isTextComplete) {
            textEnded(state.stageSince, found->second);
        }
    }
}

std::string_view job_progress::groupServer(std::size_t index) const
{
    return m_groupServer[m_groupOf[index]];
}

void job_progress::expire(time_point now)
{
    if (now < m_submittedAt + m_options.itemLifetime) {
        return;
    }
    for (std::size_t i = 0; i < m_states.size(); ++i) {
        if (m_states[i].stage < item_stage::Finished) {
            giveUp(now, i);
        }
    }
}

void job_progress::giveUp(time_point now, std::size_t index)
{
    item_state &state = m_states[index];
    state.isGivenUp = true;
    state.text.clear();
    state.versions.clear();
    moveTo(now, index, item_stage::Finished);
}

bool job_progress::shouldRecord(time_point now, duration maximumWait) const
{
    return count(item_stage::Finished) > 0 && (m_hasCompleteGroup || now >= m_oldestFinishedAt + maximumWait);
}

std::vector<item_result> job_progress::takeFinished()
{
    std::vector<item_result> results;
    for (std::size_t i = 0; i < m_states.size(); ++i) {
        item_state &state = m_states[i];
        if (state.stage != item_stage::Finished) {
            continue;
        }
        results.push_back(state.isGivenUp ? item_result{ m_spec.items[i].id, false, "", {}, "" }
                                          : item_result{ m_spec.items[i].id, true, state.text, state.versions, state.score });
        moveTo(state.stageSince, i, item_stage::Recording);
    }
    m_oldestFinishedAt = timeNever;
    m_hasCompleteGroup = false;
    return results;
}

std::size_t job_progress::count(item_stage stage) const
{
    return m_stageCounts[static_cast<std::size_t>(stage)];
}

std::vector<std::string> job_progress::incompleteGroups() const
{
    std::vector<std::string> incomplete;
    for (std::size_t group = 0; group < m_groupNames.size(); ++group) {
        if (m_groupUnrecorded[group] > 0) {
            incomplete.push_back(m_groupNames[group]);
        }
    }
    return incomplete;
}

std::size_t job_progress::completeGroups() const
{
    return static_cast<std::size_t>(std::ranges::count(m_groupUnrecorded, 0U));
}

void job_progress::moveTo(time_point now, std::size_t index, item_stage stage)
{
    item_state &state = m_states[index];
    const bool wasUnfinished = state.stage < item_stage::Finished;
    const bool isUnfinished = stage < item_stage::Finished;
    --m_stageCounts[static_cast<std::size_t>(state.stage)];
    ++m_stageCounts[static_cast<std::size_t>(stage)];
    state.stage = stage;
    state.stageSince = now;
    std::size_t &unfinished = m_groupUnfinished[m_groupOf[index]];
    if (wasUnfinished && !isUnfinished) {
        --unfinished;
        m_hasCompleteGroup = m_hasCompleteGroup || unfinished == 0;
    }
    if (stage == item_stage::Finished) {
        m_oldestFinishedAt = std::min(m_oldestFinishedAt, now);
    }
    if (stage == item_stage::Recorded) {
        --m_groupUnrecorded[m_groupOf[index]];
    }
}

} // namespace reedtrail
