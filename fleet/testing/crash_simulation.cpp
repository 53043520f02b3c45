#include "fleet/testing/crash_simulation.h"

#include <algorithm>

namespace reedtrail::testing {

using namespace std::chrono_literals;

namespace {

constexpr int zoneCount = 3;
constexpr int nodeCount = 9;
constexpr std::size_t serverCount = 12;
constexpr int maxAttempts = 2; // Servers that one client attempt may run on.
constexpr int maxTries = 6; // Servers that one client attempt may find gone or full, beside these.
constexpr std::size_t slots = 6;
constexpr duration askTimeout = 150ms;
constexpr duration pingInterval = 500ms;
constexpr duration innocentDeadline = 1500ms;
constexpr double innocentPauseSeconds = 0.04; // Mean time between two innocent requests.
constexpr double restartSeconds = 3.3;
constexpr duration attemptLimit = 500ms; // A third of the deadline, as the product's first attempt.
constexpr duration endProbeTime = 200ms; // Until it is known that a server takes no connection.
constexpr duration avoidTime = 3s; // For which a node sends nothing to a server that did not answer.
constexpr duration timeUntilListLacksLostNodes = 20s;
constexpr double minLinkSeconds = 0.0005;
constexpr double maxLinkSeconds = 0.003;

std::string zoneName(int index)
{
    return "zone-" + std::to_string(index % zoneCount);
}

} // namespace

time_point crash_node_loop::now() const
{
    return m_simulation.m_world.now();
}

void crash_node_loop::after(duration delay, std::function<void()> action)
{
    m_simulation.m_world.after(delay, [action = std::move(action), &simulation = m_simulation, node = m_node, incarnation = m_incarnation] {
        simulation.runOrDefer(node, incarnation, action);
    });
}

void simulated_crash_peers::send(const std::string &node, const crash_message &message, std::function<void(peer_ask_end, const crash_reply &)> onEnd)
{
    crash_simulation &simulation = m_simulation;
    const std::string self = m_node;
    const int incarnation = simulation.m_nodes.at(self).incarnation;
    const auto isPending = std::make_shared<bool>(true);
    const auto finish = [&simulation, self, incarnation, isPending, onEnd](peer_ask_end end, const crash_reply &reply) {
        if (std::exchange(*isPending, false)) {
            simulation.runOrDefer(self, incarnation, [onEnd, end, reply] {
                onEnd(end, reply);
            });
        }
    };
    simulation.m_world.after(askTimeout, [finish] {
        finish(peer_ask_end::Silent, {});
    });
    ++simulation.m_counts.messages;
    simulation.send(self, node, [&simulation, self, node, message, finish] {
        if (simulation.m_nodes.at(node).isLost) {
            return;
        }
        if (!simulation.m_nodes.at(node).isRunning) {
            simulation.send(node, self, [finish] {
                finish(peer_ask_end::Gone, {});
            });
            return;
        }
        simulation.runOrDefer(node, simulation.m_nodes.at(node).incarnation, [&simulation, self, node, message, finish] {
            const crash_reply reply = simulation.m_nodes.at(node).crashes->serve(message);
            simulation.send(node, self, [finish, reply] {
                finish(peer_ask_end::Answered, reply);
            });
        });
    });
}

crash_simulation::crash_simulation(std::uint64_t seed, const crash_play &play)
    : m_random(seed)
    , m_play(play)
    , m_servers(serverCount)
{
    for (int i = 0; i < nodeCount; ++i) {
        m_nodes["n-" + std::to_string(i)].zone = zoneName(i);
    }
    for (const auto &[name, each] : m_nodes) {
        start(name);
    }
}

crash_counts crash_simulation::run(duration length)
{
    m_end = m_world.now() + length;
    for (const auto &[name, each] : m_nodes) {
        schedulePing(name);
    }
    scheduleInnocent();
    for (int i = 0; i < m_play.crashingRequests; ++i) {
        m_contents.push_back({ identify({ 7, 100 }, "crash-" + std::to_string(i)), true, 0, {}, 0 });
        m_world.after(randomSpan(1, 3), [this, content = m_contents.size() - 1] {
            repeatCrashing(content);
        });
    }
    if (m_play.hasFaults) {
        scheduleFault();
    }
    if (m_play.hasLosses) {
        scheduleLosses();
    }
    m_world.runUntil(m_end);
    for (const content &each : m_contents) {
        m_counts.largestRetries = std::max(m_counts.largestRetries, each.countedRetries);
    }
    return m_counts;
}

void crash_simulation::start(const std::string &name)
{
    node &each = m_nodes.at(name);
    ++each.incarnation;
    each.isRunning = true;
    each.loop = std::make_unique<crash_node_loop>(*this, name, each.incarnation);
    each.peers = std::make_unique<simulated_crash_peers>(*this, name);
    crash_client_actions actions;
    actions.persist = [this](const crash_record &record) {
        ++m_counts.persists;
        m_world.after(5ms, [this, record] {
            m_stored.merge(m_world.now(), record);
        });
    };
    actions.forget = [](std::uint64_t) {};
    actions.onChange = [](const crash_record &) {};
    each.crashes = std::make_shared<client>(*each.peers, *each.loop, name, actions, m_play.options);
    setNodes(name);
    each.isReady = false;
    each.loop->after(50ms, [this, name] {
        m_nodes.at(name).isReady = true;
        for (const crash_record &record : m_stored.sharedRecords(m_world.now())) {
            if (m_play.form == crash_form::Shared) {
                m_nodes.at(name).crashes->mergeStored(record);
            }
        }
    });
}

void crash_simulation::setNodes(const std::string &name)
{
    std::map<std::string, store_peer> list;
    for (const auto &[other, known] : m_nodes) {
        const bool isListed = !known.isLost || !m_haveLostNodesLeftList;
        if (other == name || (m_play.form == crash_form::Shared && isListed)) {
            list[other].zone = known.zone;
        }
    }
    m_nodes.at(name).crashes->setNodes(list);
}

/** Loses nodes for good, those that keep the request first. They leave the list of nodes later. */
void crash_simulation::loseNodes(const content &crashing)
{
    std::vector<std::string> lost = m_nodes.begin()->second.crashes->keepersOf(crashing.identity.digest);
    while (lost.size() < static_cast<std::size_t>(m_play.lostNodes)) {
        if (const std::string name = randomNode(); std::ranges::find(lost, name) == lost.end()) {
            lost.push_back(name);
        }
    }
    for (const std::string &name : lost) {
        node &each = m_nodes.at(name);
        each.isLost = true;
        each.isRunning = each.isReady = false;
        each.disturbedUntil = m_end;
    }
    m_play.lostNodes = 0;
    m_world.after(timeUntilListLacksLostNodes, [this] {
        m_haveLostNodesLeftList = true;
        for (const auto &[name, each] : m_nodes) {
            if (each.isRunning) {
                setNodes(name);
            }
        }
    });
}

void crash_simulation::runOrDefer(const std::string &name, int incarnation, std::function<void()> action)
{
    const node &each = m_nodes.at(name);
    if (!each.isRunning || each.incarnation != incarnation) {
        return;
    }
    if (each.frozenUntil > m_world.now()) {
        m_world.at(each.frozenUntil, [this, name, incarnation, action = std::move(action)] {
            runOrDefer(name, incarnation, action);
        });
        return;
    }
    action();
}

void crash_simulation::send(const std::string &from, const std::string &to, std::function<void()> arrive)
{
    if (!m_cuts.contains({ from, to })) {
        m_world.after(randomSpan(minLinkSeconds, maxLinkSeconds), std::move(arrive));
    }
}

/** Compares what two nodes know, as a ping and its answer carry it. */
void crash_simulation::schedulePing(const std::string &name)
{
    m_world.after(pingInterval, [this, name] {
        schedulePing(name);
        const std::string peer = randomNode();
        if (m_play.form != crash_form::Shared || m_nodes.at(peer).zone == m_nodes.at(name).zone || !m_nodes.at(peer).isRunning) {
            return;
        }
        send(name, peer, [this, name, peer] {
            runOrDefer(peer, m_nodes.at(peer).incarnation, [this, name, peer] {
                const std::uint64_t hash = m_nodes.at(peer).crashes->stateHash();
                send(peer, name, [this, name, peer, hash] {
                    runOrDefer(name, m_nodes.at(name).incarnation, [this, name, peer, hash] {
                        if (hash != m_nodes.at(name).crashes->stateHash()) {
                            m_nodes.at(name).crashes->exchangeWith(peer);
                        }
                    });
                });
            });
        });
    });
}

std::string crash_simulation::randomNode()
{
    return std::next(m_nodes.begin(), static_cast<std::ptrdiff_t>(m_random.below(m_nodes.size())))->first;
}

void crash_simulation::scheduleInnocent()
{
    m_world.after(randomSpan(0, 2 * innocentPauseSeconds), [this] {
        if (m_world.now() + 2 * innocentDeadline < m_end) {
            m_contents.push_back({ identify({ 7, 100 }, "note-" + std::to_string(m_contents.size())), false, 0, {}, 0 });
            ++m_counts.innocent;
            sendInnocent(m_contents.size() - 1, 1);
        }
        scheduleInnocent();
    });
}

void crash_simulation::sendInnocent(std::size_t content, int repeatsLeft)
{
    arrive(content, [this, content, repeatsLeft](bool isServed, bool isRefused) {
        if (isServed) {
            ++m_counts.innocentServed;
        } else if (repeatsLeft > 0) {
            m_world.after(50ms, [this, content, repeatsLeft] {
                sendInnocent(content, repeatsLeft - 1);
            });
        } else if (isRefused) {
            ++m_counts.innocentRefused;
        }
    });
}

/** Repeats a crashing request after each answer or a moment later, so that several repeats may be under way. */
void crash_simulation::repeatCrashing(std::size_t content)
{
    arrive(content, [this](bool, bool) {
        ++m_counts.crashingAnswers;
    });
    m_world.after(randomSpan(0.05, 0.3), [this, content] {
        repeatCrashing(content);
    });
}

/** A client attempt arrives at a node that takes requests; if none does, it is not answered. */
void crash_simulation::arrive(std::size_t content, std::function<void(bool, bool)> onAnswer)
{
    std::string name = randomNode();
    for (int i = 0; i < nodeCount && !m_nodes.at(name).isReady; ++i) {
        name = randomNode();
    }
    if (!m_nodes.at(name).isReady) {
        return;
    }
    const auto request = std::make_shared<client_attempt>();
    request->content = content;
    request->node = name;
    request->incarnation = m_nodes.at(name).incarnation;
    request->asker = name + "/" + std::to_string(++m_nextNumber);
    request->startedAt = m_world.now();
    request->onAnswer = std::move(onAnswer);
    runOrDefer(name, request->incarnation, [this, request] {
        tryNext(request);
    });
}

void crash_simulation::tryNext(const std::shared_ptr<client_attempt> &request)
{
    client &crashes = *m_nodes.at(request->node).crashes;
    const request_identity identity = m_contents[request->content].identity;
    if (m_play.form == crash_form::Forgotten || !crashes.isSuspect(identity)) {
        sendToServer(request);
        return;
    }
    crashes.admit(identity, request->asker, [this, request](const crash_grant &grant) {
        request->hasGrant = grant.isGranted;
        grant.isGranted ? sendToServer(request) : request->onAnswer(false, true);
    });
}

/** Sends a request to a server chosen at random; one that is gone is found out at once. */
void crash_simulation::sendToServer(const std::shared_ptr<client_attempt> &request)
{
    const std::size_t index = m_random.below(m_servers.size());
    const bool isAvoided = m_nodes.at(request->node).avoidedUntil[index] > m_world.now();
    if (m_play.isDark && !m_servers[index].isRunning && !isAvoided) { // Sent on a connection that was there before.
        m_world.after(attemptLimit, [this, request, index, instance = m_servers[index].instance - 1] {
            runOrDefer(request->node, request->incarnation, [this, request, index, instance] {
                onUnanswered(request, index, instance);
            });
        });
        return;
    }
    if (isAvoided || !m_servers[index].isRunning || m_servers[index].running.size() >= slots) {
        if (!m_play.isDark && !m_servers[index].isRunning) {
            m_nodes.at(request->node).crashes->noteEnded("s-" + std::to_string(index), m_servers[index].instance - 1);
        }
        if (++request->tries > maxTries) {
            if (request->hasGrant) {
                m_nodes.at(request->node).crashes->release(m_contents[request->content].identity, request->asker);
            }
            request->onAnswer(false, false);
            return;
        }
        m_world.after(randomSpan(0.002, 0.02), [this, request] {
            runOrDefer(request->node, request->incarnation, [this, request] {
                sendToServer(request);
            });
        });
        return;
    }
    content &sent = m_contents[request->content];
    const bool isInTouch = m_nodes.at(request->node).disturbedUntil <= m_world.now();
    if (sent.isCrashing && sent.thirdEndAt && m_world.now() > *sent.thirdEndAt + contactTime && isInTouch) {
        ++sent.countedRetries;
    }
    const int number = ++m_nextNumber;
    server &each = m_servers[index];
    each.running.insert(number);
    m_attempts[number] = { request, index, each.instance };
    m_world.after(sent.isCrashing ? randomSpan(0.04, 0.12) : randomSpan(0.01, 0.06), [this, number, index, instance = each.instance] {
        finishAttempt(number, index, instance);
    });
}

void crash_simulation::finishAttempt(int number, std::size_t serverIndex, int instance)
{
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end() || m_servers[serverIndex].instance != instance) {
        return;
    }
    const std::shared_ptr<client_attempt> request = found->second.of;
    if (m_contents[request->content].isCrashing) {
        endServer(serverIndex, request->content);
        return;
    }
    m_attempts.erase(found);
    m_servers[serverIndex].running.erase(number);
    runOrDefer(request->node, request->incarnation, [this, request] {
        m_nodes.at(request->node).crashes->recordSurvival(m_contents[request->content].identity);
        request->onAnswer(m_world.now() - request->startedAt < innocentDeadline, false);
    });
}

/** Ends a server; all requests on it break off. */
void crash_simulation::endServer(std::size_t index, std::optional<std::size_t> cause)
{
    server &each = m_servers[index];
    if (!each.isRunning) {
        return;
    }
    if (cause) {
        ++m_counts.endsUnderCrashing;
        content &guilty = m_contents[*cause];
        if (++guilty.ends == 3) {
            guilty.thirdEndAt = m_world.now();
            if (m_play.lostNodes > 0) {
                loseNodes(guilty);
            }
        }
    }
    each.isRunning = false;
    const int instance = each.instance++;
    for (const int number : std::exchange(each.running, {})) {
        const auto found = m_attempts.find(number);
        const std::shared_ptr<client_attempt> request = found->second.of;
        m_attempts.erase(found);
        const duration untilKnown = m_play.isDark ? attemptLimit : randomSpan(2 * minLinkSeconds, 2 * maxLinkSeconds);
        m_world.after(untilKnown, [this, request, index, instance] {
            runOrDefer(request->node, request->incarnation, [this, request, index, instance] {
                m_play.isDark ? onUnanswered(request, index, instance) : onBroken(request, index, instance);
            });
        });
    }
    m_world.after(randomSpan(restartSeconds, restartSeconds * 1.2), [this, index] {
        m_servers[index].isRunning = true;
    });
}

void crash_simulation::onBroken(const std::shared_ptr<client_attempt> &request, std::size_t serverIndex, int instance)
{
    recordEnd(request, serverIndex, instance);
    request->hasGrant = false;
    goOn(request);
}

/** Handles an attempt that ran into its time limit. A request with a grant goes on once it is known that the server has ended, others at once. */
void crash_simulation::onUnanswered(const std::shared_ptr<client_attempt> &request, std::size_t serverIndex, int instance)
{
    m_nodes.at(request->node).avoidedUntil[serverIndex] = m_world.now() + avoidTime;
    const bool hadGrant = std::exchange(request->hasGrant, false);
    m_world.after(endProbeTime, [this, request, serverIndex, instance, hadGrant] {
        runOrDefer(request->node, request->incarnation, [this, request, serverIndex, instance, hadGrant] {
            recordEnd(request, serverIndex, instance);
            if (hadGrant) {
                goOn(request);
            }
        });
    });
    if (!hadGrant) {
        goOn(request);
    }
}

void crash_simulation::recordEnd(const std::shared_ptr<client_attempt> &request, std::size_t serverIndex, int instance)
{
    if (m_play.form != crash_form::Forgotten) {
        m_nodes.at(request->node).crashes->recordEnd(m_contents[request->content].identity, "s-" + std::to_string(serverIndex), instance);
    }
}

/** Goes on after an attempt that a server did not complete. */
void crash_simulation::goOn(const std::shared_ptr<client_attempt> &request)
{
    if (++request->runs >= maxAttempts) {
        request->onAnswer(false, false);
        return;
    }
    tryNext(request);
}

void crash_simulation::scheduleLosses()
{
    for (const double at : { 4.0, 4.8, 12.0 }) {
        m_world.after(fromSeconds(at), [this] {
            for (std::size_t i = 0; i < m_servers.size(); ++i) {
                if (m_random.chance(m_play.lossShare)) {
                    endServer(i, std::nullopt);
                }
            }
        });
    }
}

void crash_simulation::scheduleFault()
{
    m_world.after(randomSpan(0.5, 4), [this] {
        injectFault();
        scheduleFault();
    });
}

void crash_simulation::injectFault()
{
    const std::string name = randomNode();
    node &each = m_nodes.at(name);
    const duration length = randomSpan(0.2, 5);
    const std::uint64_t kind = m_random.below(4);
    each.disturbedUntil = std::max(each.disturbedUntil, m_world.now() + length + contactTime);
    if (kind == 0) { // Freeze.
        each.frozenUntil = std::max(each.frozenUntil, m_world.now() + length);
    } else if (kind == 1 && each.isRunning) { // Kill, and start again.
        each.isRunning = false;
        each.isReady = false;
        m_world.after(length, [this, name] {
            start(name);
        });
    } else if (kind == 2) { // All lose power at once.
        for (auto &[other, state] : m_nodes) {
            if (state.isRunning) {
                state.isRunning = false;
                state.isReady = false;
                state.disturbedUntil = std::max(state.disturbedUntil, m_world.now() + 2s + contactTime);
                m_world.after(2s, [this, other = other] {
                    start(other);
                });
            }
        }
    } else { // Cut from all other nodes.
        for (const auto &[other, unused] : m_nodes) {
            m_cuts.insert({ name, other });
            m_cuts.insert({ other, name });
        }
        m_world.after(length, [this, name] {
            std::erase_if(m_cuts, [&](const auto &cut) {
                return cut.first == name || cut.second == name;
            });
        });
    }
}

} // namespace reedtrail::testing
