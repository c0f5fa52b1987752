#pragma once

#include <functional>
#include <string>
#include <vector>

namespace lagoonroute
{

/** What a command is called with. */
struct CommandInput
{
    std::vector<std::string> arguments; /**< Without flags; they begin with the command's name. */
    std::string settingsPath; /**< Of the flag --settings; empty when it is not given. */
};

/** A command of the program: what the user types, what it does, and the function that does it. */
struct Command
{
    std::string name;
    std::string summary;
    std::function<int(const CommandInput &)> run;
};

/** Runs the command that the arguments name, one of the product's or of those given. Returns the exit code of the process. */
int runCommandLine(int argc, char **argv, const std::vector<Command> &furtherCommands);

} // namespace lagoonroute
