/**
 * @file
 * Servers, deputies and competing owners in virtual time around the real cores of weights/, for randomised runs and benchmarks.
 *
 *     fake_servers servers({.servers = 600, .zones = 5});
 *     servers.publish(7);
 *     servers.runFor(std::chrono::minutes(2));
 *     servers.serversAt(7) == 600
 */
#pragma once

#include "harness/lossy_network.h"
#include "weights/weight_deputy.h"
#include "weights/weight_rollout.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace reedtrail::harness {

/** Sizes and behaviour. */
struct fake_servers_options
{
    std::uint64_t seed = 1;
    std::size_t servers = 20;
    std::size_t zones = 2;
    double checkingShare = 0.5; ///< Servers that check fencing numbers.
    double slowShare = 0.1;
    double slowFactor = 2;
    double partialFailureShare = 0; ///< Share of switches that fail partway.
    double bytesPerSecond = 20e9; ///< Of the weight store.
    double shardBytes = 2e9;
    double linkBytesPerSecond = 2e9; ///< Of one server.
    duration switchTime = std::chrono::milliseconds(900);
    duration loadLag = std::chrono::milliseconds(100);
    double lateOrder = 0; ///< Share of orders that reach a server up to 20 s after they were sent.
    std::size_t runs = 1;
    network_options network{};
    rollout_options rollout{};
};

/** The servers and all that orders them. */
class fake_servers
{
public:
    explicit fake_servers(fake_servers_options options);
    ~fake_servers();

    virtual_time &world()
    {
        return m_world;
    }
    lossy_network &network()
    {
        return m_network;
    }
    /** Publishes a version of run @p run. */
    void publish(weight_version version, std::size_t run = 0);
    void runFor(duration span);
    /** Lets a new owner take every run over, the earlier one believing on. @param leaseLeft of the earlier owner's lease, waited for */
    void takeOver(duration leaseLeft);
    /** Lets the newest owner stand still for @p span; its lease is not prolonged meanwhile. */
    void pauseOwner(duration span);
    /** Cuts a zone from the owners, or joins it again. */
    void partitionZone(std::size_t zone, bool isCut);
    /** Restarts a server: base version, nothing staged. */
    void restartServer(std::size_t server);
    /** Returns how many servers truly serve @p version or a newer one. */
    std::size_t serversAt(weight_version version, std::size_t run = 0) const;
    /** Returns how many servers do not know their version and are not seen so by the newest owner. */
    std::size_t unknownInSampling() const;
    /** Returns orders of a lapsed owner that servers without check carried out. */
    std::uint64_t staleOrdersDone() const
    {
        return m_staleOrdersDone;
    }
    /** Returns how many servers of a zone were swapping at once, at most, as a share. */
    double maxSwappingShare() const
    {
        return m_maxSwappingShare;
    }
    double peakBytesPerSecond() const
    {
        return m_peakRate;
    }
    /** Returns when @p version was first ordered to be switched to. */
    std::optional<time_point> switchStartedAt(weight_version version) const;
    const weight_rollout &rollout(std::size_t run = 0) const;
    std::uint64_t messages() const
    {
        return m_network.sent();
    }

private:
    struct server
    {
        server_id id;
        std::size_t zone = 0;
        bool checksFencing = false;
        double slowness = 1;
        bool isSwapping = false;
        std::uint64_t life = 1;
        std::map<std::size_t, weight_version> versions; ///< By run; 0 after a switch that failed partway.
        std::map<std::size_t, std::set<weight_version>> staged;
        std::map<std::size_t, epoch_number> fencing;
    };
    struct coordinator
    {
        std::string name;
        epoch_number epoch = 0;
        time_point leaseUntil{};
        bool isPaused = false;
        bool isLapsed = false; ///< Another holds the runs.
        std::vector<std::unique_ptr<weight_rollout>> rollouts;
        std::vector<std::function<void()>> held;
    };
    struct deputy
    {
        std::string name;
        std::unique_ptr<weight_deputy> core;
        time_point timerAt = timeNever;
        std::uint64_t timerTurn = 0;
    };

    void addCoordinator(bool isFirst);
    void tellRollout(std::size_t coordinator, std::size_t run, const rollout_event_item &event);
    void deliver(std::size_t coordinator, std::function<void()> action);
    void tick(std::size_t coordinator);
    void tellDeputy(std::size_t zone, const deputy_event &event);
    void armDeputy(std::size_t zone);
    void perform(std::size_t zone, const deputy_action::order_server &order);
    void perform(std::size_t zone, const deputy_action::read_load &read);
    void perform(std::size_t zone, const deputy_action::report &report);
    void carryOut(std::size_t zone, std::size_t index, const deputy_action::order_server &order);
    void stage(std::size_t zone, std::size_t index, const deputy_action::order_server &order);
    void swap(std::size_t zone, std::size_t index, const deputy_action::order_server &order);
    void finishSwap(std::size_t zone, std::size_t index, const deputy_action::order_server &order, std::uint64_t life);
    void answer(std::size_t zone, const deputy_action::order_server &order, deputy_input::order_answered::outcome outcome);
    void draw(double rate);
    static std::size_t runIndex(const run_id &run);

    fake_servers_options m_options;
    virtual_time m_world;
    random_source m_random;
    lossy_network m_network;
    std::vector<server> m_servers;
    std::map<server_id, std::size_t> m_serverIndex;
    std::vector<deputy> m_deputies;
    std::vector<coordinator> m_coordinators;
    std::map<std::size_t, weight_version> m_published;
    std::map<weight_version, time_point> m_switchStartedAt;
    std::uint64_t m_staleOrdersDone = 0;
    double m_rate = 0;
    double m_peakRate = 0;
    double m_maxSwappingShare = 0;
};

} // namespace reedtrail::harness
