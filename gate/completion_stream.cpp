// Each event carries the number of tokens so far, so an event is new exactly if its offset is beyond the tokens received. Duplicates after a resume are
// dropped. An event does not carry its start offset. It starts where the previous event on the same connection ended, and the first event of a resumed
// connection starts at the requested offset, which is the number of tokens received.

#include "gate/completion_stream.h"

#include <nlohmann/json.hpp>

namespace reedtrail {
namespace {

constexpr std::string_view dataPrefix = "data:";
constexpr std::string_view endMarker = "[DONE]";

std::string stringField(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t unsignedField(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.back() == '\r' || text.back() == ' ')) {
        text.remove_suffix(1);
    }
    while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
    }
    return text;
}

} // namespace

std::vector<completion_chunk> completion_stream::feed(std::string_view bytes)
{
    std::vector<completion_chunk> chunks;
    m_unparsed.append(bytes);
    std::size_t begin = 0;
    for (std::size_t end = m_unparsed.find('\n', begin); end != std::string::npos; end = m_unparsed.find('\n', begin)) {
        const std::string_view line = std::string_view(m_unparsed).substr(begin, end - begin);
        begin = end + 1;
        if (line.starts_with(dataPrefix)) {
            applyEvent(trimmed(line.substr(dataPrefix.size())), chunks);
        }
    }
    m_unparsed.erase(0, begin);
    m_isBroken = m_isBroken || m_unparsed.size() > maximumEventBytes;
    return chunks;
}

void completion_stream::beginResume()
{
    m_unparsed.clear();
}

void completion_stream::applyEvent(std::string_view data, std::vector<completion_chunk> &out)
{
    if (m_isComplete || m_isBroken) {
        return;
    }
    if (data == endMarker) {
        m_isComplete = true;
        return;
    }
    const nlohmann::json event = nlohmann::json::parse(data, nullptr, false);
    if (!event.is_object() || event.contains("error")) {
        m_isBroken = true;
        return;
    }
    completion_chunk chunk;
    const auto choices = event.find("choices");
    if (choices != event.end() && choices->is_array() && !choices->empty() && choices->front().is_object()) {
        chunk.text = stringField(choices->front(), "text");
        chunk.finishReason = stringField(choices->front(), "finish_reason");
    }
    chunk.offset = unsignedField(event, "offset");
    chunk.version = unsignedField(event, "weight_version");
    const bool hasNewTokens = chunk.offset > m_offset;
    const bool isLastWithoutTokens = chunk.offset == m_offset && !chunk.finishReason.empty() && chunk.text.empty();
    if (!hasNewTokens && !isLastWithoutTokens) {
        return;
    }
    chunk.tokens = chunk.offset - m_offset;
    if (hasNewTokens) {
        recordVersion(m_offset, chunk.offset, chunk.version);
    }
    m_offset = chunk.offset;
    out.push_back(std::move(chunk));
}

void completion_stream::recordVersion(std::uint64_t from, std::uint64_t to, weight_version version)
{
    if (!m_versions.empty() && m_versions.back().version == version) {
        m_versions.back().to = to;
    } else {
        m_versions.push_back({ from, to, version });
    }
}

} // namespace reedtrail
