/**
 * @file
 * Follows a streamed completion as a caller does, and checks it against the prompt. Pure.
 *
 *     completion_check check("prompt");
 *     check.add(part);                 // bytes as they come
 *     check.isWhole();                 // saw the finish reason and the end mark, and all tokens in order
 */
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace reedtrail {

/** The check of one answer. */
class completion_check
{
public:
    explicit completion_check(std::string prompt);

    /** Takes the next bytes of the stream. */
    void add(std::string_view part);
    /** Tells whether the answer came whole and is the right one. */
    bool isWhole() const
    {
        return m_hasEndMark && m_hasFinishReason && m_wrongText.empty();
    }
    /** Returns text that is not what the engine makes for the prompt, or nothing. */
    const std::string &wrongText() const
    {
        return m_wrongText;
    }
    /** Returns the error event's body, if one came. */
    const nlohmann::json &error() const
    {
        return m_error;
    }
    std::uint64_t tokens() const
    {
        return m_tokens;
    }

private:
    void takeLine(std::string_view line);
    void takeChunk(const nlohmann::json &chunk);
    void takeText(const std::string &text);

    std::string m_prompt;
    std::string m_line;
    std::string m_expected; ///< Text of the next tokens that was not seen yet.
    std::string m_wrongText;
    nlohmann::json m_error;
    std::uint64_t m_tokens = 0;
    bool m_hasFinishReason = false;
    bool m_hasEndMark = false;
};

} // namespace reedtrail
