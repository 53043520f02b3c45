/**
 * @file
 * Typed identifiers. Two kinds of id never mix: a node_id is not a server_id though both hold text.
 *
 *     server_id server{"engine-3"};
 *     std::string_view text = server.view();
 */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace reedtrail {

/** An identifier made of text; @p Tag tells one kind from another. */
template<class Tag>
class text_id
{
public:
    text_id() = default;
    explicit text_id(std::string value)
        : m_value(std::move(value))
    {
    }
    /** Returns the text. */
    const std::string &str() const
    {
        return m_value;
    }
    /** Returns a view of the text, valid as long as this id. */
    std::string_view view() const
    {
        return m_value;
    }
    /** Tells whether no id was set. */
    bool empty() const
    {
        return m_value.empty();
    }
    auto operator<=>(const text_id &) const = default;
    friend std::ostream &operator<<(std::ostream &out, const text_id &id)
    {
        return out << id.m_value;
    }
    template<class Json>
    friend void to_json(Json &json, const text_id &id)
    {
        json = id.m_value;
    }
    template<class Json>
    friend void from_json(const Json &json, text_id &id)
    {
        id.m_value = json.template get<std::string>();
    }

private:
    std::string m_value;
};

using node_id = text_id<struct node_id_tag>; ///< An entry VM.
using zone_id = text_id<struct zone_id_tag>; ///< An availability zone.
using region_id = text_id<struct region_id_tag>; ///< A region: several availability zones near each other.
using server_id = text_id<struct server_id_tag>; ///< A backend server.
using pool_id = text_id<struct pool_id_tag>; ///< Backend servers that serve the same thing.
using customer_id = text_id<struct customer_id_tag>; ///< Who pays for a request, and whose share it spends.
using run_id = text_id<struct run_id_tag>; ///< A training run.
using request_id = text_id<struct request_id_tag>; ///< One request of one caller.
using operation_id = text_id<struct operation_id_tag>; ///< One write to the store, so that a lost answer can be resolved by reading back.

/** A version of a run's weights. Versions of one run rise; 0 means none. */
using weight_version = std::uint64_t;

/** An incarnation of a process: higher after each start, so that what an earlier one said can be told apart. */
using incarnation = std::uint64_t;

/** An epoch of an ownership: raised by each takeover, and used as fencing number. */
using epoch_number = std::uint64_t;

/** One place of a training step: a step has groups, a group has samples for the same prompt. */
struct slot_id
{
    run_id run;
    std::uint64_t step = 0;
    std::uint32_t group = 0;
    std::uint32_t index = 0;
    auto operator<=>(const slot_id &) const = default;
};

} // namespace reedtrail

template<class Tag>
struct std::hash<reedtrail::text_id<Tag>>
{
    std::size_t operator()(const reedtrail::text_id<Tag> &id) const noexcept
    {
        return std::hash<std::string_view>{}(id.view());
    }
};
