// Runs the state machines of membership and settings, and publishes their state to the other services and to the gate of this node. Everything here runs on
// the control thread: the actions of a state machine are performed at once, and one timer waits for its next deadline.
//
// Duties (watching the settings, reading the VM list) are assigned anew at each change of the view, to the members of the zone that rank highest for the duty.
// Readers of the VM list share the leaving VMs as a fact, so only a few nodes read the platform's list, whatever the size of the fleet.

#include "steward/fleet_service.h"

#include "fleet/duties.h"
#include "kernel/log.h"
#include "steward/fleet_view_maker.h"
#include "steward/link_book.h"
#include "steward/settings_driver.h"
#include "steward/vm_list_reader.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr std::size_t settingsWatchersPerZone = 2;

/** If more nodes of a zone cannot reach the store, the store itself is presumably down rather than their connections to it. */
constexpr std::size_t maximumUnableNodesPerZone = 4;

/** Number of failed settings reads after which this node counts as unable to reach the store. */
constexpr std::uint64_t failedReadsUntilStoreUnreachable = 4;

/** Time that a link to a member stays open after the last message that needed it. */
constexpr duration peerLinkLifetime = std::chrono::seconds(30);

/** Time that a link requested by another service, or to this node's gate, stays open after the last request. */
constexpr duration serviceLinkLifetime = std::chrono::minutes(5);

constexpr duration maintenanceInterval = std::chrono::seconds(1);

/** Delay of a view update, within which further changes are merged into it. */
constexpr duration viewUpdateDelay = std::chrono::milliseconds(50);

constexpr duration settingsRequestTimeout = std::chrono::seconds(2);

/** Time between the leave messages and the end of the drain, so that the messages are sent before the bus stops. */
constexpr duration leaveMessageDelay = std::chrono::milliseconds(200);

/** The version of an owner's announcement is the epoch, followed by this many bits that order the announcements of one epoch. */
constexpr unsigned ownerVersionEpochShift = 24;

std::string addressText(const std::optional<endpoint> &where)
{
    return where ? where->text() : std::string();
}

member_info ownMemberInfo(const process_context &context)
{
    member_info info;
    info.node = context.settings.node;
    info.zone = context.settings.zone;
    info.region = context.settings.region;
    info.incarnation = context.processIncarnation;
    info.stewardAddress = context.settings.listen.stewardPeer.text();
    info.gateAddress = context.settings.listen.gatePeer.text();
    info.spoolAddress = addressText(context.settings.listen.spoolPeer);
    return info;
}

hello ownHello(const process_context &context)
{
    hello greeting;
    greeting.node = context.settings.node;
    greeting.zone = context.settings.zone;
    greeting.role = "steward";
    greeting.number = context.processIncarnation;
    greeting.peerAddress = context.settings.listen.stewardPeer.text();
    return greeting;
}

decision_kind decisionFor(member_state state)
{
    switch (state) {
    case member_state::Alive:
        return decision_kind::Joined;
    case member_state::Suspect:
        return decision_kind::Suspected;
    case member_state::Dead:
    case member_state::Left:
        return decision_kind::Left;
    }
    return decision_kind::Left;
}

} // namespace

struct fleet_service::implementation
{
    process_context context;
    peer_bus bus;
    link_book links;
    membership members;
    std::unique_ptr<settings_driver> settings;
    vm_list_reader vmList;
    boost::asio::steady_timer membershipTimer;
    boost::asio::steady_timer maintenanceTimer;
    boost::asio::steady_timer viewTimer;
    boost::asio::steady_timer leaveTimer;
    std::vector<std::function<void()>> changeListeners;
    std::vector<std::function<void(link_id)>> linkClosedListeners;
    std::vector<run_owner_view> owners;
    std::vector<server_id> leaving;
    std::vector<std::string> vmListAddresses;
    decision_log decisions;
    std::uint64_t factVersionCounter = 0;
    std::uint64_t viewsSent = 0;
    bool isViewUpdateScheduled = false;
    bool isStopped = false;

    explicit implementation(process_context &theContext)
        : context(theContext)
        , bus(theContext.control, busOptions(theContext))
        , links(bus, ownHello(theContext))
        , members({}, ownMemberInfo(theContext), theContext.processIncarnation)
        , vmList(theContext.control,
                 [this](const vm_list &list) {
                     onVmList(list);
                 })
        , membershipTimer(theContext.control)
        , maintenanceTimer(theContext.control)
        , viewTimer(theContext.control)
        , leaveTimer(theContext.control)
    {
    }

    static peer_bus_options busOptions(const process_context &context)
    {
        peer_bus_options options;
        options.seed = context.processIncarnation;
        options.transport.tls = context.settings.peerTls;
        return options;
    }

    void start(store_service &store)
    {
        settings_driver_handlers handlers;
        handlers.onAdopted = [this] {
            onSettingsAdopted();
        };
        handlers.askPeer = [this](const std::string &address) {
            requestSettings(address);
        };
        settings = std::make_unique<settings_driver>(context.control, store, context.settings.dataFolder, context.processIncarnation, std::move(handlers));
        registerHandlers();
        updateSeedAddresses();
        settings->start();
        updateDuties();
        runMaintenance();
        runMembershipTimer();
    }

    void registerHandlers()
    {
        bus.onMessage<heartbeat>([this](link_id, const heartbeat &received) {
            perform(members.onHeartbeat(monotonicNow(), received));
            settings->onPeerRevision(received.address, received.revision);
        });
        bus.onQuestion<settings_question, settings_record>([this](link_id, settings_question, const peer_bus::reply<settings_record> &reply) {
            const auto &record = settings->core().inForce();
            reply(record ? *record : settings_record{});
        });
        bus.onLinkClosed([this](link_id link, const std::string &) {
            links.removeClosedLink(link);
            for (const auto &action : linkClosedListeners) {
                action(link);
            }
        });
        links.onLinkUp([this](const std::string &address, link_id link) {
            handleLinkUp(address, link);
        });
    }

    void handleLinkUp(const std::string &address, link_id link)
    {
        if (address == members.self().gateAddress) {
            sendView(link);
            return;
        }
        const std::vector<std::string> wanted = members.wantedPeers();
        if (std::ranges::find(wanted, address) != wanted.end()) {
            perform(members.onLinkUp(monotonicNow(), address));
        }
    }

    void requestSettings(const std::string &address)
    {
        const std::optional<link_id> link = links.find(address);
        if (!link) {
            links.requestLink(monotonicNow(), address, peerLinkLifetime);
            return;
        }
        bus.ask<settings_record>(*link,
                                 settings_question{ settings->core().revision() },
                                 settingsRequestTimeout,
                                 [this](const std::optional<failure> &error, const settings_record &record) {
                                     if (!error && !isStopped) {
                                         settings->onRecord(record);
                                     }
                                 });
    }

    void onSettingsAdopted()
    {
        members.setRevision(monotonicNow(), settings->core().revision());
        const std::string revision = std::to_string(settings->core().revision());
        decisions.add({ monotonicNow(), decision_kind::Adopted, subject_kind::Change, revision, error_kind::None, settings->core().inForce()->summary });
        updateDuties();
        runMembershipTimer();
        scheduleViewUpdate();
    }

    /** Performs the actions of one membership step: sends messages, records changes and schedules the next timer. */
    void perform(const membership_step &step)
    {
        for (const membership_send &each : step.sends) {
            const std::optional<link_id> link = links.find(each.address);
            if (link) {
                bus.send(*link, *each.message);
            } else {
                links.requestLink(monotonicNow(), each.address, peerLinkLifetime);
            }
        }
        for (const membership_change &change : step.changes) {
            recordMembershipChange(change);
        }
        if (step.hasNewView) {
            updateDuties();
        }
        if (step.hasNewView || step.hasNewFacts) {
            scheduleViewUpdate();
        }
        scheduleMembershipTimer();
    }

    void recordMembershipChange(const membership_change &change)
    {
        const std::string subject = change.node.empty() ? "zone " + change.zone.str() : change.node.str();
        const std::string what =
            change.node.empty() ? (change.isReachable ? "reachable" : "unreachable") : std::string(decisionName(decisionFor(change.state)));
        logLine(log_level::Info, "membership", { { "subject", subject }, { "state", what }, { "cause", change.cause } });
        const decision_kind kind = change.node.empty() && !change.isReachable ? decision_kind::Left : decisionFor(change.state);
        decisions.add({ monotonicNow(), kind, subject_kind::Node, subject, error_kind::None, what + ": " + change.cause });
    }

    void runMembershipTimer()
    {
        perform(members.onTimer(monotonicNow()));
    }

    void scheduleMembershipTimer()
    {
        if (isStopped) {
            return;
        }
        membershipTimer.expires_after(std::max(duration{}, members.deadline() - monotonicNow()));
        membershipTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error && !isStopped) {
                runMembershipTimer();
            }
        });
    }

    void runMaintenance()
    {
        const time_point now = monotonicNow();
        for (const std::string &address : members.wantedPeers()) {
            links.requestLink(now, address, peerLinkLifetime);
        }
        links.requestLink(now, members.self().gateAddress, serviceLinkLifetime);
        links.closeExpiredLinks(now);
        updateStoreReachability();
        maintenanceTimer.expires_after(maintenanceInterval);
        maintenanceTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error && !isStopped) {
                runMaintenance();
            }
        });
    }

    /**
     * Announces whether this node can do duties that need the store.
     *
     * A node without the store announces this only while few members of its zone have. If more have, the store itself is presumably down, and the announced
     * state stays as it is.
     */
    void updateStoreReachability()
    {
        const bool isUnable = settings->core().failedReads() >= failedReadsUntilStoreUnreachable;
        const auto unable = std::ranges::count_if(members.reachable(), [&](const member_info &member) {
            return member.zone == members.self().zone && !member.isStoreReachable;
        });
        if (!isUnable) {
            members.setStoreReachable(true);
        } else if (unable < static_cast<std::ptrdiff_t>(maximumUnableNodesPerZone)) {
            members.setStoreReachable(false);
        }
    }

    bool hasDutyHere(std::string_view duty, std::size_t count) const
    {
        return hasDuty(duty, members.self().zone, members.reachable(), count, members.self().node);
    }

    void updateDuties()
    {
        settings->setWatcher(hasDutyHere("settings-watcher", settingsWatchersPerZone));
        const bool readsList = settings->document() && hasDutyHere("vm-list-reader", vmListReadersPerZone);
        vmList.setAddress(readsList ? settings->document()->vmListAddress : "");
    }

    void updateSeedAddresses()
    {
        std::vector<std::string> addresses = vmListAddresses;
        for (const endpoint &seed : context.settings.seeds) {
            addresses.push_back(seed.text());
        }
        members.setSeedAddresses(std::move(addresses));
    }

    void onVmList(const vm_list &list)
    {
        vmListAddresses = list.live;
        updateSeedAddresses();
        const std::string key = "leaving/" + members.self().node.str();
        const nlohmann::json value = list.leaving;
        const nlohmann::json *known = members.facts().find(key);
        if (known != nullptr ? *known != value : !list.leaving.empty()) {
            members.publishFact(monotonicNow(), key, context.processIncarnation + ++factVersionCounter, value);
            scheduleViewUpdate();
            scheduleMembershipTimer();
        }
    }

    void scheduleViewUpdate()
    {
        if (isViewUpdateScheduled || isStopped) {
            return;
        }
        isViewUpdateScheduled = true;
        viewTimer.expires_after(viewUpdateDelay);
        viewTimer.async_wait([this](const boost::system::error_code &error) {
            isViewUpdateScheduled = false;
            if (!error && !isStopped) {
                updateView();
            }
        });
    }

    void updateView()
    {
        leaving = settings->document() ? leavingServersOf(*settings->document(), members) : std::vector<server_id>();
        owners = runOwnersOf(members);
        if (const auto link = links.find(members.self().gateAddress)) {
            sendView(*link);
        }
        for (const auto &action : changeListeners) {
            action();
        }
    }

    void sendView(link_id link)
    {
        const bool isSent = bus.send(link, makeFleetView(members, settings->core().inForce().get(), leaving, owners));
        viewsSent += isSent ? 1 : 0;
    }

    std::optional<link_id> requestLinkTo(const std::string &address)
    {
        if (address.empty()) {
            return std::nullopt;
        }
        links.requestLink(monotonicNow(), address, serviceLinkLifetime);
        return links.find(address);
    }
};

fleet_service::fleet_service(process_context &context)
    : m_implementation(std::make_shared<implementation>(context))
{
}

fleet_service::~fleet_service()
{
    fleet_service::stop();
}

result<void> fleet_service::start(kernel &process)
{
    BOOST_LEAF_AUTO(store, process.find<store_service>("store"));
    BOOST_LEAF_CHECK(m_implementation->bus.listen(m_implementation->context.settings.listen.stewardPeer));
    m_implementation->start(*store);
    return {};
}

void fleet_service::drain(std::function<void()> done)
{
    m_implementation->perform(m_implementation->members.leave(monotonicNow()));
    m_implementation->leaveTimer.expires_after(leaveMessageDelay);
    m_implementation->leaveTimer.async_wait([done = std::move(done)](const boost::system::error_code &) {
        done();
    });
}

void fleet_service::stop()
{
    implementation &self = *m_implementation;
    if (self.isStopped) {
        return;
    }
    self.isStopped = true;
    self.vmList.stop();
    if (self.settings) {
        self.settings->stop();
    }
    self.bus.stop();
}

const node_id &fleet_service::self() const
{
    return m_implementation->members.self().node;
}

const zone_id &fleet_service::zone() const
{
    return m_implementation->members.self().zone;
}

std::shared_ptr<const fleet_document> fleet_service::document() const
{
    return m_implementation->settings ? m_implementation->settings->document() : nullptr;
}

std::uint64_t fleet_service::revision() const
{
    return m_implementation->settings ? m_implementation->settings->core().revision() : 0;
}

std::vector<member_info> fleet_service::members() const
{
    return m_implementation->members.reachable();
}

std::optional<member_info> fleet_service::findMember(const node_id &node) const
{
    const std::vector<member_info> &all = m_implementation->members.reachable();
    const auto found = std::ranges::find(all, node, &member_info::node);
    return found == all.end() ? std::nullopt : std::optional(*found);
}

const std::vector<run_owner_view> &fleet_service::owners() const
{
    return m_implementation->owners;
}

const std::vector<server_id> &fleet_service::leavingServers() const
{
    return m_implementation->leaving;
}

void fleet_service::announceOwner(const run_owner_view &view)
{
    const std::string key = "owner/" + view.run.str();
    const nlohmann::json value = run_owner_fact{ view };
    const nlohmann::json *known = m_implementation->members.facts().find(key);
    if (known == nullptr || *known != value) {
        const std::uint64_t version = (view.epoch << ownerVersionEpochShift) + ++m_implementation->factVersionCounter;
        m_implementation->members.publishFact(monotonicNow(), key, version, value);
        m_implementation->scheduleMembershipTimer();
        m_implementation->scheduleViewUpdate();
    }
}

bool fleet_service::isZoneDeputy() const
{
    return m_implementation->members.deputyOf(zone()) == self();
}

std::vector<member_info> fleet_service::zoneDeputies() const
{
    std::set<zone_id> zones;
    for (const member_info &member : m_implementation->members.reachable()) {
        zones.insert(member.zone);
    }
    std::vector<member_info> deputies;
    for (const zone_id &zone : zones) {
        const std::optional<node_id> deputy = m_implementation->members.deputyOf(zone);
        const std::optional<member_info> info = deputy ? findMember(*deputy) : std::nullopt;
        if (info) {
            deputies.push_back(*info);
        }
    }
    return deputies;
}

const membership &fleet_service::gossip() const
{
    return m_implementation->members;
}

std::shared_ptr<const settings_record> fleet_service::settingsRecord() const
{
    return m_implementation->settings ? m_implementation->settings->core().inForce() : nullptr;
}

void fleet_service::confirmSettings(settings_change change, std::function<void(std::optional<failure> error, std::uint64_t revision)> onEnd)
{
    m_implementation->settings->confirm(std::move(change), std::move(onEnd));
}

decision_log &fleet_service::decisions()
{
    return m_implementation->decisions;
}

peer_bus &fleet_service::bus()
{
    return m_implementation->bus;
}

std::optional<link_id> fleet_service::gateLink() const
{
    return m_implementation->links.find(m_implementation->members.self().gateAddress);
}

std::optional<link_id> fleet_service::linkToGate(const node_id &node)
{
    const std::optional<member_info> member = findMember(node);
    return member ? m_implementation->requestLinkTo(member->gateAddress) : std::nullopt;
}

std::optional<link_id> fleet_service::linkToSteward(const node_id &node)
{
    const std::optional<member_info> member = findMember(node);
    return member && node != self() ? m_implementation->requestLinkTo(member->stewardAddress) : std::nullopt;
}

std::optional<link_id> fleet_service::linkToSpool(const node_id &node)
{
    const std::optional<member_info> member = findMember(node);
    return member ? m_implementation->requestLinkTo(member->spoolAddress) : std::nullopt;
}

void fleet_service::onChange(std::function<void()> action)
{
    m_implementation->changeListeners.push_back(std::move(action));
}

void fleet_service::onLinkClosed(std::function<void(link_id link)> action)
{
    m_implementation->linkClosedListeners.push_back(std::move(action));
}

nlohmann::json fleet_service::dump() const
{
    const implementation &self = *m_implementation;
    nlohmann::json members = nlohmann::json::array();
    for (const member_status &member : self.members.allMembers()) {
        nlohmann::json each = member.info;
        each["state"] = decisionName(decisionFor(member.state));
        members.push_back(std::move(each));
    }
    nlohmann::json traffic = nlohmann::json::object();
    for (const auto &[name, count] : self.bus.traffic()) {
        traffic[name] = { { "sentMessages", count.sentMessages },
                          { "sentBytes", count.sentBytes },
                          { "receivedMessages", count.receivedMessages },
                          { "receivedBytes", count.receivedBytes } };
    }
    return { { "members", members },
             { "zones", self.members.zoneSummaries() },
             { "facts", self.members.facts().all() },
             { "neighbours", self.members.wantedPeers() },
             { "linksKept", self.links.requestedLinkCount() },
             { "revision", revision() },
             { "isSettingsWatcher", self.settings && self.settings->isWatcher() },
             { "leavingServers", self.leaving },
             { "owners", self.owners },
             { "vmListError", self.vmList.lastError() },
             { "viewsSent", self.viewsSent },
             { "traffic", traffic } };
}

} // namespace reedtrail
