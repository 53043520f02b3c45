// The first word that is no option is the command; after "explain" come the kinds of its synopsis, after commands that take a file the names of files.

#include "ctl/shell_completion.h"

namespace reedtrail {
namespace {

std::string joined(std::span<const std::string> words, const std::string &prefix)
{
    std::string text;
    for (const std::string &word : words) {
        text += (text.empty() ? "" : " ") + prefix + word;
    }
    return text;
}

/** Returns the alternatives at the start of a synopsis, as "request|slot ID" has "request slot". */
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
    for (const ctl_command &each : commands) {
        names += (names.empty() ? "" : " ") + std::string(each.name);
        const std::string alternatives = alternativesOf(each.synopsis);
        if (!alternatives.empty()) {
            cases += "        " + std::string(each.name) + ") COMPREPLY=($(compgen -W \"" + alternatives + "\" -- \"$word\")) ;;\n";
        } else if (each.synopsis.find("FILE") != std::string_view::npos) {
            cases += "        " + std::string(each.name) + ") COMPREPLY=($(compgen -f -- \"$word\")) ;;\n";
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
        + joined(options, "--")
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
