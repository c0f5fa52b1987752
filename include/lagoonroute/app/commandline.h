#pragma once

#include <functional>
#include <string>
#include <vector>

namespace lagoonroute
{

/** Input of a command. */
struct CommandInput
{
    std::vector<std::string> arguments; /**< Positional arguments without flags; the first is the command's name. */
    std::string settingsPath; /**< Value of the flag --settings; empty when the flag is not given. */
};

/** Command of the program: its name, the summary in the usage text, and the function that runs it. */
struct Command
{
    std::string name;
    std::string summary;
    std::function<int(const CommandInput &)> run;
};

/** Runs the command named by the first argument, built in or one of `additionalCommands`. Returns the exit code of the process. */
int runCommandLine(int argc, char **argv, const std::vector<Command> &additionalCommands);

} // namespace lagoonroute
