/**
 * @file
 * Parses a streamed completion incrementally and checks its text against the prompt. It does no I/O.
 *
 *     completion_check check("prompt");
 *     check.add(part);                 // bytes in the order received, in chunks of any size
 *     check.isCompleteAndCorrect();    // finish reason and [DONE] received, all tokens in order
 */
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace reedtrail {

/** Checker of one streamed completion. */
class completion_check
{
public:
    explicit completion_check(std::string prompt);

    /** Processes the next bytes of the stream. */
    void add(std::string_view part);
    /** Returns whether the completion has ended regularly and all its text is correct. */
    bool isCompleteAndCorrect() const
    {
        return m_hasDoneMarker && m_hasFinishReason && m_wrongText.empty();
    }
    /** Returns the first text that differs from what the engine generates for the prompt, or an empty string. */
    const std::string &wrongText() const
    {
        return m_wrongText;
    }
    /** Returns the body of the error event, or null if none was received. */
    const nlohmann::json &error() const
    {
        return m_error;
    }
    /** Returns the number of tokens received. */
    std::uint64_t tokens() const
    {
        return m_tokens;
    }

private:
    void processLine(std::string_view line);
    void processChunk(const nlohmann::json &chunk);
    void compareText(const std::string &text);

    std::string m_prompt;
    std::string m_line;
    std::string m_expected; ///< Expected text that was generated but not yet compared.
    std::string m_wrongText;
    nlohmann::json m_error;
    std::uint64_t m_tokens = 0;
    bool m_hasFinishReason = false;
    bool m_hasDoneMarker = false;
};

} // namespace reedtrail
