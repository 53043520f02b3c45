// An envelope is a CBOR array [name, correlation, is answer, body]. Bodies are CBOR maps with text keys: a few bytes more than positions, but a
// receiver of another release skips what it does not know. Bounds: 4 MiB a message and 64 levels of nesting, both checked before decoding, since the
// decoder calls itself for each level and a hostile message would end the stack.

#include "base/cbor_codec.h"

namespace reedtrail {
namespace {

constexpr std::size_t maximumDepth = 64;

/** Follows a CBOR value without keeping it, and stops where it is nested too deep. */
class depth_check : public nlohmann::json_sax<nlohmann::json>
{
public:
    bool null() override
    {
        return true;
    }
    bool boolean(bool) override
    {
        return true;
    }
    bool number_integer(number_integer_t) override
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t) override
    {
        return true;
    }
    bool number_float(number_float_t, const string_t &) override
    {
        return true;
    }
    bool string(string_t &) override
    {
        return true;
    }
    bool binary(binary_t &) override
    {
        return true;
    }
    bool start_object(std::size_t) override
    {
        return ++m_depth <= maximumDepth;
    }
    bool key(string_t &) override
    {
        return true;
    }
    bool end_object() override
    {
        --m_depth;
        return true;
    }
    bool start_array(std::size_t) override
    {
        return ++m_depth <= maximumDepth;
    }
    bool end_array() override
    {
        --m_depth;
        return true;
    }
    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override
    {
        return false;
    }

private:
    std::size_t m_depth = 0;
};

bool isNestedModestly(std::span<const std::uint8_t> bytes)
{
    depth_check check;
    return nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &check, nlohmann::json::input_format_t::cbor);
}

} // namespace

std::vector<std::uint8_t> encodeEnvelope(const envelope &message)
{
    return nlohmann::json::to_cbor(nlohmann::json::array({ message.name, message.correlation, message.isAnswer, message.body }));
}

result<envelope> decodeEnvelope(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() > maximumMessageBytes) {
        return fail(error_kind::TooLarge, "message of " + std::to_string(bytes.size()) + " bytes");
    }
    if (!isNestedModestly(bytes)) {
        return fail(error_kind::BadRequest, "bytes that are no message, or one nested too deep");
    }
    nlohmann::json array = nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
    const bool wellFormed = array.is_array() && array.size() == 4 && array[0].is_string() && array[1].is_number_unsigned() && array[2].is_boolean();
    if (!wellFormed) {
        return fail(error_kind::BadRequest, "bytes that are no message");
    }
    return envelope{ array[0].get<std::string>(), array[1].get<std::uint64_t>(), array[2].get<bool>(), std::move(array[3]) };
}

} // namespace reedtrail
