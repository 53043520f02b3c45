// Drives the cores of membership and settings, and shows their result to the other services and to the gate of this node. Everything here runs on the
// control thread: a core's step is performed at once, and its next deadline set on one timer.
//
// Duties are looked up anew at each change of the view: the watchers of the settings and of the VM list of this zone are the members that rank highest for
// them. What the readers of the VM list find travels as a shared fact, so the platform's list is read by a few nodes whatever the size of the fleet.

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
constexpr std::size_t mostUnableInAZone = 4; // more nodes without the store mean that the store is away, not they
constexpr std::uint64_t failedReadsUntilUnable = 4;
constexpr duration neighbourLinkKept = std::chrono::seconds(30);
constexpr duration processLinkKept = std::chrono::minutes(5);
constexpr duration housekeepingInterval = std::chrono::seconds(1);
constexpr duration viewDelay = std::chrono::milliseconds(50);
constexpr duration settingsAskTimeout = std::chrono::seconds(2);
constexpr duration leaveDelay = std::chrono::milliseconds(200);
constexpr unsigned epochShift = 24; // of the version of an owner's announcement: room for as many within one epoch

std::string addressText(const std::optional<endpoint> &where)
{
    return where ? where->text() : std::string();
}

member_info ownCard(const process_context &context)
{
    member_info card;
    card.node = context.settings.node;
    card.zone = context.settings.zone;
    card.region = context.settings.region;
    card.incarnation = context.processIncarnation;
    card.stewardAddress = context.settings.listen.stewardPeer.text();
    card.gateAddress = context.settings.listen.gatePeer.text();
    card.spoolAddress = addressText(context.settings.listen.spoolPeer);
    return card;
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
    boost::asio::steady_timer memberTimer;
    boost::asio::steady_timer housekeepingTimer;
    boost::asio::steady_timer viewTimer;
    boost::asio::steady_timer leaveTimer;
    std::vector<std::function<void()>> changeActions;
    std::vector<std::function<void(link_id)>> closeActions;
    std::vector<run_owner_view> owners;
    std::vector<server_id> leaving;
    std::vector<std::string> vmListHints;
    decision_log decisions;
    std::uint64_t announcements = 0;
    std::uint64_t viewsSent = 0;
    bool isViewDue = false;
    bool isStopped = false;

    explicit implementation(process_context &theContext)
        : context(theContext)
        , bus(theContext.control, busOptions(theContext))
        , links(bus, ownHello(theContext))
        , members({}, ownCard(theContext), theContext.processIncarnation)
        , vmList(theContext.control,
                 [this](const vm_list &list) {
                     noteVmList(list);
                 })
        , memberTimer(theContext.control)
        , housekeepingTimer(theContext.control)
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
            settingsAdopted();
        };
        handlers.ask = [this](const std::string &address) {
            askForSettings(address);
        };
        settings = std::make_unique<settings_driver>(context.control, store, context.settings.dataFolder, context.processIncarnation, std::move(handlers));
        setHandlers();
        refreshHints();
        settings->start();
        refreshDuties();
        housekeeping();
        driveMembers();
    }

    void setHandlers()
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
            links.noteClosed(link);
            for (const auto &action : closeActions) {
                action(link);
            }
        });
        links.onUp([this](const std::string &address, link_id link) {
            linkIsUp(address, link);
        });
    }

    void linkIsUp(const std::string &address, link_id link)
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

    void askForSettings(const std::string &address)
    {
        const std::optional<link_id> link = links.find(address);
        if (!link) {
            links.want(monotonicNow(), address, neighbourLinkKept);
            return;
        }
        bus.ask<settings_record>(*link,
                                 settings_question{ settings->core().revision() },
                                 settingsAskTimeout,
                                 [this](const std::optional<failure> &error, const settings_record &record) {
                                     if (!error && !isStopped) {
                                         settings->onRecord(record);
                                     }
                                 });
    }

    void settingsAdopted()
    {
        members.setRevision(monotonicNow(), settings->core().revision());
        const std::string revision = std::to_string(settings->core().revision());
        decisions.add({ monotonicNow(), decision_kind::Adopted, subject_kind::Change, revision, error_kind::None, settings->core().inForce()->summary });
        refreshDuties();
        driveMembers();
        viewChanged();
    }

    /** Does a step of the membership core. */
    void perform(const membership_step &step)
    {
        for (const membership_send &each : step.sends) {
            const std::optional<link_id> link = links.find(each.address);
            if (link) {
                bus.send(*link, *each.message);
            } else {
                links.want(monotonicNow(), each.address, neighbourLinkKept);
            }
        }
        for (const membership_change &change : step.changes) {
            noteChange(change);
        }
        if (step.hasNewView) {
            refreshDuties();
        }
        if (step.hasNewView || step.hasNewFacts) {
            viewChanged();
        }
        scheduleMembers();
    }

    void noteChange(const membership_change &change)
    {
        const std::string subject = change.node.empty() ? "zone " + change.zone.str() : change.node.str();
        const std::string what =
            change.node.empty() ? (change.isReachable ? "reachable" : "unreachable") : std::string(decisionName(decisionFor(change.state)));
        logLine(log_level::Info, "membership", { { "subject", subject }, { "state", what }, { "cause", change.cause } });
        const decision_kind kind = change.node.empty() && !change.isReachable ? decision_kind::Left : decisionFor(change.state);
        decisions.add({ monotonicNow(), kind, subject_kind::Node, subject, error_kind::None, what + ": " + change.cause });
    }

    void driveMembers()
    {
        perform(members.onTimer(monotonicNow()));
    }

    void scheduleMembers()
    {
        if (isStopped) {
            return;
        }
        memberTimer.expires_after(std::max(duration{}, members.deadline() - monotonicNow()));
        memberTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error && !isStopped) {
                driveMembers();
            }
        });
    }

    void housekeeping()
    {
        const time_point now = monotonicNow();
        for (const std::string &address : members.wantedPeers()) {
            links.want(now, address, neighbourLinkKept);
        }
        links.want(now, members.self().gateAddress, processLinkKept);
        links.dropUnwanted(now);
        noteStoreReach();
        housekeepingTimer.expires_after(housekeepingInterval);
        housekeepingTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error && !isStopped) {
                housekeeping();
            }
        });
    }

    /** Says that this node cannot do duties that need the store, if others in the zone seem able to. */
    void noteStoreReach()
    {
        const bool isUnable = settings->core().failedReads() >= failedReadsUntilUnable;
        const auto unable = std::ranges::count_if(members.reachable(), [&](const member_info &member) {
            return member.zone == members.self().zone && !member.isStoreReachable;
        });
        if (!isUnable) {
            members.setStoreReachable(true);
        } else if (unable < static_cast<std::ptrdiff_t>(mostUnableInAZone)) {
            members.setStoreReachable(false);
        }
    }

    bool hasDutyHere(std::string_view duty, std::size_t count) const
    {
        return hasDuty(duty, members.self().zone, members.reachable(), count, members.self().node);
    }

    void refreshDuties()
    {
        settings->setWatcher(hasDutyHere("settings-watcher", settingsWatchersPerZone));
        const bool readsList = settings->document() && hasDutyHere("vm-list-reader", vmListReadersPerZone);
        vmList.setAddress(readsList ? settings->document()->vmListAddress : "");
    }

    void refreshHints()
    {
        std::vector<std::string> hints = vmListHints;
        for (const endpoint &seed : context.settings.seeds) {
            hints.push_back(seed.text());
        }
        members.setSeedAddresses(std::move(hints));
    }

    void noteVmList(const vm_list &list)
    {
        vmListHints = list.live;
        refreshHints();
        const std::string key = "leaving/" + members.self().node.str();
        const nlohmann::json value = list.leaving;
        const nlohmann::json *known = members.facts().find(key);
        if (known != nullptr ? *known != value : !list.leaving.empty()) {
            members.publishFact(monotonicNow(), key, context.processIncarnation + ++announcements, value);
            viewChanged();
            scheduleMembers();
        }
    }

    void viewChanged()
    {
        if (isViewDue || isStopped) {
            return;
        }
        isViewDue = true;
        viewTimer.expires_after(viewDelay);
        viewTimer.async_wait([this](const boost::system::error_code &error) {
            isViewDue = false;
            if (!error && !isStopped) {
                refreshView();
            }
        });
    }

    void refreshView()
    {
        leaving = settings->document() ? leavingServersOf(*settings->document(), members) : std::vector<server_id>();
        owners = runOwnersOf(members);
        if (const auto link = links.find(members.self().gateAddress)) {
            sendView(*link);
        }
        for (const auto &action : changeActions) {
            action();
        }
    }

    void sendView(link_id link)
    {
        const bool isSent = bus.send(link, makeFleetView(members, settings->core().inForce().get(), leaving, owners));
        viewsSent += isSent ? 1 : 0;
    }

    std::optional<link_id> linkTo(const std::string &address)
    {
        if (address.empty()) {
            return std::nullopt;
        }
        links.want(monotonicNow(), address, processLinkKept);
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
    m_implementation->leaveTimer.expires_after(leaveDelay);
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
        const std::uint64_t version = (view.epoch << epochShift) + ++m_implementation->announcements;
        m_implementation->members.publishFact(monotonicNow(), key, version, value);
        m_implementation->scheduleMembers();
        m_implementation->viewChanged();
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
        const std::optional<member_info> card = deputy ? findMember(*deputy) : std::nullopt;
        if (card) {
            deputies.push_back(*card);
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
    return member ? m_implementation->linkTo(member->gateAddress) : std::nullopt;
}

std::optional<link_id> fleet_service::linkToSteward(const node_id &node)
{
    const std::optional<member_info> member = findMember(node);
    return member && node != self() ? m_implementation->linkTo(member->stewardAddress) : std::nullopt;
}

std::optional<link_id> fleet_service::linkToSpool(const node_id &node)
{
    const std::optional<member_info> member = findMember(node);
    return member ? m_implementation->linkTo(member->spoolAddress) : std::nullopt;
}

void fleet_service::onChange(std::function<void()> action)
{
    m_implementation->changeActions.push_back(std::move(action));
}

void fleet_service::onLinkClosed(std::function<void(link_id link)> action)
{
    m_implementation->closeActions.push_back(std::move(action));
}

nlohmann::json fleet_service::dump() const
{
    const implementation &self = *m_implementation;
    nlohmann::json members = nlohmann::json::array();
    for (const member_status &rumor : self.members.allMembers()) {
        nlohmann::json each = rumor.info;
        each["state"] = decisionName(decisionFor(rumor.state));
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
             { "linksKept", self.links.kept() },
             { "revision", revision() },
             { "isSettingsWatcher", self.settings && self.settings->isWatcher() },
             { "leavingServers", self.leaving },
             { "owners", self.owners },
             { "vmListError", self.vmList.lastError() },
             { "viewsSent", self.viewsSent },
             { "traffic", traffic } };
}

} // namespace reedtrail
