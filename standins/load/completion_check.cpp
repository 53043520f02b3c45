// Server-sent events are parsed line by line. Only "data:" lines are evaluated; lines that start with a colon are keep-alive comments.

#include "standins/load/completion_check.h"

#include "standins/engine_model.h"

namespace reedtrail {

completion_check::completion_check(std::string prompt)
    : m_prompt(std::move(prompt))
{
}

void completion_check::add(std::string_view part)
{
    while (!part.empty()) {
        const std::size_t end = part.find('\n');
        m_line.append(part.substr(0, end));
        if (end == std::string_view::npos) {
            return;
        }
        processLine(m_line);
        m_line.clear();
        part.remove_prefix(end + 1);
    }
}

void completion_check::processLine(std::string_view line)
{
    constexpr std::string_view prefix = "data: ";
    if (!line.starts_with(prefix)) {
        return;
    }
    line.remove_prefix(prefix.size());
    if (line.starts_with("[DONE]")) {
        m_hasDoneMarker = true;
        return;
    }
    const nlohmann::json chunk = nlohmann::json::parse(line, nullptr, false);
    if (!chunk.is_object()) {
        m_wrongText = std::string(line);
    } else if (chunk.contains("error")) {
        m_error = chunk;
    } else {
        processChunk(chunk);
    }
}

void completion_check::processChunk(const nlohmann::json &chunk)
{
    const nlohmann::json choices = chunk.value("choices", nlohmann::json::array());
    if (choices.empty()) {
        return;
    }
    compareText(choices[0].value("text", ""));
    const nlohmann::json reason = choices[0].value("finish_reason", nlohmann::json());
    m_hasFinishReason = m_hasFinishReason || reason == "stop" || reason == "length";
}

void completion_check::compareText(const std::string &text)
{
    while (m_expected.size() < text.size()) {
        m_expected += tokenText(m_prompt, m_tokens++);
    }
    if (!m_expected.starts_with(text) && m_wrongText.empty()) {
        m_wrongText = text;
    }
    m_expected.erase(0, text.size());
}

} // namespace reedtrail
