// The first word that names a command selects the completion of its arguments: the alternatives in its synopsis, such as the kinds of explain, or file names
// if it takes a file.

#include "ctl/shell_completion.h"

namespace reedtrail {
namespace {

/** Returns the words separated by spaces, each preceded by @p prefix. */
std::string joinWords(std::span<const std::string> words, const std::string &prefix)
{
    std::string text;
    for (const std::string &word : words) {
        text += (text.empty() ? "" : " ") + prefix + word;
    }
    return text;
}

/** Returns the alternatives of the first argument in a synopsis: "request slot" for "request|slot ID". Empty if there are none. */
std::string alternativesOf(std::string_view synopsis)
{
    const std::string_view first = synopsis.substr(0, synopsis.find(' '));
    if (first.find('|') == std::string_view::npos) {
        return "";
    }
    std::string text(first);
    for (char &letter : text) {
        letter = letter == '|' ? ' ' : letter;
    }
    return text;
}

} // namespace

std::string bashCompletion(std::span<const ctl_command> commands, std::span<const std::string> options)
{
    std::string names;
    std::string cases;
    for (const ctl_command &command : commands) {
        names += (names.empty() ? "" : " ") + std::string(command.name);
        const std::string alternatives = alternativesOf(command.synopsis);
        if (!alternatives.empty()) {
            cases += "        " + std::string(command.name) + ") COMPREPLY=($(compgen -W \"" + alternatives + "\" -- \"$word\")) ;;\n";
        } else if (command.synopsis.find("FILE") != std::string_view::npos) {
            cases += "        " + std::string(command.name) + ") COMPREPLY=($(compgen -f -- \"$word\")) ;;\n";
        }
    }
    return "_reedtrailctl() {\n"
           "    local word=${COMP_WORDS[COMP_CWORD]} command=\"\" each\n"
           "    for each in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
           "        case \" "
        + names
        + " \" in *\" $each \"*) command=$each; break ;; esac\n"
          "    done\n"
          "    if [[ $word == -* ]]; then\n"
          "        COMPREPLY=($(compgen -W \""
        + joinWords(options, "--")
        + "\" -- \"$word\"))\n"
          "        return\n"
          "    fi\n"
          "    case $command in\n"
          "        \"\") COMPREPLY=($(compgen -W \""
        + names + "\" -- \"$word\")) ;;\n" + cases
        + "    esac\n"
          "}\n"
          "complete -F _reedtrailctl reedtrailctl\n";
}

} // namespace reedtrail
