// The list is only a hint: a VM that it lists as live may no longer exist, and a running VM may be missing from it.

#include "steward/vm_list_reader.h"

#include <nlohmann/json.hpp>

namespace reedtrail {
namespace {

constexpr duration readInterval = std::chrono::seconds(1);
constexpr duration readTimeout = std::chrono::seconds(2);

vm_list parseList(const std::string &text)
{
    vm_list list;
    const nlohmann::json body = nlohmann::json::parse(text);
    for (const nlohmann::json &vm : body.at("vms")) {
        const std::string address = vm.value("address", std::string());
        if (vm.value("state", std::string()) == "leaving") {
            list.leaving.insert(address);
            list.leaving.insert(vm.value("name", std::string()));
        } else {
            list.live.push_back(address);
        }
    }
    list.leaving.erase("");
    return list;
}

} // namespace

vm_list_reader::vm_list_reader(boost::asio::io_context &io, std::function<void(const vm_list &)> onList)
    : m_client(io, {})
    , m_timer(io)
    , m_onList(std::move(onList))
{
}

void vm_list_reader::setAddress(const std::string &address)
{
    const bool wasStopped = m_address.empty();
    m_address = address;
    if (wasStopped && !address.empty() && !m_isReading) {
        read();
    }
}

void vm_list_reader::stop()
{
    m_address.clear();
    m_timer.cancel();
}

void vm_list_reader::read()
{
    std::optional<endpoint> where;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(parsed, parseEndpoint(m_address));
        where = parsed;
        return {};
    });
    if (error) {
        m_lastError = error->detail;
        return;
    }
    m_isReading = true;
    http_call_options limits;
    limits.silenceTimeout = readTimeout;
    limits.deadline = readTimeout;
    m_client.call(*where, { "GET", "/v1/vms", {}, "" }, limits, [this](const http_call_end &end, const http_response &response) {
        m_isReading = false;
        m_lastError = end.error == error_kind::None && response.status == 200 ? "" : "no list: " + end.detail;
        try {
            if (m_lastError.empty() && !m_address.empty()) {
                m_onList(parseList(response.body));
            }
        } catch (const nlohmann::json::exception &problem) {
            m_lastError = problem.what();
        }
        scheduleRead();
    });
}

void vm_list_reader::scheduleRead()
{
    if (m_address.empty()) {
        return;
    }
    m_timer.expires_after(readInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error && !m_address.empty() && !m_isReading) {
            read();
        }
    });
}

} // namespace reedtrail
