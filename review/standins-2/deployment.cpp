#include "review/standins-2/deployment.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <linux/close_range.h>
#include <netinet/in.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace reedtrail::review {
namespace {

using nlohmann::json;

constexpr milliseconds superviseInterval(20);
constexpr milliseconds probeInterval(1000);
constexpr milliseconds restartDelay(300);
constexpr milliseconds entryLifetime(3600); // Three heartbeats.
constexpr int missesOutOfRotation = 2;

std::mt19937_64 &randomNumbers()
{
    static std::mt19937_64 numbers{ std::random_device()() };
    return numbers;
}

/** Tells whether nothing listens on a port of loopback. */
bool isFree(std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool isBound = ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    ::close(fd);
    return isBound;
}

pid_t startProgram(const std::string &program, const std::string &settings, const std::string &log)
{
    const pid_t pid = ::fork();
    if (pid != 0) {
        return pid;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Also if this case is ended from outside.
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    const rlimit descriptors{ deployment::maxFds, deployment::maxFds };
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    ::setenv("REEDTRAIL_NODE_FILE", settings.c_str(), 1);
    ::execl(program.c_str(), program.c_str(), nullptr);
    std::perror("cannot start the program");
    ::_exit(127);
}

} // namespace

deployment::deployment(const std::string &caseFolder)
    : m_record(caseFolder + "/record.txt", std::ios::trunc)
    , m_client(m_io, {})
    , m_nextPort(static_cast<std::uint16_t>(20000 + randomNumbers()() % 9000))
{
    char folder[] = "/tmp/reedtrail-review-XXXXXX";
    m_folder = ::mkdtemp(folder) != nullptr ? folder : "/tmp";
}

deployment::~deployment()
{
    for (const entry_node &node : m_nodes) {
        if (node.pid > 0) {
            ::kill(node.pid, SIGKILL);
            ::waitpid(node.pid, nullptr, 0);
        }
    }
    if (m_storagePid > 0) {
        ::kill(m_storagePid, SIGKILL);
        ::waitpid(m_storagePid, nullptr, 0);
    }
    if (std::getenv("KEEP_LOGS") == nullptr && m_folder != "/tmp") {
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }
}

endpoint deployment::freeEndpoint()
{
    do {
        ++m_nextPort;
    } while (!isFree(m_nextPort));
    return { "127.0.0.1", m_nextPort };
}

bool deployment::start()
{
    m_storeAddress = freeEndpoint();
    m_storePath = m_storeAddress;
    m_store = std::make_unique<soak::store_standin>(m_io, m_storeAddress, randomNumbers()());
    return static_cast<bool>(m_store->start());
}

void deployment::configure(const json &routes, const json &services)
{
    m_version += 7;
    const json limits{ { "headerBytes", 16384 }, { "maxBodyBytes", 33554432 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } };
    m_store->put("op/config", json{ { "version", m_version }, { "routes", routes }, { "services", services }, { "limits", limits } }.dump());
    note("the operator writes configuration " + std::to_string(m_version));
}

bool deployment::addServer(const std::string &id, const std::string &service, const std::string &zone, request_handler handle)
{
    const endpoint address = registerServer(id, service, zone);
    server_place &place = m_servers[id];
    place.listener = std::make_unique<http_server>(m_io, http_server_options{ .address = address }, [id, handle](std::shared_ptr<http_exchange> exchange) {
        if (!refuseIfMisdirected(exchange, id)) {
            handle(std::move(exchange));
        }
    });
    return static_cast<bool>(place.listener->start());
}

endpoint deployment::registerServer(const std::string &id, const std::string &service, const std::string &zone)
{
    const endpoint address = freeEndpoint();
    const auto born = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    json &entry = m_servers[id].entry;
    entry = json{ { "service", service },
                  { "address", address.text() },
                  { "zone", zone },
                  { "version", "v1" },
                  { "slots", 12 },
                  { "state", "ready" },
                  { "coldLeftMs", 0 },
                  { "born", born },
                  { "sequence", 0 },
                  { "stage", "both" },
                  { "models", json::array({ json{ { "name", "m0" }, { "version", 1 }, { "adapters", json::array() } } }) } };
    m_store->put("servers/" + id, entry.dump());
    note("server " + id + " of " + service + " registers at " + address.text());
    return address;
}

void deployment::retireServer(const std::string &id, milliseconds drainTime)
{
    server_place &place = m_servers[id];
    place.entry["state"] = "draining";
    place.entry["sequence"] = 1;
    m_store->put("servers/" + id, place.entry.dump());
    after(drainTime, [this, id] {
        m_store->remove("servers/" + id);
        m_servers[id].listener->stop();
    });
}

void deployment::crashServer(const std::string &id)
{
    note("server " + id + " crashes");
    m_servers[id].listener->stop();
    after(entryLifetime, [this, id] {
        m_store->remove("servers/" + id);
    });
}

entry_node deployment::makeNode()
{
    entry_node node;
    node.zone = std::string("zone-") + static_cast<char>('a' + m_nodes.size());
    node.name = "edge-" + node.zone + "-1";
    node.callers = freeEndpoint();
    node.readiness = freeEndpoint();
    node.peers = freeEndpoint();
    node.store = m_storePath;
    return node;
}

void deployment::addNode()
{
    entry_node node = makeNode();
    node.isFirstStart = false;
    m_nodes.push_back(std::move(node));
    startProcess(m_nodes.back());
}

void deployment::startNodes(int count)
{
    for (int i = 0; i < count; ++i) {
        m_nodes.push_back(makeNode());
    }
    for (entry_node &node : m_nodes) {
        startProcess(node);
    }
    const std::string settings = m_folder + "/storage.conf";
    std::ofstream(settings) << "nodeName=storage-zone-a-1\nrole=storage\nmachineClass=storage\nserves=storage\nip=127.0.0.1\nzone=zone-a\nregion=r\n"
                            << "provider.address=" << m_storeAddress.text() << "\nprovider.form=kv\n";
    m_storagePid = startProgram("target/bin/reedtrail-storage", settings, m_folder + "/storage.log");
    superviseProcesses();
    probeReadiness();
}

void deployment::startProcess(entry_node &node)
{
    std::ostringstream zones;
    std::ostringstream seeds;
    for (const entry_node &each : m_nodes) {
        zones << "zones." << each.zone << "=r\n";
        seeds << (seeds.str().empty() ? "" : ",") << each.peers.text();
    }
    const std::string settings = m_folder + "/" + node.name + ".conf";
    std::ofstream(settings)
        << "nodeName=" << node.name << "\nrole=edge\nmachineClass=edge\nserves=edge,control_plane\nip=127.0.0.1\nzone=" << node.zone << "\nregion=r\n"
        << zones.str() << "listen.front=" << node.callers.text() << "\nlisten.ready=" << node.readiness.text() << "\nlisten.control=" << node.peers.text()
        << "\nseeds=" << seeds.str() << "\nbootstrap=" << (node.isFirstStart ? "true" : "false")
        << "\nfaultCounted=false\nlimits.cpuShare=0.25\nlimits.cpuCores=1\nlimits.memoryMb=" << memoryMb << "\nlimits.maxFds=" << maxFds
        << "\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=vip\nheartbeatMs=1200\n"
        << "contracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform\n"
        << "faultTolerance.machines=1\nfaultTolerance.zones=1\nfaultTolerance.regions=0\nbounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\n"
        << "bounds.ackMs=4000\nbounds.catchUpS=5\nbounds.drainMs=2000\nbounds.graceS=" << graceSeconds
        << "\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\nbounds.outerMs=5000\nbounds.recoverS=12\nbounds.passMs=120\n"
        << "bounds.retryAfterS=0\nbounds.finishS=10\nbounds.statusS=120\nbounds.cancelMs=3000\nbounds.settleMs=1000\nbounds.quotaOver=0.1\n"
        << "bounds.checksFence=false\nbounds.leaseMs=3000\nbounds.thawMs=300\nprovider.address=" << node.store.text()
        << "\nprovider.form=kv\nprovider.writesPerS=400\nprovider.readsPerS=2000\nprovider.historyS=20\nprovider.valueBytes=1048576\nprovider.ttlMinMs=1000\n";
    node.pid = startProgram("target/bin/reedtrail-edge", settings, m_folder + "/" + node.name + ".log");
    node.isStopping = false;
    node.startedAt = now();
    note("node " + node.name + " starts, process " + std::to_string(node.pid));
}

void deployment::restartNode(std::size_t index)
{
    entry_node &node = m_nodes[index];
    if (node.pid <= 0) {
        return;
    }
    note("node " + node.name + " gets SIGTERM");
    node.isStopping = true;
    ::kill(node.pid, SIGTERM);
    after(std::chrono::seconds(graceSeconds), [this, index, pid = node.pid] {
        if (m_nodes[index].pid == pid) {
            ::kill(pid, SIGKILL);
        }
    });
}

void deployment::killNode(std::size_t index, const std::string &reason)
{
    entry_node &node = m_nodes[index];
    if (node.pid > 0 && ::kill(node.pid, SIGKILL) == 0) {
        note("node " + node.name + " is killed: " + reason);
    }
}

std::size_t deployment::memoryOf(std::size_t index) const
{
    if (m_nodes[index].pid <= 0) {
        return 0;
    }
    std::ifstream pages("/proc/" + std::to_string(m_nodes[index].pid) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    pages >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::size_t deployment::descriptorsOf(std::size_t index) const
{
    std::error_code error;
    const std::filesystem::directory_iterator open("/proc/" + std::to_string(m_nodes[index].pid) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

bool deployment::isInRotation(std::size_t index) const
{
    return m_nodes[index].pid > 0 && m_nodes[index].missedProbes < missesOutOfRotation;
}

void deployment::superviseProcesses()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        entry_node &node = m_nodes[i];
        int status = 0;
        if (node.pid <= 0 || ::waitpid(node.pid, &status, WNOHANG) != node.pid) {
            continue;
        }
        note("node " + node.name + " has ended" + (WIFSIGNALED(status) ? " by signal " + std::to_string(WTERMSIG(status)) : ""));
        node.pid = 0;
        node.isFirstStart = false;
        node.missedProbes = missesOutOfRotation;
        after(restartDelay, [this, i] {
            if (!m_isEnding) {
                startProcess(m_nodes[i]);
            }
        });
    }
    after(superviseInterval, [this] {
        superviseProcesses();
    });
}

void deployment::probeReadiness()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        http_request request;
        request.target = "/-/readiness";
        http_call_options options;
        options.deadline = probeInterval;
        m_client.call(m_nodes[i].readiness, std::move(request), options, [this, i](const http_call_end &end, const http_response &answer) {
            const bool isReady = end.error == error_kind::None && answer.status == 200;
            m_nodes[i].missedProbes = isReady ? 0 : m_nodes[i].missedProbes + 1;
        });
    }
    after(probeInterval, [this] {
        probeReadiness();
    });
}

void deployment::after(milliseconds delay, std::function<void()> action)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &) {
        action();
    });
}

std::int64_t deployment::now() const
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_startedAt).count();
}

void deployment::note(const std::string &line)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", static_cast<double>(now()) / 1000.0);
    m_record << time << line << "\n";
}

void deployment::run(milliseconds length)
{
    after(length, [this] {
        m_isEnding = true;
        m_io.stop();
    });
    m_io.run();
    m_record.flush();
}

http_response signedAnswer(const http_request &request, std::uint16_t status, std::string body)
{
    const std::string id(request.fields.get("Request-Id"));
    return { status, { { "Request-Id", id }, { "Server-Signature", "sig." + id }, { "Server-Load", "1,0,12" } }, std::move(body) };
}

bool refuseIfMisdirected(const std::shared_ptr<http_exchange> &exchange, const std::string &id)
{
    const std::string_view expected = exchange->request().fields.get("Expect-Instance");
    if (expected.empty() || expected == id) {
        return false;
    }
    http_response response{ 421, { { "Not-Executed", "1" } }, "" };
    response.fields.set("Request-Id", std::string(exchange->request().fields.get("Request-Id")));
    exchange->respond(std::move(response));
    return true;
}

std::string newId()
{
    char text[24];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(randomNumbers()()));
    return text;
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace reedtrail::review
