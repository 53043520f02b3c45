// An envelope is a CBOR array [name, correlation, is answer, body]. Bodies are CBOR maps with text keys: a few bytes more than positions, but a
// receiver of another release skips what it does not know. Bound: 4 MiB a message, checked before decoding.

#include "base/cbor_codec.h"

namespace reedtrail {

std::vector<std::uint8_t> encodeEnvelope(const envelope &message)
{
    return nlohmann::json::to_cbor(nlohmann::json::array({ message.name, message.correlation, message.isAnswer, message.body }));
}

result<envelope> decodeEnvelope(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() > maximumMessageBytes) {
        return fail(error_kind::TooLarge, "message of " + std::to_string(bytes.size()) + " bytes");
    }
    nlohmann::json array = nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
    const bool wellFormed = array.is_array() && array.size() == 4 && array[0].is_string() && array[1].is_number_unsigned() && array[2].is_boolean();
    if (!wellFormed) {
        return fail(error_kind::BadRequest, "bytes that are no message");
    }
    return envelope{ array[0].get<std::string>(), array[1].get<std::uint64_t>(), array[2].get<bool>(), std::move(array[3]) };
}

} // namespace reedtrail
