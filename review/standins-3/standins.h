#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace standins
{

/** Runs the platform's store. It begins with the configuration under op/config. */
void runStore(int port, const std::string &configurationBase64);

/** How a worker is set up. */
struct WorkerOptions
{
    int port = 0; /**< For calls from the agent. */
    int agentPort = 0; /**< Where it sends its heartbeats. */
    std::string id;
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    std::string log; /**< File to which it appends what begins and ends. */
    int cpu = 64'000;
};

/**
 * Runs a worker as PROTOCOL.md describes it. The spec of a task names its work: "work=1500" for 1,500 ms.
 *
 * Its steady clock doesn't count time for which the process was stopped, as that of a suspended machine doesn't.
 */
void runWorker(const WorkerOptions &options);

} // namespace standins
