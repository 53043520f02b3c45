// Gates, engines and spools of the fake fleet.

#include "base/hash.h"
#include "sampling/testing/fake_fleet.h"

#include <algorithm>
#include <cmath>

namespace reedtrail::harness {
namespace {

constexpr duration scoringTime = std::chrono::milliseconds(50);
constexpr duration resultRetry = std::chrono::milliseconds(500);
constexpr int resultTries = 60;

std::string payloadKeyOf(const draft_order &order)
{
    const slot_id &slot = order.slot;
    return slot.run.str() + "/" + std::to_string(slot.step) + "/" + std::to_string(slot.group) + "/" + std::to_string(slot.index) + "/"
        + std::to_string(order.draft);
}

} // namespace

void fake_fleet::takeOrder(std::size_t gate, const draft_order &order)
{
    node &each = m_nodes[gate];
    if (!m_taken.emplace(order.slot.run, order.draft).second) {
        return;
    }
    const std::uint64_t key = m_nextDraftKey++;
    draft_state draft;
    draft.order = order;
    draft.gate = gate;
    draft.gateLife = each.life;
    random_source length(stableHash(payloadKeyOf(order), m_options.seed));
    const double wanted = length.lognormal(m_options.medianTokens, m_options.sigma);
    draft.wanted = std::clamp<std::uint64_t>(static_cast<std::uint64_t>(wanted), 1, order.maximumTokens);
    m_drafts.emplace(key, std::move(draft));
    each.drafts.insert(key);
    m_queue.push_back(key);
    placeDrafts();
}

std::optional<std::size_t> fake_fleet::freeServer(weight_version minimum, const run_id &run) const
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

void fake_fleet::placeDrafts()
{
    while (!m_queue.empty()) {
        const auto found = m_drafts.find(m_queue.front());
        if (found == m_drafts.end()) {
            m_queue.pop_front();
            continue;
        }
        const std::optional<std::size_t> free = freeServer(found->second.order.minimumVersion, found->second.order.slot.run);
        if (!free) {
            return;
        }
        m_queue.pop_front();
        startDraft(found->first, *free);
    }
}

void fake_fleet::startDraft(std::uint64_t key, std::size_t index)
{
    draft_state &draft = m_drafts.at(key);
    server &target = m_servers[index];
    draft.isQueued = false;
    draft.server = index;
    draft.startedAt = m_world.now();
    draft.rate = m_options.tokensPerSecond * target.speed;
    draft.version = target.versions.at(draft.order.slot.run);
    target.drafts.insert(key);
    planEnd(key);
    if (m_random.chance(m_options.draftFailure)) {
        const double left = static_cast<double>(draft.wanted - draft.done) / draft.rate;
        m_world.after(fromSeconds(left * m_random.unit()), [this, key, turn = draft.turn] {
            const auto found = m_drafts.find(key);
            if (found != m_drafts.end() && found->second.turn == turn) {
                breakDraft(key);
            }
        });
    }
}

std::uint64_t fake_fleet::tokensOf(const draft_state &draft) const
{
    if (draft.isQueued) {
        return draft.done;
    }
    const double made = toSeconds(m_world.now() - draft.startedAt) * draft.rate + 1e-6;
    return std::min(draft.wanted, draft.done + static_cast<std::uint64_t>(made));
}

void fake_fleet::accrue(draft_state &draft)
{
    const std::uint64_t tokens = tokensOf(draft);
    if (tokens == draft.done) {
        return;
    }
    if (!draft.versions.empty() && draft.versions.back().version == draft.version) {
        draft.versions.back().to = tokens;
    } else {
        draft.versions.push_back({ draft.done, tokens, draft.version });
    }
    draft.startedAt += fromSeconds(static_cast<double>(tokens - draft.done) / draft.rate);
    draft.done = tokens;
}

void fake_fleet::planEnd(std::uint64_t key)
{
    draft_state &draft = m_drafts.at(key);
    const std::uint64_t turn = ++draft.turn;
    const double left = static_cast<double>(draft.wanted - draft.done) / draft.rate;
    m_world.at(draft.startedAt + fromSeconds(left) + duration(2), [this, key, turn] {
        const auto found = m_drafts.find(key);
        if (found != m_drafts.end() && found->second.turn == turn) {
            endDraft(key);
        }
    });
}

void fake_fleet::breakDraft(std::uint64_t key)
{
    draft_state &draft = m_drafts.at(key);
    accrue(draft);
    m_servers[draft.server].drafts.erase(key);
    draft.isQueued = true;
    ++draft.turn;
    if (!m_options.hasResume) {
        draft.done = 0;
        draft.versions.clear();
        draft.wanted =
            std::clamp<std::uint64_t>(static_cast<std::uint64_t>(m_random.lognormal(m_options.medianTokens, m_options.sigma)), 1, draft.order.maximumTokens);
    }
    m_queue.push_front(key);
    m_world.after(std::chrono::milliseconds(200), [this] {
        placeDrafts();
    });
}

void fake_fleet::forgetDraft(std::uint64_t key)
{
    const auto found = m_drafts.find(key);
    if (found == m_drafts.end()) {
        return;
    }
    m_servers[found->second.server].drafts.erase(key);
    m_nodes[found->second.gate].drafts.erase(key);
    m_drafts.erase(found);
    placeDrafts();
}

void fake_fleet::endDraft(std::uint64_t key)
{
    draft_state &draft = m_drafts.at(key);
    accrue(draft);
    m_servers[draft.server].drafts.erase(key);
    ++draft.turn;
    const std::uint64_t life = draft.gateLife;
    const std::size_t gate = draft.gate;
    m_world.after(scoringTime, [this, key, life, gate] {
        deliver(gate, life, [this, key] {
            finishDraft(key);
        });
    });
    placeDrafts();
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
    result.tokens = draft.wanted;
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
    m_truth[result.payloadKey] = { draft.versions };
    sendResult(draft.gate, draft.gateLife, result, resultTries);
    m_servers[draft.server].drafts.erase(key); // It may have been moved while it was scored.
    m_nodes[draft.gate].drafts.erase(key);
    m_drafts.erase(key);
}

void fake_fleet::sendResult(std::size_t gate, std::uint64_t life, const draft_result &result, int triesLeft)
{
    const std::optional<std::size_t> owner = ownerOf(result.slot.run);
    if (owner && m_network.passes(m_nodes[gate].name, m_nodes[*owner].name)) {
        m_network.send(m_nodes[gate].name, m_nodes[*owner].name, [this, owner = *owner, ownerLife = m_nodes[*owner].life, result] {
            deliver(owner, ownerLife, [this, owner, result] {
                tellOwner(owner, result.slot.run, run_event::draft_ended{ result });
            });
        });
        return;
    }
    if (triesLeft > 0) {
        m_world.after(resultRetry, [this, gate, life, result, triesLeft] {
            deliver(gate, life, [this, gate, life, result, triesLeft] {
                sendResult(gate, life, result, triesLeft - 1);
            });
        });
    }
}

void fake_fleet::reportGates()
{
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        if (m_nodes[index].isUp && !m_nodes[index].isPaused) {
            reportGate(index);
        }
    }
    m_world.after(m_options.reportInterval, [this] {
        reportGates();
    });
}

void fake_fleet::reportGate(std::size_t gate)
{
    std::map<run_id, std::vector<draft_progress_item>> byRun;
    for (const std::uint64_t key : m_nodes[gate].drafts) {
        const draft_state &draft = m_drafts.at(key);
        byRun[draft.order.slot.run].push_back({ draft.order.slot, draft.order.draft, tokensOf(draft) });
    }
    for (const auto &[run, each] : m_trainers) {
        const std::optional<std::size_t> owner = ownerOf(run);
        if (!owner) {
            continue;
        }
        m_network.send(m_nodes[gate].name, m_nodes[*owner].name, [this, owner = *owner, run = run, life = m_nodes[*owner].life, gate, items = byRun[run]] {
            deliver(owner, life, [this, owner, run, gate, items] {
                tellOwner(owner, run, run_event::gate_reported{ node_id(m_nodes[gate].name), items });
            });
        });
    }
}

void fake_fleet::killServer(std::size_t index, duration downTime)
{
    server &each = m_servers[index];
    if (!each.isUp) {
        return;
    }
    each.isUp = false;
    const std::set<std::uint64_t> drafts = each.drafts;
    for (const std::uint64_t key : drafts) {
        breakDraft(key);
    }
    m_world.after(downTime, [this, index] {
        m_servers[index].isUp = true;
        placeDrafts();
    });
}

void fake_fleet::publish(const run_id &run)
{
    const weight_version version = m_trainers.at(run).published;
    const auto tellAll = [this, run, version](weight_version served) {
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            deliver(index, m_nodes[index].life, [this, index, run, version, served] {
                tellOwner(index, run, run_event::versions_changed{ version, served });
            });
        }
    };
    tellAll(version - 1);
    m_world.after(m_options.rolloutDelay, [this, run, version, tellAll] {
        for (server &each : m_servers) {
            for (const std::uint64_t key : each.drafts) {
                draft_state &draft = m_drafts.at(key);
                if (draft.order.slot.run == run) {
                    accrue(draft);
                    draft.version = version;
                }
            }
            each.versions[run] = version;
        }
        tellAll(version);
        placeDrafts();
    });
}

} // namespace reedtrail::harness
