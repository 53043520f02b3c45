#include "fleet/testing/limit_simulation.h"

namespace reedtrail::testing {

using namespace std::chrono_literals;

namespace {

constexpr int zoneCount = 3;
constexpr int nodeCount = 8;
constexpr int serverCount = 3;
constexpr duration askTimeout = 150ms;
constexpr double nodeListLagSeconds = 7; // Registrations are read each 4 s, from a reader whose state is 3 s old at most.
constexpr duration toldTime = 500ms; // Requests of a node count from then on after it was told a limit.
constexpr double minLinkSeconds = 0.0005;
constexpr double maxLinkSeconds = 0.003;

std::string zoneName(int index)
{
    return "zone-" + std::to_string(index % zoneCount);
}

} // namespace

time_point limited_node_loop::now() const
{
    return m_simulation.m_world.now();
}

void limited_node_loop::after(duration delay, std::function<void()> action)
{
    m_simulation.m_world.after(delay, [this, action = std::move(action), &simulation = m_simulation, node = m_node, incarnation = m_incarnation] {
        simulation.runOrDefer(node, incarnation, action);
    });
}

void simulated_limit_peers::ask(const std::string &node, const limit_asks &question, std::function<void(limit_ask_end, const limit_replies &)> onEnd)
{
    limit_simulation &simulation = m_simulation;
    const std::string self = m_node;
    const int incarnation = simulation.m_nodes.at(self).incarnation;
    const auto isPending = std::make_shared<bool>(true);
    const auto finish = [&simulation, self, incarnation, isPending, onEnd](limit_ask_end end, const limit_replies &answer) {
        if (std::exchange(*isPending, false)) {
            simulation.runOrDefer(self, incarnation, [onEnd, end, answer] {
                onEnd(end, answer);
            });
        }
    };
    simulation.m_world.after(askTimeout, [finish] {
        finish(limit_ask_end::Silent, {});
    });
    ++simulation.m_messages;
    simulation.send(self, node, [&simulation, self, node, question, finish] {
        if (!simulation.m_nodes.at(node).isRunning) {
            simulation.send(node, self, [finish] {
                finish(limit_ask_end::Gone, {});
            });
            return;
        }
        simulation.runOrDefer(node, simulation.m_nodes.at(node).incarnation, [&simulation, self, node, question, finish] {
            const limit_replies answer = simulation.m_nodes.at(node).limits->serve(question, [&simulation](const std::string &server) {
                return simulation.m_servers.at(server).zone;
            });
            simulation.send(node, self, [finish, answer] {
                finish(limit_ask_end::Answered, answer);
            });
        });
    });
}

limit_simulation::limit_simulation(std::uint64_t seed, limit_form form, bool hasFaults)
    : m_random(seed)
    , m_form(form)
    , m_hasFaults(hasFaults)
{
    for (int i = 0; i < serverCount; ++i) {
        server &each = m_servers["s-" + std::to_string(i)];
        each.zone = zoneName(i);
        each.limits.push_back({ time_point(), 0 });
    }
    for (int i = 0; i < nodeCount; ++i) {
        m_nodes["n-" + std::to_string(i)].zone = zoneName(i);
    }
    for (auto &[name, each] : m_nodes) {
        start(name, false);
    }
}

void limit_simulation::run(duration length)
{
    m_end = m_world.now() + length;
    for (const auto &[name, each] : m_nodes) {
        scheduleRequests(name);
    }
    for (const auto &[name, each] : m_servers) {
        scheduleLimit(name);
    }
    if (m_hasFaults) {
        scheduleFault();
    }
    m_world.runUntil(m_end);
}

void limit_simulation::start(const std::string &name, bool wasRegistered)
{
    node &each = m_nodes.at(name);
    ++each.incarnation;
    each.isRunning = true;
    each.toldAt.clear();
    each.loop = std::make_unique<limited_node_loop>(*this, name, each.incarnation);
    each.peers = std::make_unique<simulated_limit_peers>(*this, name);
    each.limits = std::make_shared<client>(*each.peers, *each.loop, name);
    setNodeList(name, wasRegistered);
}

/** Gives a node the nodes that are registered now; a node that is killed stays registered. */
void limit_simulation::setNodeList(const std::string &name, bool wasRegistered)
{
    std::map<std::string, store_peer> list;
    for (const auto &[other, each] : m_nodes) {
        if (m_form == limit_form::OneKeeper || other == name) {
            list[other].zone = each.zone;
        }
    }
    m_nodes.at(name).limits->setNodes(list, wasRegistered);
}

void limit_simulation::send(const std::string &from, const std::string &to, std::function<void()> arrive)
{
    if (!m_cuts.contains({ from, to })) {
        m_world.after(randomSpan(minLinkSeconds, maxLinkSeconds), std::move(arrive));
    }
}

void limit_simulation::runOrDefer(const std::string &name, int incarnation, std::function<void()> action)
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

/** Single urgent requests and bursts of others, with calm whiles between the bursts. */
void limit_simulation::scheduleRequests(const std::string &name)
{
    m_world.after(randomSpan(0.05, 0.6), [this, name] {
        const std::string target = "s-" + std::to_string(m_random.below(serverCount));
        const bool isUrgent = m_random.chance(0.6);
        const std::uint64_t count = isUrgent ? 1 : 1 + m_random.below(20);
        for (std::uint64_t i = 0; i < count; ++i) {
            runOrDefer(name, m_nodes.at(name).incarnation, [this, name, target, isUrgent] {
                request(name, target, isUrgent);
            });
        }
        scheduleRequests(name);
    });
}

void limit_simulation::request(const std::string &name, const std::string &target, bool isUrgent)
{
    const time_point askedAt = m_world.now();
    const limit_demand demand{ isUrgent, isUrgent ? duration(100ms) : duration(1s) };
    m_nodes.at(name).limits->admit({ target, 1, m_servers.at(target).zone }, demand, [this, name, target, isUrgent, askedAt](const limit_grant &grant) {
        if (isUrgent && m_nodes.at(name).disturbedUntil <= askedAt) {
            m_longestUrgentWait = std::max(m_longestUrgentWait, m_world.now() - askedAt);
        }
        ++(grant.isGranted ? m_sent : m_turnedAway)[isUrgent ? 1 : 0];
        if (grant.isGranted) {
            m_world.after(randomSpan(minLinkSeconds, maxLinkSeconds), [this, name, target, sentAt = m_world.now()] {
                deliver(name, target, sentAt);
            });
        }
    });
}

/** A request arrives at a server, whose answer names the limit of the moment at which it is made. */
void limit_simulation::deliver(const std::string &name, const std::string &target, time_point sentAt)
{
    const node &sender = m_nodes.at(name);
    const auto told = sender.toldAt.find(target);
    const bool isTold = told != sender.toldAt.end() && told->second + toldTime <= sentAt;
    server &each = m_servers.at(target);
    each.arrivals.push_back({ m_world.now(), isTold && sender.disturbedUntil <= sentAt });
    m_world.after(randomSpan(0.002, 0.2), [this, name, target, sentAt, incarnation = sender.incarnation] {
        const double rate = m_servers.at(target).limits.back().rate;
        m_world.after(randomSpan(minLinkSeconds, maxLinkSeconds), [this, name, target, sentAt, incarnation, rate] {
            runOrDefer(name, incarnation, [this, name, target, sentAt, rate] {
                node &receiver = m_nodes.at(name);
                receiver.limits->limits().record(target, 1, { rate, sentAt, m_world.now() });
                if (rate > 0) {
                    receiver.toldAt.emplace(target, m_world.now());
                } else {
                    receiver.toldAt.erase(target);
                }
            });
        });
    });
}

void limit_simulation::scheduleLimit(const std::string &name)
{
    m_world.after(randomSpan(5, 25), [this, name] {
        constexpr std::array<double, 6> rates = { 0, 0.8, 1, 2.5, 6, 15 };
        m_servers.at(name).limits.push_back({ m_world.now(), rates[m_random.below(rates.size())] });
        scheduleLimit(name);
    });
}

void limit_simulation::scheduleFault()
{
    m_world.after(randomSpan(0.5, 5), [this] {
        injectFault();
        scheduleFault();
    });
}

void limit_simulation::injectFault()
{
    const auto chosen = std::next(m_nodes.begin(), static_cast<std::ptrdiff_t>(m_random.below(m_nodes.size())));
    const std::string name = chosen->first;
    node &each = chosen->second;
    const duration length = randomSpan(0.2, 5);
    const std::uint64_t kind = m_random.below(5);
    if (kind == 0) { // Freeze.
        each.frozenUntil = std::max(each.frozenUntil, m_world.now() + length);
        disturb(each, length);
    } else if (kind == 1 && each.isRunning) { // Kill, and start again.
        each.isRunning = false;
        disturb(each, length);
        m_world.after(length, [this, name] {
            start(name, true);
        });
    } else if (kind == 2) { // Cut between two nodes, of which both stay in touch with everything else.
        const auto other = std::next(m_nodes.begin(), static_cast<std::ptrdiff_t>(m_random.below(m_nodes.size())));
        const std::pair link(name, other->first);
        const std::pair back(other->first, name);
        m_cuts.insert(link);
        m_cuts.insert(back);
        m_world.after(length, [this, link, back] {
            m_cuts.erase(link);
            m_cuts.erase(back);
        });
    } else if (kind == 3 && m_nodes.size() < 2 * nodeCount) { // A node joins; the others learn of it at different times.
        const std::string joined = "n-" + std::to_string(m_nodes.size());
        m_nodes[joined].zone = zoneName(static_cast<int>(m_random.below(zoneCount)));
        start(joined, false);
        scheduleRequests(joined);
        for (const auto &[other, unused] : m_nodes) {
            m_world.after(randomSpan(0, nodeListLagSeconds), [this, other = other] {
                setNodeList(other, false);
            });
        }
    } else { // Cut from all other nodes.
        for (const auto &[other, unused] : m_nodes) {
            m_cuts.insert({ name, other });
            m_cuts.insert({ other, name });
        }
        disturb(each, length);
        m_world.after(length, [this, name] {
            std::erase_if(m_cuts, [&](const auto &cut) {
                return cut.first == name || cut.second == name;
            });
        });
    }
}

void limit_simulation::disturb(node &each, duration length)
{
    each.disturbedUntil = std::max(each.disturbedUntil, m_world.now() + length + contactTime);
}

/** Returns how many requests a server bears in the window, or a negative number if no limit was in force all the while. */
double limit_simulation::allowedIn(const server &each, time_point from) const
{
    const time_point end = from + window;
    double allowed = toleratedRequests;
    for (std::size_t i = 0; i < each.limits.size(); ++i) {
        const time_point since = each.limits[i].at;
        const time_point until = i + 1 < each.limits.size() ? each.limits[i + 1].at : timeNever;
        const bool isNew = i == 0 || each.limits[i - 1].rate != each.limits[i].rate;
        const duration overlap = std::min(until, end) - std::max(since, from);
        if (overlap <= duration::zero()) {
            continue;
        }
        if (each.limits[i].rate == 0 || (isNew && since + contactTime > from)) {
            return -1;
        }
        allowed += tolerance * each.limits[i].rate * toSeconds(overlap);
    }
    return allowed;
}

std::vector<broken_limit> limit_simulation::brokenLimits() const
{
    std::vector<broken_limit> broken;
    for (const auto &[name, each] : m_servers) {
        for (std::size_t first = 0; first < each.arrivals.size(); ++first) {
            const time_point from = each.arrivals[first].at;
            const double allowed = allowedIn(each, from);
            if (allowed < 0) {
                continue;
            }
            std::size_t counted = 0;
            for (std::size_t i = first; i < each.arrivals.size() && each.arrivals[i].at < from + window; ++i) {
                counted += each.arrivals[i].isCounted ? 1 : 0;
            }
            m_checked += counted;
            if (static_cast<double>(counted) > allowed) {
                broken.push_back({ name, from, counted, allowed });
            }
        }
    }
    return broken;
}

double limit_simulation::usedShare() const
{
    double places = 0;
    std::size_t used = 0;
    for (const auto &[name, each] : m_servers) {
        for (std::size_t i = 0; i < each.limits.size(); ++i) {
            const time_point since = each.limits[i].at + contactTime;
            const time_point until = i + 1 < each.limits.size() ? each.limits[i + 1].at : m_end;
            if (each.limits[i].rate == 0 || until <= since) {
                continue;
            }
            places += each.limits[i].rate * toSeconds(until - since);
            used += static_cast<std::size_t>(std::ranges::count_if(each.arrivals, [&](const arrival &one) {
                return one.at >= since && one.at < until;
            }));
        }
    }
    return places > 0 ? static_cast<double>(used) / places : 0;
}

} // namespace reedtrail::testing
