#include <lagoonroute/app/commandline.h>

#include "solo.h"
#include "stopsignal.h"

#include <lagoonroute/app/agentnode.h>
#include <lagoonroute/app/entrynode.h>
#include <lagoonroute/base/errors.h>
#include <lagoonroute/observation/log.h>

#include <gflags/gflags.h>

#include <iostream>
#include <string>

DEFINE_string(settings, "", "Settings file of the process (JSON with comments).");
DEFINE_uint32(agents, 3, "Number of agents in solo mode, from 1 to 50.");

namespace lagoonroute
{

namespace
{

constexpr int exitUsage = 2;

const char *const usage
    = "lagoonroute COMMAND [flags]\n\n"
      "  entry   serve callers\n"
      "  agent   serve the upstream on this host\n"
      "  solo    an entry, agents and sample upstreams in one process\n";

template <typename Node>
int runNode(const Settings &settings)
{
    const Node node(settings);
    waitForStopSignal();
    return 0;
}

int runCommand(const std::string &command)
{
    const Settings settings = Settings::fromFile(FLAGS_settings);
    startLogging(settings.node, settings.logLevel);
    blockStopSignals();
    if (command == "entry") {
        return runNode<EntryNode>(settings);
    }
    if (command == "agent") {
        return runNode<AgentNode>(settings);
    }
    if (command == "solo") {
        runSolo(settings, FLAGS_agents);
        return 0;
    }
    std::cerr << "unknown command \"" << command << "\"\n\n" << usage;
    return exitUsage;
}

} // namespace

int runCommandLine(int argc, char **argv)
{
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc != 2) {
        std::cerr << usage;
        return exitUsage;
    }
    try {
        return runCommand(argv[1]);
    } catch (const Error &error) {
        std::cerr << "lagoonroute: " << error.what() << "\n";
        return 1;
    }
}

} // namespace lagoonroute
