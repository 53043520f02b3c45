/**
 * @file
 * HTTP requests and responses as the rest of the system sees them, free of Boost.Beast.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** One header field. */
struct http_field
{
    std::string name;
    std::string value;
};

/** Header fields in the order received; names compare without case. */
class http_fields
{
public:
    http_fields() = default;
    http_fields(std::initializer_list<http_field> fields)
        : m_fields(fields)
    {
    }
    /** Returns the value of the first field @p name, or an empty view. */
    std::string_view get(std::string_view name) const;
    /** Replaces all fields @p name by one. */
    void set(std::string_view name, std::string value);
    /** Adds a field, also beside others of the same name. */
    void add(std::string_view name, std::string value)
    {
        m_fields.push_back({ std::string(name), std::move(value) });
    }
    /** Removes all fields @p name. */
    void remove(std::string_view name);
    const std::vector<http_field> &all() const
    {
        return m_fields;
    }

private:
    std::vector<http_field> m_fields;
};

/** Returns the fields that concern more than one connection, for a message that is passed on. */
http_fields endToEndFields(const http_fields &fields);

/** A request. */
struct http_request
{
    std::string method = "GET";
    std::string target = "/"; ///< Path and query as sent.
    http_fields fields;
    std::string body;

    /** Returns the path without the query. */
    std::string_view path() const;
    /** Returns the decoded value of @p key in the query, if present. */
    std::optional<std::string> query(std::string_view key) const;
};

/** A response, or its head when the body is streamed. */
struct http_response
{
    std::uint16_t status = 200;
    http_fields fields;
    std::string body;
};

/** Makes a response with a JSON body. */
http_response jsonResponse(std::uint16_t status, std::string body);

/** Makes a response with a plain text body. */
http_response textResponse(std::uint16_t status, std::string body);

} // namespace reedtrail
