/**
 * @file
 * HTTP requests and responses, independent of Boost.Beast.
 */
#pragma once

#include <cstdint>
#include <memory>
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

/** Header fields in the order received. Field names are compared case-insensitively. */
class http_fields
{
public:
    http_fields() = default;
    http_fields(std::initializer_list<http_field> fields)
        : m_fields(fields)
    {
    }
    /** Returns the value of the first field named @p name, or an empty view. */
    std::string_view get(std::string_view name) const;
    /** Replaces all fields named @p name by one with this value. */
    void set(std::string_view name, std::string value);
    /** Appends a field and keeps existing fields of the same name. */
    void add(std::string_view name, std::string value)
    {
        m_fields.push_back({ std::string(name), std::move(value) });
    }
    /** Removes all fields named @p name. */
    void remove(std::string_view name);
    const std::vector<http_field> &all() const
    {
        return m_fields;
    }

private:
    std::vector<http_field> m_fields;
};

/** Tells whether a name may stand in a header: a token (RFC 9110, 5.6.2). */
bool isFieldName(std::string_view name);
/** Tells whether a value may stand in a header: no control characters but the tab (RFC 9110, 5.5). */
bool isFieldValue(std::string_view value);
/** Tells whether a text may be the target of a request: a path and a query in visible ASCII characters (RFC 9112, 3.2). */
bool isRequestTarget(std::string_view target);

/** Returns @p fields without hop-by-hop fields and Content-Length, for forwarding a message. */
http_fields endToEndFields(const http_fields &fields);

/** An HTTP request. */
struct http_request
{
    std::string method = "GET";
    std::string target = "/"; ///< Path and query as sent.
    http_fields fields;
    std::string body;
    std::shared_ptr<const std::string> sharedBody; ///< Sent in place of body if it is set, without a copy.

    /** Returns the path without the query. */
    std::string_view path() const;
    /** Returns the percent-decoded value of @p key in the query string, if present. */
    std::optional<std::string> query(std::string_view key) const;
};

/** An HTTP response; if the body is streamed, only status and header fields are set. */
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
