#include "review/standins/platform.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <iomanip>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

using nlohmann::json;

namespace {

const auto programStart = std::chrono::steady_clock::now();

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

int hexDigit(char letter)
{
    const int lower = std::tolower(static_cast<unsigned char>(letter));
    return lower >= 'a' ? lower - 'a' + 10 : lower - '0';
}

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

std::uint16_t boundPort(int socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

void setNoDelay(int socket)
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::uint64_t numberOf(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

std::string jsonAnswer(int status, const json &body)
{
    return encodeResponse(status, { { "Content-Type", "application/json" } }, body.dump());
}

} // namespace

std::int64_t elapsedMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - programStart).count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void sleepMs(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

record_file::record_file(const std::string &path)
    : m_out(path)
{
}

void record_file::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_out << std::setw(7) << elapsedMs() << " ms  " << text << std::endl;
}

std::string http_message::get(std::string_view name) const
{
    for (const auto &[each, value] : fields) {
        if (equalsIgnoringCase(each, name)) {
            return value;
        }
    }
    return {};
}

std::string http_message::path() const
{
    return target.substr(0, target.find('?'));
}

std::string http_message::query(std::string_view name) const
{
    const std::size_t start = target.find('?');
    std::istringstream rest(start == std::string::npos ? std::string() : target.substr(start + 1));
    for (std::string part; std::getline(rest, part, '&');) {
        const std::size_t equals = part.find('=');
        if (part.substr(0, equals) == name) {
            return equals == std::string::npos ? std::string() : percentDecoded(std::string_view(part).substr(equals + 1));
        }
    }
    return {};
}

std::string encodeResponse(int status, const std::vector<std::pair<std::string, std::string>> &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
    for (const auto &[name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string encodeRequest(const http_message &request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
}

tcp_connection::tcp_connection(int socket)
    : m_socket(socket)
{
    setNoDelay(socket);
}

tcp_connection::~tcp_connection()
{
    ::close(m_socket);
}

std::unique_ptr<tcp_connection> tcp_connection::connect(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(socket);
        return nullptr;
    }
    return std::make_unique<tcp_connection>(socket);
}

bool tcp_connection::readMore(std::int64_t deadlineMs)
{
    const std::int64_t left = deadlineMs - elapsedMs();
    pollfd waited{ m_socket, POLLIN, 0 };
    if (left <= 0 || ::poll(&waited, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    char bytes[16384];
    const ssize_t count = ::recv(m_socket, bytes, sizeof(bytes), 0);
    if (count <= 0) {
        return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool tcp_connection::readHead(http_message &message, bool isResponse, std::int64_t deadlineMs)
{
    std::size_t end = m_buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!readMore(deadlineMs)) {
            return false;
        }
        end = m_buffer.find("\r\n\r\n");
    }
    std::istringstream head(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    std::istringstream first(line);
    std::string version;
    if (isResponse) {
        first >> version >> message.status;
    } else {
        first >> message.method >> message.target >> version;
    }
    if (!version.starts_with("HTTP/1.1")) {
        return false;
    }
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            return false;
        }
        const std::size_t start = line.find_first_not_of(' ', colon + 1);
        message.fields.emplace_back(line.substr(0, colon), start == std::string::npos ? "" : line.substr(start));
    }
    return true;
}

bool tcp_connection::readBody(http_message &message, bool isResponse, std::int64_t deadlineMs)
{
    const auto ensure = [&](std::size_t count) {
        while (m_buffer.size() < count) {
            if (!readMore(deadlineMs)) {
                return false;
            }
        }
        return true;
    };
    if (equalsIgnoringCase(message.get("Transfer-Encoding"), "chunked")) {
        while (true) {
            std::size_t end = m_buffer.find("\r\n");
            while (end == std::string::npos) {
                if (!readMore(deadlineMs)) {
                    return false;
                }
                end = m_buffer.find("\r\n");
            }
            const std::size_t size = std::strtoull(m_buffer.substr(0, end).c_str(), nullptr, 16);
            m_buffer.erase(0, end + 2);
            if (!ensure(size + 2)) {
                message.body += m_buffer.substr(0, size);
                return false;
            }
            message.body += m_buffer.substr(0, size);
            m_buffer.erase(0, size + 2);
            if (size == 0) {
                return true;
            }
        }
    }
    const std::string length = message.get("Content-Length");
    if (length.empty() && isResponse) {
        while (readMore(deadlineMs)) {
        }
        message.body = std::exchange(m_buffer, {});
        return true;
    }
    const std::size_t size = numberOf(length);
    const bool isWhole = ensure(size);
    message.body = m_buffer.substr(0, size);
    m_buffer.erase(0, std::min(size, m_buffer.size()));
    return isWhole;
}

std::optional<http_message> tcp_connection::readRequest()
{
    constexpr std::int64_t idleMs = 600000;
    http_message message;
    const std::int64_t deadline = elapsedMs() + idleMs;
    if (!readHead(message, false, deadline) || !readBody(message, false, deadline)) {
        return std::nullopt;
    }
    return message;
}

std::optional<http_message> tcp_connection::readResponse(bool &isWhole, std::int64_t timeoutMs)
{
    http_message message;
    const std::int64_t deadline = elapsedMs() + timeoutMs;
    isWhole = false;
    if (!readHead(message, true, deadline)) {
        return std::nullopt;
    }
    isWhole = readBody(message, true, deadline);
    return message;
}

bool tcp_connection::readInto(std::string &bytes, std::int64_t deadlineMs)
{
    const bool hasMore = readMore(deadlineMs);
    bytes += std::exchange(m_buffer, {});
    return hasMore;
}

bool tcp_connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

bool tcp_connection::isClosedByPeer() const
{
    char byte = 0;
    const ssize_t count = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

tcp_listener::tcp_listener(handler handle)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in address = loopback(0);
    if (::bind(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || ::listen(m_socket, 512) != 0) {
        std::perror("cannot listen");
        std::_Exit(couldNotRun);
    }
    m_port = boundPort(m_socket);
    std::thread([socket = m_socket, handle = std::move(handle)] {
        while (true) {
            const int accepted = ::accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                return;
            }
            std::thread([accepted, handle] {
                tcp_connection connection(accepted);
                handle(connection);
            }).detach();
        }
    }).detach();
}

void tcp_listener::close()
{
    ::shutdown(m_socket, SHUT_RDWR);
    ::close(m_socket);
}

tcp_proxy::tcp_proxy(std::uint16_t target)
    : m_target(target)
    , m_listener([this](tcp_connection &accepted) {
        pass(accepted);
    })
{
}

int tcp_proxy::resetConnections(double share)
{
    const std::lock_guard lock(m_mutex);
    const auto count = static_cast<std::size_t>(share * static_cast<double>(m_open.size()));
    for (std::size_t i = 0; i < count; ++i) {
        for (const int socket : { m_open[i].first, m_open[i].second }) {
            const linger atOnce{ 1, 0 };
            ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
            sockaddr unspecified{};
            unspecified.sa_family = AF_UNSPEC;
            ::connect(socket, &unspecified, sizeof(unspecified)); // Sends the reset now, while another thread still waits on the socket.
        }
    }
    m_open.erase(m_open.begin(), m_open.begin() + static_cast<std::ptrdiff_t>(count));
    return static_cast<int>(count);
}

void tcp_proxy::pass(tcp_connection &accepted)
{
    const auto target = tcp_connection::connect(m_target);
    if (!target) {
        return;
    }
    const std::pair<int, int> both(accepted.socket(), target->socket());
    {
        const std::lock_guard lock(m_mutex);
        m_open.push_back(both);
    }
    pollfd waited[2] = { { both.first, POLLIN, 0 }, { both.second, POLLIN, 0 } };
    char bytes[16384];
    bool isOpen = true;
    while (isOpen && ::poll(waited, 2, -1) > 0) {
        for (const int from : { 0, 1 }) {
            if (waited[from].revents == 0) {
                continue;
            }
            const ssize_t count = ::recv(waited[from].fd, bytes, sizeof(bytes), 0);
            tcp_connection &to = from == 0 ? *target : accepted;
            isOpen = isOpen && count > 0 && to.write(std::string_view(bytes, static_cast<std::size_t>(count)));
        }
    }
    const std::lock_guard lock(m_mutex);
    std::erase(m_open, both);
}

std::uint16_t freePort()
{
    // Below the range from which the system takes ports for connections, so that none takes the port before the process listens there.
    constexpr int firstPort = 12000;
    constexpr int ports = 18000;
    static int next = static_cast<int>(::getpid() * 31L % ports);
    for (int tries = 0; tries < ports; ++tries) {
        next = (next + 1) % ports;
        const auto port = static_cast<std::uint16_t>(firstPort + next);
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const bool isFree = ::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
        ::close(socket);
        if (isFree) {
            return port;
        }
    }
    return 0;
}

std::string encodeBase64(std::string_view bytes)
{
    static constexpr char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            bits = bits << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j > bytes.size() ? '=' : letters[bits >> (18 - 6 * j) & 63U];
        }
    }
    return text;
}

std::string decodeBase64(std::string_view text)
{
    std::string bytes;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char letter : text) {
        const int value = letter >= 'A' && letter <= 'Z' ? letter - 'A'
            : letter >= 'a' && letter <= 'z'             ? letter - 'a' + 26
            : letter >= '0' && letter <= '9'             ? letter - '0' + 52
            : letter == '+'                              ? 62
            : letter == '/'                              ? 63
                                                         : -1;
        if (value < 0) {
            break;
        }
        bits = bits << 6U | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            bytes += static_cast<char>(bits >> static_cast<unsigned>(count) & 255U);
        }
    }
    return bytes;
}

metadata_store::metadata_store(record_file &record)
    : m_record(record)
    , m_listener([this](tcp_connection &connection) {
        serve(connection);
    })
{
    std::thread([this] {
        while (true) {
            sleepMs(20);
            expireLeases();
        }
    }).detach();
}

void metadata_store::put(const std::string &key, const json &value)
{
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    write(key, encodeBase64(value.dump()), 0);
    m_changed.notify_all();
}

void metadata_store::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    erase(key);
    m_changed.notify_all();
}

void metadata_store::serve(tcp_connection &connection)
{
    while (const std::optional<http_message> request = connection.readRequest()) {
        if (request->path() == "/-/kv-watch") {
            const std::optional<std::string> reply = watch(*request, connection);
            if (!reply || !connection.write(*reply)) {
                return;
            }
        } else if (!connection.write(answer(*request))) {
            return;
        }
    }
}

std::string metadata_store::answer(const http_message &request)
{
    const std::lock_guard lock(m_mutex);
    const std::string path = request.path();
    if (path == "/-/kv-key") {
        return readKey(request);
    }
    if (path == "/-/kv-range") {
        return readRange(request);
    }
    if (path == "/-/kv-txn") {
        return transact(json::parse(request.body));
    }
    return handleLease(request);
}

json metadata_store::encodeItem(const std::string &key, const item &state)
{
    return { { "key", key }, { "value", state.value }, { "revision", state.revision }, { "createRev", state.created }, { "lease", state.lease } };
}

std::string metadata_store::readKey(const http_message &request)
{
    const auto found = m_items.find(request.query("key"));
    json body = found == m_items.end() ? json::object() : encodeItem(found->first, found->second);
    body["storeRevision"] = m_revision;
    return jsonAnswer(found == m_items.end() ? 404 : 200, body);
}

std::string metadata_store::readRange(const http_message &request)
{
    constexpr std::size_t pageItems = 500;
    constexpr std::size_t pageBytes = 1000000;
    const std::string prefix = request.query("prefix");
    const std::string after = request.query("after");
    json items = json::array();
    std::size_t bytes = 0;
    bool hasMore = false;
    for (auto each = m_items.lower_bound(std::max(prefix, after)); each != m_items.end() && each->first.starts_with(prefix); ++each) {
        if (each->first == after) {
            continue;
        }
        bytes += each->second.value.size();
        if (!items.empty() && (items.size() >= pageItems || bytes > pageBytes)) {
            hasMore = true;
            break;
        }
        items.push_back(encodeItem(each->first, each->second));
    }
    return jsonAnswer(200, { { "items", items }, { "hasMore", hasMore }, { "storeRevision", m_revision } });
}

std::optional<std::string> metadata_store::watch(const http_message &request, tcp_connection &connection)
{
    const std::string prefix = request.query("prefix");
    const std::uint64_t after = numberOf(request.query("after"));
    const std::int64_t deadline = elapsedMs() + static_cast<std::int64_t>(numberOf(request.query("waitMs")));
    std::unique_lock lock(m_mutex);
    while (true) {
        json events = json::array();
        const auto first = std::ranges::upper_bound(m_history, after, {}, &change::revision);
        for (auto each = first; each != m_history.end(); ++each) {
            if (each->key.starts_with(prefix)) {
                events.push_back(each->state ? encodeItem(each->key, *each->state)
                                             : json{ { "key", each->key }, { "revision", each->revision }, { "deleted", true } });
            }
        }
        const std::int64_t left = deadline - elapsedMs();
        if (!events.empty() || left <= 0) {
            return jsonAnswer(200, { { "events", events }, { "storeRevision", m_revision } });
        }
        if (connection.isClosedByPeer()) {
            return std::nullopt;
        }
        m_changed.wait_for(lock, std::chrono::milliseconds(std::min<std::int64_t>(left, 200)));
    }
}

std::string metadata_store::transact(const json &body)
{
    const auto isOperators = [](const std::string &key) {
        return key.starts_with("op/") || key.starts_with("servers/");
    };
    for (const json &condition : body.at("expected")) {
        const auto found = m_items.find(condition.at("key").get<std::string>());
        if ((found == m_items.end() ? 0 : found->second.revision) != condition.at("revision").get<std::uint64_t>()) {
            return jsonAnswer(412, { { "items", json::array() } });
        }
    }
    for (const json &put : body.at("puts")) {
        const auto lease = put.at("lease").get<std::int64_t>();
        const auto value = put.at("value").get<std::string>();
        if (lease != 0 && !m_leases.contains(lease)) {
            return jsonAnswer(404, json::object());
        }
        if (isOperators(put.at("key").get<std::string>())) {
            return jsonAnswer(403, json::object());
        }
        if (const std::size_t size = decodeBase64(value).size(); size > valueBytes) {
            m_record.line("store refuses a value of " + std::to_string(size) + " bytes at " + put.at("key").get<std::string>());
            return jsonAnswer(413, json::object());
        }
    }
    ++m_revision;
    for (const json &put : body.at("puts")) {
        write(put.at("key").get<std::string>(), put.at("value").get<std::string>(), put.at("lease").get<std::int64_t>());
    }
    for (const json &removed : body.at("remove")) {
        erase(removed.get<std::string>());
    }
    m_changed.notify_all();
    return jsonAnswer(200, { { "revision", m_revision } });
}

std::string metadata_store::handleLease(const http_message &request)
{
    constexpr std::string_view keep = "/-/kv-keep/";
    constexpr std::string_view end = "/-/kv-lease-end/";
    const std::string path = request.path();
    if (path == "/-/kv-lease") {
        const auto ttlMs = json::parse(request.body).at("ttlMs").get<std::int64_t>();
        m_leases[m_nextLease] = { ttlMs, elapsedMs() + ttlMs };
        return jsonAnswer(200, { { "lease", m_nextLease++ }, { "ttlMs", ttlMs } });
    }
    const bool isEnd = path.starts_with(end);
    const auto found = m_leases.find(static_cast<std::int64_t>(numberOf(path.substr(isEnd ? end.size() : keep.size()))));
    if (found == m_leases.end()) {
        return jsonAnswer(404, json::object());
    }
    found->second.until = isEnd ? 0 : elapsedMs() + found->second.ttlMs;
    return jsonAnswer(200, { { "ttlMs", found->second.ttlMs } });
}

void metadata_store::write(const std::string &key, const std::string &value, std::int64_t lease)
{
    item &state = m_items[key];
    state.value = value;
    state.revision = m_revision;
    state.created = state.created == 0 ? m_revision : state.created;
    state.lease = lease;
    m_history.push_back({ m_revision, key, state });
}

void metadata_store::erase(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        m_history.push_back({ m_revision, key, std::nullopt });
    }
}

void metadata_store::expireLeases()
{
    const std::lock_guard lock(m_mutex);
    const std::int64_t now = elapsedMs();
    for (auto each = m_leases.begin(); each != m_leases.end();) {
        if (each->second.until > now) {
            ++each;
            continue;
        }
        std::vector<std::string> lapsed;
        for (const auto &[key, state] : m_items) {
            if (state.lease == each->first) {
                lapsed.push_back(key);
            }
        }
        ++m_revision;
        for (const std::string &key : lapsed) {
            erase(key);
        }
        each = m_leases.erase(each);
        m_changed.notify_all();
    }
}

node_process::node_process(std::string root, std::string folder, std::string command, std::string name, std::string zone, bool isEdge, std::uint16_t storePort)
    : m_root(std::move(root))
    , m_folder(std::move(folder))
    , m_command(std::move(command))
    , m_name(std::move(name))
    , m_zone(std::move(zone))
    , m_isEdge(isEdge)
    , m_storePort(storePort)
{
    if (m_isEdge) {
        m_callers = freePort();
        m_ready = freePort();
        m_control = freePort();
    }
}

node_process::~node_process()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

std::string node_process::settings(bool isFirstStart) const
{
    std::ostringstream text;
    const std::string ip = "127.0.0.1";
    text << "nodeName=" << m_name << "\nrole=" << (m_isEdge ? "edge" : "storage") << "\nmachineClass=" << (m_isEdge ? "edge" : "storage")
         << "\nserves=" << (m_isEdge ? "edge,control_plane" : "storage") << "\nip=" << ip << "\nzone=" << m_zone
         << "\nregion=highland\nzones.zone-a=highland\nzones.zone-b=highland\n";
    if (m_isEdge) {
        text << "listen.front=" << ip << ":" << m_callers << "\nlisten.ready=" << ip << ":" << m_ready << "\nlisten.control=" << ip << ":" << m_control << "\n";
    } else {
        text << "dataDir=" << m_folder << "/" << m_name << "\n";
    }
    text << "seeds=" << m_seeds << "\nbootstrap=" << (isFirstStart ? "true" : "false") << "\nfaultCounted=" << (m_isEdge ? "false" : "true")
         << "\nlimits.cpuShare=0.25\nlimits.cpuCores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb="
         << (m_isEdge ? "0" : "500") << "\ndiscovery=platform\nentry=vip\nheartbeatMs=1200\n"
         << "contracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform\n"
         << "faultTolerance.machines=1\nfaultTolerance.zones=1\nfaultTolerance.regions=0\n"
         << "bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4.8\nbounds.drainMs=2000\nbounds.graceS=8\n"
         << "bounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\nbounds.outerMs=5000\nbounds.recoverS=12\nbounds.passMs=120\n"
         << "bounds.retryAfterS=0\nbounds.finishS=10\nbounds.statusS=120\nbounds.cancelMs=3000\nbounds.settleMs=1000\nbounds.quotaOver=0.1\n"
         << "bounds.checksFence=false\nbounds.leaseMs=3000\nbounds.thawMs=300\nprovider.address=" << ip << ":" << m_storePort
         << "\nprovider.form=kv\nprovider.writesPerS=400\nprovider.readsPerS=2000\nprovider.historyS=20\nprovider.valueBytes=1048576\n"
         << "provider.ttlMinMs=1000\n";
    return text.str();
}

void node_process::start(bool isFirstStart)
{
    const std::string path = m_folder + "/" + m_name + ".conf";
    std::ofstream(path) << settings(isFirstStart);
    const std::string variable = "REEDTRAIL_NODE_FILE=" + path;
    const std::string log = m_folder + "/" + m_name + ".log";
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        if (::chdir(m_root.c_str()) != 0) {
            ::_exit(127);
        }
        std::vector<std::string> words;
        std::istringstream command(m_command);
        for (std::string word; command >> word;) {
            words.push_back(word);
        }
        std::vector<char *> arguments;
        arguments.reserve(words.size() + 1);
        for (std::string &word : words) {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        std::string own = variable;
        char *environment[] = { own.data(), nullptr };
        ::execve(arguments.front(), arguments.data(), environment);
        ::_exit(127);
    }
    m_pid = pid;
}

void node_process::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

std::optional<int> node_process::ended()
{
    int status = 0;
    if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return std::nullopt;
    }
    m_pid = 0;
    return status;
}

bool node_process::awaitReady(std::int64_t timeoutMs) const
{
    const std::int64_t deadline = elapsedMs() + timeoutMs;
    while (elapsedMs() < deadline) {
        if (const auto connection = tcp_connection::connect(m_ready)) {
            http_message probe;
            probe.method = "GET";
            probe.target = "/-/readiness";
            probe.fields = { { "Host", "ready" } };
            bool isWhole = false;
            connection->write(encodeRequest(probe));
            const auto reply = connection->readResponse(isWhole, 1000);
            if (reply && reply->status == 200) {
                return true;
            }
        }
        sleepMs(100);
    }
    return false;
}

call_result callOnce(std::uint16_t port,
                     const std::string &method,
                     const std::string &target,
                     const std::vector<std::pair<std::string, std::string>> &fields,
                     const std::string &body,
                     std::int64_t timeoutMs)
{
    const auto connection = tcp_connection::connect(port);
    http_message request;
    request.method = method;
    request.target = target;
    request.fields = { { "Host", hostName } };
    request.fields.insert(request.fields.end(), fields.begin(), fields.end());
    request.body = body;
    bool isWhole = false;
    const bool isSent = connection && connection->write(encodeRequest(request));
    const std::optional<http_message> reply = isSent ? connection->readResponse(isWhole, timeoutMs) : std::nullopt;
    return reply && isWhole ? call_result{ reply->status, reply->body } : call_result{};
}

std::optional<case_setup> readSetup(int argc, char **argv)
{
    if (argc != 7) {
        std::fprintf(stderr, "usage: CASE ROOT FOLDER RECORD EDGE_COMMAND STORAGE_COMMAND TROUBLE\n");
        return std::nullopt;
    }
    return case_setup{ argv[1], argv[2], argv[3], argv[4], argv[5], std::string(argv[6]) != "0" };
}

deployment::deployment(const case_setup &setup, std::uint16_t storePort, int edges)
{
    for (int i = 0; i < edges; ++i) {
        const std::string zone = i % 2 == 0 ? "zone-a" : "zone-b";
        m_edges.push_back(std::make_unique<node_process>(
            setup.root, setup.folder, setup.edgeCommand, "edge-" + zone + "-" + std::to_string(i / 2 + 1), zone, true, storePort));
    }
    for (const char *zone : { "zone-a", "zone-b" }) {
        m_storages.push_back(
            std::make_unique<node_process>(setup.root, setup.folder, setup.storageCommand, std::string("storage-") + zone + "-1", zone, false, storePort));
    }
    std::string seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, m_edges.size()); ++i) {
        seeds += (i == 0 ? "127.0.0.1:" : ",127.0.0.1:") + std::to_string(m_edges[i]->control());
    }
    for (const auto &each : m_edges) {
        each->setSeeds(seeds);
    }
}

bool deployment::start()
{
    for (const auto &each : m_storages) {
        each->start(true);
    }
    for (const auto &each : m_edges) {
        each->start(true);
    }
    return std::ranges::all_of(m_edges, [](const auto &each) {
        return each->awaitReady(20000);
    });
}

void deployment::stop()
{
    m_edges.clear();
    m_storages.clear();
}

bool deployment::hasEnded()
{
    return std::ranges::any_of(m_edges, [](const auto &each) {
        return each->ended().has_value();
    });
}

void finish(deployment &nodes, int result)
{
    nodes.stop();
    std::_Exit(result);
}

json makeRoute(const std::string &name, const std::string &prefix, const std::string &kind, const std::string &service)
{
    return { { "name", name },           { "hostname", hostName }, { "prefix", prefix },   { "kind", kind },    { "timeoutMs", 10000 },
             { "targetLatencyMs", 400 }, { "priority", 1 },        { "service", service }, { "maxAttempts", 3 } };
}

json makeRegistration(const std::string &service, std::uint16_t port, const std::string &zone, int slots, std::int64_t born, const std::string &version)
{
    return { { "service", service },     { "address", "127.0.0.1:" + std::to_string(port) },
             { "zone", zone },           { "version", version },
             { "slots", slots },         { "state", "ready" },
             { "coldLeftMs", 0 },        { "sequence", 0 },
             { "born", born },           { "stage", "both" },
             { "models", json::array() } };
}

} // namespace review
