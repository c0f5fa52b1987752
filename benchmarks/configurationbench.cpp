/*
 * Measures under virtual time how an accepted configuration reaches every process, with three methods:
 *  - "push": the configuration cores with their default options. Processes that watch the store forward a revision to
 *    others; gossip and requests to peers supply it to the processes that were missed.
 *  - "pull": the same cores without forwarding.
 *  - "tree": a delivery tree with acknowledgments and backup links, for comparison.
 *
 * Prints one line for each method, number of processes and number of failed processes. The exit code is 1 when a revision
 * takes longer than the target, or misses a process, with "push" or "pull".
 */

#include "deliverytree.h"
#include "distributionnetwork.h"

#include <algorithm>
#include <cstdio>

namespace
{

using namespace lagoonroute;

constexpr Duration target = std::chrono::seconds(14);
constexpr std::size_t zones = 3;
constexpr std::uint32_t changes = 20;

double milliseconds(Duration time)
{
    return static_cast<double>(time.count()) / 1000.0;
}

/** Distribution delays over all processes and changes, and the messages and store calls per change. */
struct Result
{
    std::vector<Duration> delays;
    double messagesPerChange = 0;
    double storeCallsPerChange = 0;
    std::uint64_t missed = 0; /**< Number of times that a running process did not have a revision in force within the target. */
};

Configuration content(std::uint32_t change)
{
    return Configuration::Builder().withService(ServiceRules::Builder("booking").withQueueLimit(change).build()).build();
}

/** Runs the configuration cores. The last `failed` processes are stopped just before each change, before any other process detects it. */
Result runCores(std::size_t processes, std::size_t failed, std::size_t pushFanout)
{
    DistributionNetwork network(processes, zones, processes, ConfigurationCore::Options().withPushFanout(pushFanout));
    Result result;
    Instant published{};
    network.onAction = [&](std::size_t, const ConfigurationAction &action) {
        if (std::holds_alternative<RevisionInForce>(action) && published != Instant{}) {
            result.delays.push_back(network.now() - published);
        }
    };
    network.publish(content(1));
    network.run(target);
    const std::uint64_t messages = network.messages;
    const std::uint64_t calls = network.storeCalls;
    for (std::uint32_t change = 2; change < 2 + changes; ++change) {
        for (std::size_t index = processes - failed; index < processes; ++index) {
            network.stop(index);
        }
        const std::size_t before = result.delays.size();
        published = network.now();
        network.publish(content(change));
        network.run(target);
        result.missed += processes - failed - (result.delays.size() - before);
    }
    result.messagesPerChange = static_cast<double>(network.messages - messages) / changes;
    result.storeCallsPerChange = static_cast<double>(network.storeCalls - calls) / changes;
    return result;
}

Result runTree(std::size_t processes, std::size_t failed)
{
    Result result;
    std::uint64_t messages = 0;
    for (std::uint32_t change = 0; change < changes; ++change) {
        const DeliveryTree tree(processes, failed, change + 1);
        messages += tree.messages();
        result.delays.insert(result.delays.end(), tree.delays().begin(), tree.delays().end());
        result.missed += processes - failed - tree.delays().size();
    }
    result.messagesPerChange = static_cast<double>(messages) / changes;
    result.storeCallsPerChange = 2; // One call by the root and one by its backup.
    return result;
}

Duration quantile(std::vector<Duration> &values, double share)
{
    const auto nth = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), nth, values.end());
    return *nth;
}

bool report(const char *method, std::size_t processes, std::size_t failed, Result result)
{
    const Duration longest = quantile(result.delays, 1);
    std::printf("%-6s %9zu %7zu %9.1f %9.1f %9.1f %10.1f %12.2f %7llu\n",
                method,
                processes,
                failed,
                milliseconds(quantile(result.delays, 0.5)),
                milliseconds(quantile(result.delays, 0.99)),
                milliseconds(longest),
                result.messagesPerChange,
                result.storeCallsPerChange,
                static_cast<unsigned long long>(result.missed));
    return longest <= target && result.missed == 0;
}

} // namespace

int main()
{
    bool isOnTarget = true;
    std::printf("%-6s %9s %7s %9s %9s %9s %10s %12s %7s\n", "way", "processes", "failed", "p50 ms", "p99 ms", "max ms", "messages", "store calls", "missed");
    for (const std::size_t processes : { 11U, 50U, 100U, 200U }) {
        for (const std::size_t failed : { std::size_t{ 0 }, processes / 10 }) {
            isOnTarget &= report("push", processes, failed, runCores(processes, failed, ConfigurationCore::Options().pushFanout));
            isOnTarget &= report("pull", processes, failed, runCores(processes, failed, 0));
            report("tree", processes, failed, runTree(processes, failed));
        }
    }
    return isOnTarget ? 0 : 1;
}
