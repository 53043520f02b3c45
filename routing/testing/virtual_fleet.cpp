// Every message is delayed by the network; a message to or from a stopped gate is lost. Load reports and cache events reach all gates with a delay of
// reportLag.

#include "routing/testing/virtual_fleet.h"

#include "base/cbor_codec.h"
#include "base/check.h"

#include <algorithm>
#include <utility>

namespace reedtrail::testing {

namespace {

constexpr std::uint32_t baselineAttempts = 3;
constexpr std::uint64_t attemptsPerRequest = 16; ///< Number of attempts for which a request's work ids leave room.
const pool_id poolName("p");

std::size_t indexIn(std::string_view id)
{
    return static_cast<std::size_t>(std::stoul(std::string(id.substr(1))));
}

template<class Id>
Id makeId(char letter, std::size_t index)
{
    return Id(letter + std::to_string(index));
}

} // namespace

virtual_fleet::virtual_fleet(harness::virtual_time &world, fleet_setup setup, std::uint64_t seed)
    : m_world(world)
    , m_setup(std::move(setup))
    , m_random(seed)
    , m_inTransit(m_setup.servers, 0)
{
    for (std::uint32_t index = 0; index < m_setup.servers; ++index) {
        m_servers.push_back(std::make_unique<harness::fake_server>(world, m_setup.server));
    }
    const fleet_document document = makeDocument();
    std::vector<usage_member> members;
    for (std::uint32_t index = 0; index < m_setup.gates; ++index) {
        auto gate = std::make_unique<gate_state>();
        gate->node = makeId<node_id>('n', index);
        gate->zone = makeId<zone_id>('z', index % m_setup.zones);
        members.push_back({ gate->node, gate->zone });
        gate->scheduler = std::make_unique<request_scheduler>(m_setup.scheduler, gate->zone, m_random.next());
        gate->scheduler->applyDocument(world.now(), document, {}, gate->actions);
        gate->tree = std::make_unique<usage_tree>(usage_tree_options{}, gate->node, gate->zone);
        gate->sums = std::make_unique<open_request_aggregator>(open_request_aggregator_options{}, gate->node);
        gate->reportedLoad.assign(m_setup.servers, 0);
        m_gates.push_back(std::move(gate));
    }
    for (const auto &gate : m_gates) {
        gate->tree->setMembers(members);
    }
}

virtual_fleet::~virtual_fleet() = default;

fleet_document virtual_fleet::makeDocument() const
{
    fleet_document document;
    for (std::size_t index = 0; index < m_setup.customerWeights.size(); ++index) {
        customer_settings customer;
        customer.id = makeId<customer_id>('c', index);
        customer.weight = m_setup.customerWeights[index];
        customer.maximumQueued = 100000;
        document.customers.push_back(customer);
    }
    pool_settings pool;
    pool.id = poolName;
    for (std::uint32_t index = 0; index < m_setup.servers; ++index) {
        server_settings server;
        server.id = makeId<server_id>('s', index);
        server.zone = makeId<zone_id>('z', index % m_setup.zones);
        server.slots = m_setup.server.slots;
        pool.servers.push_back(server);
    }
    document.pools.push_back(pool);
    return document;
}

void virtual_fleet::start()
{
    for (std::uint32_t index = 0; index < m_setup.servers; ++index) {
        m_world.after(fromSeconds(toSeconds(m_setup.reportPeriod) * m_random.unit()), [this, index] {
            reportLoad(index);
        });
        if (m_setup.policy == routing_policy::Scheduler) {
            m_servers[index]->onCache([this, index](std::uint64_t hash, bool isStored) {
                const bool isLost = m_random.chance(m_setup.cacheEventGap);
                m_world.after(m_setup.reportLag, [this, index, hash, isStored, isLost] {
                    const server_id server = makeId<server_id>('s', index);
                    const cache_event_kind kind = isLost ? cache_event_kind::Gap : (isStored ? cache_event_kind::Stored : cache_event_kind::Removed);
                    for (const auto &gate : m_gates) {
                        gate->scheduler->onCacheEvent(m_world.now(), server, hash, kind);
                    }
                });
            });
        }
    }
    if (m_setup.policy != routing_policy::Scheduler) {
        return;
    }
    for (std::uint32_t index = 0; index < m_setup.gates; ++index) {
        m_world.after(fromSeconds(toSeconds(usage_tree_options{}.period) * m_random.unit()), [this, index] {
            tickUsage(index);
        });
        armTimer(index);
        if (m_setup.hasOpenSums) {
            m_world.after(fromSeconds(toSeconds(m_setup.openSumsPeriod) * m_random.unit()), [this, index] {
                tickOpenSums(index);
            });
        }
    }
}

void virtual_fleet::tickOpenSums(std::uint32_t index)
{
    gate_state &gate = *m_gates[index];
    if (!gate.isUp) {
        return;
    }
    m_world.after(m_setup.openSumsPeriod, [this, index] {
        tickOpenSums(index);
    });
    const open_report whole = gate.scheduler->makeOpenReport(gate.node);
    const open_total total = gate.sums->total(m_world.now());
    const std::size_t totalBytes = encodeMessage(total).size();
    for (std::uint32_t other = 0; other < m_gates.size(); ++other) {
        open_report part{ whole.node, whole.sequence, {} };
        for (std::size_t server = other; server < whole.open.size(); server += m_gates.size()) {
            part.open.push_back(whole.open[server]);
        }
        m_openSumBytes += encodeMessage(part).size() + totalBytes;
        if (gate.isIsolated != m_gates[other]->isIsolated || (gate.isIsolated && other != index)) {
            continue;
        }
        m_world.after(other == index ? duration{} : 2 * m_setup.networkDelay, [this, other, part = std::move(part), total] {
            gate_state &receiver = *m_gates[other];
            if (receiver.isUp) {
                receiver.sums->onReport(m_world.now(), part);
                receiver.scheduler->onOpenTotal(m_world.now(), total, receiver.actions);
                perform(other);
            }
        });
    }
}

duration virtual_fleet::delayBetween(std::uint32_t gate, std::uint32_t server) const
{
    return gate % m_setup.zones == server % m_setup.zones ? m_setup.networkDelay : 2 * m_setup.networkDelay;
}

std::size_t virtual_fleet::submit(std::uint32_t gate, fleet_request request)
{
    if (!m_gates[gate]->isUp) {
        return SIZE_MAX;
    }
    const std::size_t index = m_records.size();
    request_record record;
    record.gate = gate;
    record.customer = request.customer;
    record.blocks = static_cast<std::uint32_t>(request.prefixHashes.size());
    record.isIdempotent = request.isIdempotent;
    record.arrivedAt = m_world.now();
    record.deadline = m_world.now() + request.deadline;
    m_records.push_back(record);
    m_open.push_back({ std::move(request), 0 });
    if (m_setup.policy != routing_policy::Scheduler) {
        sendByBaseline(index);
        return index;
    }
    const fleet_request &submitted = m_open[index].request;
    arriving_request arriving;
    arriving.id = makeId<request_id>('r', index);
    arriving.customer = makeId<customer_id>('c', submitted.customer);
    arriving.pool = poolName;
    arriving.isInteractive = submitted.isInteractive;
    arriving.deadline = record.deadline;
    arriving.prefixHashes = submitted.prefixHashes;
    arriving.isIdempotent = submitted.isIdempotent;
    arriving.run = run_id(submitted.run);
    arriving.expectedTokens = submitted.expectedTokens;
    m_gates[gate]->scheduler->onArrival(m_world.now(), std::move(arriving), m_gates[gate]->actions);
    perform(gate);
    return index;
}

void virtual_fleet::perform(std::uint32_t gate)
{
    gate_state &state = *m_gates[gate];
    for (const request_action &action : state.actions) {
        if (const auto *sent = std::get_if<dispatch_request>(&action)) {
            send(indexIn(sent->request.view()), static_cast<std::uint32_t>(indexIn(sent->server.view())), sent->attempt, sent->enginePriority);
        } else if (const auto *refused = std::get_if<refuse_request>(&action)) {
            const std::size_t index = indexIn(refused->request.view());
            m_records[index].retryAfter = refused->retryAfter;
            finish(index, false, refused->kind);
        } else if (const auto *cancelled = std::get_if<cancel_attempt>(&action)) {
            const auto server = static_cast<std::uint32_t>(indexIn(cancelled->server.view()));
            const std::uint64_t work = indexIn(cancelled->request.view()) * attemptsPerRequest + cancelled->attempt;
            m_world.after(delayBetween(gate, server), [this, server, work] {
                m_servers[server]->cancel(work);
            });
        }
    }
    state.actions.clear();
    armTimer(gate);
}

void virtual_fleet::armTimer(std::uint32_t gate)
{
    gate_state &state = *m_gates[gate];
    const time_point due = state.scheduler->nextDeadline();
    if (!state.isUp || due == timeNever || (state.timerAt > m_world.now() && state.timerAt <= due)) {
        return;
    }
    state.timerAt = std::max(due, m_world.now());
    m_world.at(state.timerAt, [this, gate, due = state.timerAt] {
        gate_state &owner = *m_gates[gate];
        if (!owner.isUp || owner.timerAt != due) {
            return;
        }
        owner.timerAt = timeNever;
        owner.scheduler->onTimer(m_world.now(), owner.actions);
        perform(gate);
    });
}

void virtual_fleet::send(std::size_t index, std::uint32_t server, std::uint32_t attempt, std::int32_t priority)
{
    request_record &record = m_records[index];
    ++record.attempts;
    const std::uint32_t gate = record.gate;
    const duration delay = delayBetween(gate, server);
    harness::fake_work work;
    work.id = index * attemptsPerRequest + attempt;
    work.priority = priority;
    work.tokens = m_open[index].request.tokens;
    work.promptBlocks = m_open[index].request.promptBlocks;
    work.prefixHashes = m_open[index].request.prefixHashes;
    work.onStart = [this, index, server] {
        ++m_records[index].starts;
        REEDTRAIL_CHECK(m_setup.policy != routing_policy::Scheduler || m_records[index].isIdempotent || m_records[index].starts == 1,
                        "a non-idempotent request runs at most once");
        if (onStart) {
            onStart(index, server);
        }
    };
    work.onFirstToken = [this, index, gate, delay](std::uint32_t cached) {
        m_world.after(delay, [this, index, gate, cached] {
            if (!m_gates[gate]->isUp || m_records[index].ends > 0) {
                return;
            }
            m_records[index].firstTokenAt = m_world.now();
            m_records[index].cached = cached;
            if (m_setup.policy == routing_policy::Scheduler) {
                m_gates[gate]->scheduler->onFirstToken(m_world.now(), makeId<request_id>('r', index));
            }
        });
    };
    work.onEnd = [this, index, server, attempt, delay](harness::fake_end end) {
        m_world.after(delay, [this, index, server, attempt, end] {
            onServerEnd(index, server, attempt, end);
        });
    };
    ++m_inTransit[server];
    m_world.after(delay, [this, server, work = std::move(work)]() mutable {
        --m_inTransit[server];
        m_servers[server]->submit(std::move(work));
    });
}

void virtual_fleet::onServerEnd(std::size_t index, std::uint32_t, std::uint32_t attempt, harness::fake_end end)
{
    request_record &record = m_records[index];
    gate_state &gate = *m_gates[record.gate];
    if (!gate.isUp) {
        return;
    }
    if (m_setup.policy == routing_policy::Scheduler) {
        const attempt_end how = end == harness::fake_end::Answered ? attempt_end::Answered
            : end == harness::fake_end::Refused                    ? attempt_end::NotStarted
                                                                   : attempt_end::Failed;
        const bool isOpen = record.ends == 0;
        gate.scheduler->onAttemptEnd(m_world.now(), makeId<request_id>('r', index), attempt, how, gate.actions);
        if (how == attempt_end::Answered && isOpen) {
            finish(index, true, error_kind::None);
        }
        perform(record.gate);
        return;
    }
    if (end == harness::fake_end::Answered) {
        finish(index, true, error_kind::None);
    } else if (m_setup.hasRetries && record.attempts < baselineAttempts) {
        sendByBaseline(index);
    } else {
        finish(index, false, error_kind::ServerFailed);
    }
}

void virtual_fleet::finish(std::size_t index, bool isAnswered, error_kind kind)
{
    request_record &record = m_records[index];
    ++record.ends;
    REEDTRAIL_CHECK(record.ends == 1, "a request ends exactly once");
    REEDTRAIL_CHECK(record.starts == 0 || isAnswered || answerFor(kind).outcome != request_outcome::NotRun, "a request reported as not run was not started");
    record.isAnswered = isAnswered;
    record.refused = kind;
    record.endedAt = m_world.now();
    if (onEnd) {
        onEnd(index);
    }
}

void virtual_fleet::reportLoad(std::uint32_t server)
{
    m_world.after(m_setup.reportPeriod, [this, server] {
        reportLoad(server);
    });
    if (!m_servers[server]->isUp()) {
        return;
    }
    const harness::fake_load load = m_servers[server]->load();
    m_world.after(m_setup.reportLag, [this, server, load] {
        server_load report;
        report.server = makeId<server_id>('s', server);
        report.waiting = load.waiting;
        report.running = load.running;
        report.slots = m_servers[server]->slots();
        report.sequence = load.sequence;
        for (std::uint32_t gate = 0; gate < m_gates.size(); ++gate) {
            gate_state &state = *m_gates[gate];
            if (!state.isUp) {
                continue;
            }
            if (m_setup.policy != routing_policy::Scheduler) {
                state.reportedLoad[server] = static_cast<double>(load.waiting + load.running);
                continue;
            }
            state.scheduler->onLoad(m_world.now(), report, state.actions);
            perform(gate);
        }
    });
}

void virtual_fleet::tickUsage(std::uint32_t index)
{
    gate_state &gate = *m_gates[index];
    if (!gate.isUp) {
        return;
    }
    m_world.after(usage_tree_options{}.period, [this, index] {
        tickUsage(index);
    });
    std::vector<usage_send> sends;
    gate.tree->setLocalUsage(gate.scheduler->makeUsageReport(gate.node));
    gate.tree->tick(m_world.now(), sends);
    deliverUsage(index, sends);
}

void virtual_fleet::deliverUsage(std::uint32_t from, const std::vector<usage_send> &sends)
{
    for (const usage_send &each : sends) {
        m_usageBytes += std::visit(
            [](const auto &message) {
                return encodeMessage(message).size();
            },
            each.message);
        const auto to = static_cast<std::uint32_t>(indexIn(each.to.view()));
        if (m_gates[from]->isIsolated || m_gates[to]->isIsolated) {
            continue;
        }
        m_world.after(2 * m_setup.networkDelay, [this, to, message = each.message] {
            gate_state &gate = *m_gates[to];
            if (!gate.isUp) {
                return;
            }
            std::vector<usage_send> forwarded;
            if (const auto *report = std::get_if<usage_report>(&message)) {
                gate.tree->onReport(m_world.now(), *report);
            } else if (const auto *zone = std::get_if<zone_usage>(&message)) {
                gate.tree->onZoneUsage(m_world.now(), *zone);
            } else {
                gate.tree->onTotal(m_world.now(), std::get<usage_total>(message), forwarded);
            }
            deliverUsage(to, forwarded);
        });
    }
    gate_state &own = *m_gates[from];
    if (const std::optional<usage_total> total = own.tree->takeTotal()) {
        own.scheduler->onUsageTotal(m_world.now(), *total, own.actions);
        perform(from);
    }
}

void virtual_fleet::killGate(std::uint32_t gate)
{
    m_gates[gate]->isUp = false;
    for (std::size_t index = 0; index < m_records.size(); ++index) {
        if (m_records[index].gate == gate && m_records[index].ends == 0) {
            finish(index, false, error_kind::ServerFailed);
        }
    }
}

void virtual_fleet::isolateGate(std::uint32_t gate, bool isIsolated)
{
    m_gates[gate]->isIsolated = isIsolated;
}

void virtual_fleet::crashServer(std::uint32_t server)
{
    m_servers[server]->crash();
}

void virtual_fleet::restartServer(std::uint32_t server)
{
    m_servers[server]->restart();
}

double virtual_fleet::busySeconds() const
{
    double sum = 0;
    for (const auto &server : m_servers) {
        sum += server->busySeconds();
    }
    return sum;
}

// Baseline policies.

void virtual_fleet::sendByBaseline(std::size_t index)
{
    const std::uint32_t server = chooseByBaseline(m_records[index].gate, m_open[index].request);
    send(index, server, m_records[index].attempts + 1, 0);
}

std::uint32_t virtual_fleet::chooseByBaseline(std::uint32_t gate, const fleet_request &request)
{
    gate_state &state = *m_gates[gate];
    const auto randomServer = [this] {
        return static_cast<std::uint32_t>(m_random.below(m_setup.servers));
    };
    switch (m_setup.policy) {
    case routing_policy::RoundRobin:
        state.nextServer = state.nextServer == 0 ? randomServer() : state.nextServer;
        return state.nextServer++ % m_setup.servers;
    case routing_policy::LeastReported:
        return static_cast<std::uint32_t>(std::ranges::min_element(state.reportedLoad) - state.reportedLoad.begin());
    case routing_policy::PowerOfTwo: {
        const std::uint32_t first = randomServer();
        const std::uint32_t second = randomServer();
        return state.reportedLoad[first] <= state.reportedLoad[second] ? first : second;
    }
    case routing_policy::Omniscient:
        return chooseOmniscient(request);
    case routing_policy::Random:
    case routing_policy::Scheduler:
        break;
    }
    return randomServer();
}

std::uint32_t virtual_fleet::chooseOmniscient(const fleet_request &request)
{
    std::uint32_t best = 0;
    double least = 0;
    for (std::uint32_t index = 0; index < m_setup.servers; ++index) {
        const harness::fake_server &server = *m_servers[index];
        const double ahead = static_cast<double>(server.running() + server.waiting()) + m_inTransit[index] + 1;
        const double service = request.tokens * m_setup.server.secondsPerToken;
        const auto slots = static_cast<double>(server.slots());
        const double wait = std::max(0.0, ahead - slots) * service / slots;
        const double prefill = (request.promptBlocks - server.cachedBlocks(request.prefixHashes)) * m_setup.server.prefillSecondsPerBlock;
        const double cost = (wait + prefill + 1e-4 * ahead / slots) * server.slowFactor();
        if (index == 0 || cost < least) {
            least = cost;
            best = index;
        }
    }
    return best;
}

} // namespace reedtrail::testing
