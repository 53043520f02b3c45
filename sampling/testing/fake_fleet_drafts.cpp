// Simulated gates, engine servers and spools of the fake fleet.

#include "base/hash.h"
#include "sampling/testing/fake_fleet.h"

#include <algorithm>
#include <cmath>

namespace reedtrail::harness {
namespace {

constexpr duration scoringTime = std::chrono::milliseconds(50);
constexpr duration resultRetryDelay = std::chrono::milliseconds(500);
constexpr int maximumResultRetries = 60;

std::string payloadKeyOf(const draft_order &order)
{
    const slot_id &slot = order.slot;
    return slot.run.str() + "/" + std::to_string(slot.step) + "/" + std::to_string(slot.group) + "/" + std::to_string(slot.index) + "/"
        + std::to_string(order.draft);
}

} // namespace

void fake_fleet::acceptOrder(std::size_t gate, const draft_order &order)
{
    node &target = m_nodes[gate];
    if (!m_acceptedOrders.emplace(order.slot.run, order.draft).second) {
        return;
    }
    const std::uint64_t key = m_nextDraftKey++;
    draft_state draft;
    draft.order = order;
    draft.gate = gate;
    draft.gateIncarnation = target.incarnation;
    random_source lengthRandom(stableHash(payloadKeyOf(order), m_options.seed));
    const double targetTokens = lengthRandom.lognormal(m_options.medianTokens, m_options.tokensSigma);
    draft.targetTokens = std::clamp<std::uint64_t>(static_cast<std::uint64_t>(targetTokens), 1, order.maximumTokens);
    m_drafts.emplace(key, std::move(draft));
    target.drafts.insert(key);
    m_draftQueue.push_back(key);
    dispatchDrafts();
}

std::optional<std::size_t> fake_fleet::findFreeServer(weight_version minimum, const run_id &run) const
{
    std::optional<std::size_t> best;
    std::size_t fewest = m_options.slots;
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        const server &each = m_servers[index];
        if (each.isUp && each.drafts.size() < fewest && each.versions.at(run) >= minimum) {
            best = index;
            fewest = each.drafts.size();
        }
    }
    return best;
}

void fake_fleet::dispatchDrafts()
{
    while (!m_draftQueue.empty()) {
        const auto found = m_drafts.find(m_draftQueue.front());
        if (found == m_drafts.end()) {
            m_draftQueue.pop_front();
            continue;
        }
        const std::optional<std::size_t> free = findFreeServer(found->second.order.minimumVersion, found->second.order.slot.run);
        if (!free) {
            return;
        }
        m_draftQueue.pop_front();
        startDraft(found->first, *free);
    }
}

void fake_fleet::startDraft(std::uint64_t key, std::size_t index)
{
    draft_state &draft = m_drafts.at(key);
    server &target = m_servers[index];
    draft.isQueued = false;
    draft.server = index;
    draft.startedAt = m_clock.now();
    draft.tokenRate = m_options.tokensPerSecond * target.speed;
    draft.version = target.versions.at(draft.order.slot.run);
    target.drafts.insert(key);
    scheduleEnd(key);
    if (m_random.chance(m_options.draftFailureRate)) {
        const double remainingSeconds = static_cast<double>(draft.targetTokens - draft.tokensAtStart) / draft.tokenRate;
        m_clock.after(fromSeconds(remainingSeconds * m_random.unit()), [this, key, timerGeneration = draft.timerGeneration] {
            const auto found = m_drafts.find(key);
            if (found != m_drafts.end() && found->second.timerGeneration == timerGeneration) {
                interruptDraft(key);
            }
        });
    }
}

std::uint64_t fake_fleet::generatedTokens(const draft_state &draft) const
{
    if (draft.isQueued) {
        return draft.tokensAtStart;
    }
    const double made = toSeconds(m_clock.now() - draft.startedAt) * draft.tokenRate + 1e-6;
    return std::min(draft.targetTokens, draft.tokensAtStart + static_cast<std::uint64_t>(made));
}

void fake_fleet::updateProgress(draft_state &draft)
{
    const std::uint64_t tokens = generatedTokens(draft);
    if (tokens == draft.tokensAtStart) {
        return;
    }
    if (!draft.versions.empty() && draft.versions.back().version == draft.version) {
        draft.versions.back().to = tokens;
    } else {
        draft.versions.push_back({ draft.tokensAtStart, tokens, draft.version });
    }
    draft.startedAt += fromSeconds(static_cast<double>(tokens - draft.tokensAtStart) / draft.tokenRate);
    draft.tokensAtStart = tokens;
}

void fake_fleet::scheduleEnd(std::uint64_t key)
{
    draft_state &draft = m_drafts.at(key);
    const std::uint64_t timerGeneration = ++draft.timerGeneration;
    const double remainingSeconds = static_cast<double>(draft.targetTokens - draft.tokensAtStart) / draft.tokenRate;
    m_clock.at(draft.startedAt + fromSeconds(remainingSeconds) + duration(2), [this, key, timerGeneration] {
        const auto found = m_drafts.find(key);
        if (found != m_drafts.end() && found->second.timerGeneration == timerGeneration) {
            scoreDraft(key);
        }
    });
}

void fake_fleet::interruptDraft(std::uint64_t key)
{
    draft_state &draft = m_drafts.at(key);
    updateProgress(draft);
    m_servers[draft.server].drafts.erase(key);
    draft.isQueued = true;
    ++draft.timerGeneration;
    if (!m_options.resumesBrokenDrafts) {
        draft.tokensAtStart = 0;
        draft.versions.clear();
        draft.targetTokens = std::clamp<std::uint64_t>(
            static_cast<std::uint64_t>(m_random.lognormal(m_options.medianTokens, m_options.tokensSigma)), 1, draft.order.maximumTokens);
    }
    m_draftQueue.push_front(key);
    m_clock.after(std::chrono::milliseconds(200), [this] {
        dispatchDrafts();
    });
}

void fake_fleet::discardDraft(std::uint64_t key)
{
    const auto found = m_drafts.find(key);
    if (found == m_drafts.end()) {
        return;
    }
    m_servers[found->second.server].drafts.erase(key);
    m_nodes[found->second.gate].drafts.erase(key);
    m_drafts.erase(found);
    dispatchDrafts();
}

void fake_fleet::scoreDraft(std::uint64_t key)
{
    draft_state &draft = m_drafts.at(key);
    updateProgress(draft);
    m_servers[draft.server].drafts.erase(key);
    ++draft.timerGeneration;
    const std::uint64_t incarnation = draft.gateIncarnation;
    const std::size_t gate = draft.gate;
    m_clock.after(scoringTime, [this, key, incarnation, gate] {
        runOnNode(gate, incarnation, [this, key] {
            finishDraft(key);
        });
    });
    dispatchDrafts();
}

void fake_fleet::finishDraft(std::uint64_t key)
{
    const auto found = m_drafts.find(key);
    if (found == m_drafts.end()) {
        return;
    }
    const draft_state draft = found->second;
    draft_result result;
    result.slot = draft.order.slot;
    result.draft = draft.order.draft;
    result.epoch = draft.order.epoch;
    result.versions = draft.versions;
    result.tokens = draft.targetTokens;
    result.payloadKey = payloadKeyOf(draft.order);
    result.error = "peer-unreachable";
    const std::size_t first = stableHash(result.payloadKey) % m_nodes.size();
    for (std::size_t offset = 0; offset < m_nodes.size(); ++offset) {
        node &spool = m_nodes[(first + offset) % m_nodes.size()];
        if (spool.hasDisk && spool.isUp && !spool.isPaused) {
            spool.payloads[{ result.slot.run, result.slot.step }].insert(result.payloadKey);
            result.spoolNode = node_id(spool.name);
            result.error = "none";
            break;
        }
    }
    m_generatedPayloads[result.payloadKey] = { draft.versions };
    sendResult(draft.gate, draft.gateIncarnation, result, maximumResultRetries);
    m_servers[draft.server].drafts.erase(key); // The draft may have been moved to another server while it was scored.
    m_nodes[draft.gate].drafts.erase(key);
    m_drafts.erase(key);
}

void fake_fleet::sendResult(std::size_t gate, std::uint64_t incarnation, const draft_result &result, int retriesLeft)
{
    const std::optional<std::size_t> owner = ownerOf(result.slot.run);
    if (owner && m_network.passes(m_nodes[gate].name, m_nodes[*owner].name)) {
        m_network.send(m_nodes[gate].name, m_nodes[*owner].name, [this, owner = *owner, ownerIncarnation = m_nodes[*owner].incarnation, result] {
            runOnNode(owner, ownerIncarnation, [this, owner, result] {
                notifyOwner(owner, result.slot.run, run_event::draft_ended{ result });
            });
        });
        return;
    }
    if (retriesLeft > 0) {
        m_clock.after(resultRetryDelay, [this, gate, incarnation, result, retriesLeft] {
            runOnNode(gate, incarnation, [this, gate, incarnation, result, retriesLeft] {
                sendResult(gate, incarnation, result, retriesLeft - 1);
            });
        });
    }
}

void fake_fleet::sendGateReports()
{
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        if (m_nodes[index].isUp && !m_nodes[index].isPaused) {
            sendGateReport(index);
        }
    }
    m_clock.after(m_options.reportInterval, [this] {
        sendGateReports();
    });
}

void fake_fleet::sendGateReport(std::size_t gate)
{
    std::map<run_id, std::vector<draft_progress_item>> byRun;
    for (const std::uint64_t key : m_nodes[gate].drafts) {
        const draft_state &draft = m_drafts.at(key);
        byRun[draft.order.slot.run].push_back({ draft.order.slot, draft.order.draft, generatedTokens(draft) });
    }
    for (const auto &[run, state] : m_trainers) {
        const std::optional<std::size_t> owner = ownerOf(run);
        if (!owner) {
            continue;
        }
        m_network.send(
            m_nodes[gate].name, m_nodes[*owner].name, [this, owner = *owner, run = run, incarnation = m_nodes[*owner].incarnation, gate, items = byRun[run]] {
                runOnNode(owner, incarnation, [this, owner, run, gate, items] {
                    notifyOwner(owner, run, run_event::gate_reported{ node_id(m_nodes[gate].name), items });
                });
            });
    }
}

void fake_fleet::killServer(std::size_t index, duration downTime)
{
    server &target = m_servers[index];
    if (!target.isUp) {
        return;
    }
    target.isUp = false;
    const std::set<std::uint64_t> drafts = target.drafts;
    for (const std::uint64_t key : drafts) {
        interruptDraft(key);
    }
    m_clock.after(downTime, [this, index] {
        m_servers[index].isUp = true;
        dispatchDrafts();
    });
}

void fake_fleet::publishVersion(const run_id &run)
{
    const weight_version version = m_trainers.at(run).publishedVersion;
    const auto notifyAll = [this, run, version](weight_version served) {
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            runOnNode(index, m_nodes[index].incarnation, [this, index, run, version, served] {
                notifyOwner(index, run, run_event::versions_changed{ version, served });
            });
        }
    };
    notifyAll(version - 1);
    m_clock.after(m_options.weightRolloutDelay, [this, run, version, notifyAll] {
        for (server &each : m_servers) {
            for (const std::uint64_t key : each.drafts) {
                draft_state &draft = m_drafts.at(key);
                if (draft.order.slot.run == run) {
                    updateProgress(draft);
                    draft.version = version;
                }
            }
            each.versions[run] = version;
        }
        notifyAll(version);
        dispatchDrafts();
    });
}

} // namespace reedtrail::harness
