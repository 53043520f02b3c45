// A host has only a few routes, so a linear scan from the longest prefix to the shortest is faster than a trie.

#include "fleet/route_table.h"

#include <algorithm>
#include <cctype>

namespace reedtrail {
namespace {

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return lower;
}

} // namespace

route_table::route_table(route_document document)
    : m_document(std::move(document))
{
    for (std::size_t i = 0; i < m_document.routes.size(); ++i) {
        m_byHost[lowerCase(m_document.routes[i].host)].push_back(i);
    }
    for (auto &[host, indexes] : m_byHost) {
        std::ranges::stable_sort(indexes, [&](std::size_t left, std::size_t right) {
            return m_document.routes[left].prefix.size() > m_document.routes[right].prefix.size();
        });
    }
}

const route *route_table::match(std::string_view host, std::string_view path) const
{
    const std::string_view name = host.substr(0, host.rfind(':'));
    const auto found = m_byHost.find(lowerCase(name));
    if (found == m_byHost.end()) {
        return nullptr;
    }
    for (const std::size_t index : found->second) {
        if (path.starts_with(m_document.routes[index].prefix)) {
            return &m_document.routes[index];
        }
    }
    return nullptr;
}

bool route_table::hasOpenJobRoute(std::string_view host) const
{
    const auto found = m_byHost.find(lowerCase(host.substr(0, host.rfind(':'))));
    return found != m_byHost.end() && std::ranges::any_of(found->second, [this](std::size_t index) {
               return m_document.routes[index].kind == route_kind::Batch && m_document.routes[index].isOpen;
           });
}

const service_spec *route_table::service(std::string_view name) const
{
    const auto found = m_document.services.find(std::string(name));
    return found == m_document.services.end() ? nullptr : &found->second;
}

const std::string &chooseService(const route &matched, random_source &random)
{
    static const std::string emptyName;
    double total = 0;
    for (const weighted_service &candidate : matched.services) {
        total += candidate.weight;
    }
    double remaining = random.unit() * total;
    for (const weighted_service &candidate : matched.services) {
        remaining -= candidate.weight;
        if (remaining < 0 && candidate.weight > 0) {
            return candidate.service;
        }
    }
    return matched.services.empty() ? emptyName : matched.services.back().service;
}

} // namespace reedtrail
