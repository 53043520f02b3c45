// Messages have few fields, so a linear case-insensitive search is faster than a map. A list also keeps the order of fields, which forwarding requires.

#include "net/http_message.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace reedtrail {
namespace {

constexpr std::array<std::string_view, 9> hopByHopFields{ "connection",        "keep-alive", "proxy-authenticate", "proxy-connection", "te", "trailer",
                                                          "transfer-encoding", "upgrade",    "content-length" };

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return lower;
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

int hexDigit(char character)
{
    const int lower = std::tolower(static_cast<unsigned char>(character));
    if (lower >= '0' && lower <= '9') {
        return lower - '0';
    }
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isEscape = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0;
        if (isEscape) {
            decoded += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
            i += 2;
        } else {
            decoded += text[i] == '+' ? ' ' : text[i];
        }
    }
    return decoded;
}

} // namespace

std::string_view http_fields::get(std::string_view name) const
{
    for (const http_field &field : m_fields) {
        if (equalsIgnoringCase(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

void http_fields::set(std::string_view name, std::string value)
{
    remove(name);
    m_fields.push_back({ std::string(name), std::move(value) });
}

void http_fields::remove(std::string_view name)
{
    std::erase_if(m_fields, [&](const http_field &field) {
        return equalsIgnoringCase(field.name, name);
    });
}

std::string_view http_request::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::optional<std::string> http_request::query(std::string_view key) const
{
    const std::size_t start = target.find('?');
    if (start == std::string::npos) {
        return std::nullopt;
    }
    std::string_view rest = std::string_view(target).substr(start + 1);
    while (!rest.empty()) {
        const std::string_view item = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), item.size() + 1));
        const std::size_t equals = item.find('=');
        if (item.substr(0, equals) == key) {
            return equals == std::string_view::npos ? "" : percentDecoded(item.substr(equals + 1));
        }
    }
    return std::nullopt;
}

http_response jsonResponse(std::uint16_t status, std::string body)
{
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

http_response textResponse(std::uint16_t status, std::string body)
{
    return { status, { { "Content-Type", "text/plain; charset=utf-8" } }, std::move(body) };
}

bool isFieldName(std::string_view name)
{
    static constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::ranges::all_of(name, [](unsigned char each) {
        return (each < 0x80 && std::isalnum(each) != 0) || marks.find(static_cast<char>(each)) != std::string_view::npos;
    });
}

bool isFieldValue(std::string_view value)
{
    return std::ranges::all_of(value, [](unsigned char each) {
        return each == '\t' || (each >= ' ' && each != 0x7f);
    });
}

bool isRequestTarget(std::string_view target)
{
    return target.starts_with('/') && std::ranges::all_of(target, [](unsigned char each) {
               return each > ' ' && each < 0x7f;
           });
}

http_fields endToEndFields(const http_fields &fields)
{
    const std::string connectionOptions = lowerCase(fields.get("Connection"));
    http_fields forwarded;
    for (const http_field &field : fields.all()) {
        const std::string name = lowerCase(field.name);
        if (std::ranges::find(hopByHopFields, name) == hopByHopFields.end() && connectionOptions.find(name) == std::string::npos) {
            forwarded.add(field.name, field.value);
        }
    }
    return forwarded;
}

} // namespace reedtrail
