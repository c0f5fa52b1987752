#include <lagoonroute/app/commandline.h>

#include "blockingstore.h"
#include "configcommand.h"
#include "httprevisionreader.h"
#include "noderunner.h"
#include "solo.h"
#include "stopsignal.h"
#include "submitcommand.h"
#include <lagoonroute/app/addresstext.h>

#include <lagoonroute/app/agentnode.h>
#include <lagoonroute/app/entrynode.h>
#include <lagoonroute/base/errors.h>
#include <lagoonroute/http/httpstore.h>
#include <lagoonroute/observation/log.h>

#include <gflags/gflags.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

DEFINE_string(settings, "", "Settings file of the process (JSON with comments).");
DEFINE_string(store, "127.0.0.1:7300", "Address of the platform's store, for the config commands.");
DEFINE_uint32(agents, 3, "Number of agents in solo mode, from 1 to 50.");

namespace lagoonroute
{

namespace
{

constexpr int exitUsage = 2;
constexpr std::size_t nameColumnWidth = 14; // Longest command name and two spaces.
constexpr Duration storeTimeout = std::chrono::seconds(5);

template <typename Node>
int runNode(const CommandInput & /*input*/)
{
    const Settings settings = Settings::fromFile(FLAGS_settings);
    startLogging(settings.node, settings.logLevel);
    blockStopSignals();
    Node node(settings);
    return runUntilStopped(node, ProcessLifecycle::Options().withWithdrawTime(settings.withdrawTime).withDrainLimit(settings.drainLimit));
}

int runSoloCommand(const CommandInput & /*input*/)
{
    const Settings settings = Settings::fromFile(FLAGS_settings);
    startLogging(settings.node, settings.logLevel);
    blockStopSignals();
    runSolo(settings, FLAGS_agents);
    return 0;
}

int runConfig(const CommandInput &input)
{
    WakeSignal signal;
    HttpStore port(HttpStore::Options().withServer(addressFromText(FLAGS_store)), signal);
    BlockingStore store(port, signal, storeTimeout);
    HttpRevisionReader reader;
    const ConfigOptions options = ConfigOptions::fromFlags({ input.arguments.begin() + 1, input.arguments.end() });
    return static_cast<int>(runConfigCommand(options, ConfigPorts::of(store, reader, std::cout, std::cerr)));
}

std::vector<Command> builtInCommands()
{
    return {
        { "entry", "serve callers (--settings)", runNode<EntryNode> },
        { "agent", "serve the upstream on this host (--settings)", runNode<AgentNode> },
        { "solo", "run an entry, agents and sample upstreams in one process (--settings, --agents)", runSoloCommand },
        { "submit",
          "submit a job and print its outcome (--service, --job, --entries, --key, --caller)",
          [](const CommandInput &) { return runSubmitCommand(); } },
        { "config", "check, compare, submit or look up the configuration (--store; \"lagoonroute config\" lists the commands)", runConfig },
    };
}

std::string usage(const std::vector<Command> &commands)
{
    std::string text = "lagoonroute COMMAND [flags]\n\nCommands:\n";
    for (const Command &command : commands) {
        text += "  " + command.name + std::string(nameColumnWidth - command.name.size(), ' ') + command.summary + "\n";
    }
    return text;
}

} // namespace

int runCommandLine(int argc, char **argv, const std::vector<Command> &additionalCommands)
{
    std::vector<Command> commands = builtInCommands();
    commands.insert(commands.end(), additionalCommands.begin(), additionalCommands.end());
    gflags::SetUsageMessage(usage(commands));
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto command = std::find_if(commands.begin(), commands.end(), [&](const Command &known) { return argc >= 2 && known.name == argv[1]; });
    if (command == commands.end()) {
        std::cerr << usage(commands);
        return exitUsage;
    }
    try {
        return command->run(CommandInput{ { argv + 1, argv + argc }, FLAGS_settings });
    } catch (const Error &error) {
        std::cerr << "lagoonroute: " << error.what() << "\n";
        return 1;
    }
}

} // namespace lagoonroute
