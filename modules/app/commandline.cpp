#include <lagoonroute/app/commandline.h>

#include "noderunner.h"
#include "solo.h"
#include "stopsignal.h"
#include "submitcommand.h"

#include <lagoonroute/app/agentnode.h>
#include <lagoonroute/app/entrynode.h>
#include <lagoonroute/base/errors.h>
#include <lagoonroute/observation/log.h>

#include <gflags/gflags.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

DEFINE_string(settings, "", "Settings file of the process (JSON with comments).");
DEFINE_uint32(agents, 3, "Number of agents in solo mode, from 1 to 50.");

namespace lagoonroute
{

namespace
{

constexpr int exitUsage = 2;

/** A command of the program: what the user types, what it does, and the function that does it. */
struct Command
{
    std::string name;
    std::string summary;
    std::function<int()> run;
};

template <typename Node>
int runNode()
{
    const Settings settings = Settings::fromFile(FLAGS_settings);
    startLogging(settings.node, settings.logLevel);
    blockStopSignals();
    Node node(settings);
    return runUntilStopped(node, ProcessLifecycle::Options().withWithdrawTime(settings.withdrawTime).withDrainLimit(settings.drainLimit));
}

int runSoloCommand()
{
    const Settings settings = Settings::fromFile(FLAGS_settings);
    startLogging(settings.node, settings.logLevel);
    blockStopSignals();
    runSolo(settings, FLAGS_agents);
    return 0;
}

const std::vector<Command> &commands()
{
    static const std::vector<Command> all{
        { "entry", "serve callers (--settings)", runNode<EntryNode> },
        { "agent", "serve the upstream on this host (--settings)", runNode<AgentNode> },
        { "solo", "run an entry, agents and sample upstreams in one process (--settings, --agents)", runSoloCommand },
        { "submit", "submit a job and print its outcome (--service, --job, --entries, --key, --caller)", runSubmitCommand },
    };
    return all;
}

std::string usage()
{
    std::string text = "lagoonroute COMMAND [flags]\n\nCommands:\n";
    for (const Command &command : commands()) {
        text += "  " + command.name + std::string(8 - command.name.size(), ' ') + command.summary + "\n";
    }
    return text;
}

} // namespace

int runCommandLine(int argc, char **argv)
{
    gflags::SetUsageMessage(usage());
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto command = std::find_if(commands().begin(), commands().end(), [&](const Command &known) { return argc >= 2 && known.name == argv[1]; });
    if (command == commands().end()) {
        std::cerr << usage();
        return exitUsage;
    }
    try {
        return command->run();
    } catch (const Error &error) {
        std::cerr << "lagoonroute: " << error.what() << "\n";
        return 1;
    }
}

} // namespace lagoonroute
