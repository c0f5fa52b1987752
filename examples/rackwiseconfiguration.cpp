/*
 * Configuration of an inspection service. Short response times take precedence over few wasted messages, and a straggling or
 * failing worker is avoided early. Tablets that resend a job are recognised by their own header.
 *
 * Prints canonical JSON: rackwiseconfiguration > rackwise-configuration.json
 */

#include <lagoonroute/configuration/configuration.h>

#include <iostream>

namespace
{

using namespace lagoonroute;
using namespace std::chrono_literals;

constexpr std::uint32_t coreMillis = 1000;
constexpr std::uint32_t gigabyte = 1024;

Places places()
{
    const WorkerClass host{ .slots = 8, .connections = 64, .resources = { .cpuMillis = 32 * coreMillis, .memoryMegabytes = 128 * gigabyte } };
    return Places::Builder()
        .withWorkerClass("inspection-host", host)
        .withRack("brisbane", "brisbane-1", "inspection-host", 3)
        .withRack("ipswich", "ipswich-1", "inspection-host", 3)
        .withRack("logan", "logan-1", "inspection-host", 3)
        .withRack("logan", "logan-2", "inspection-host", 2)
        .build();
}

ServiceRules inspection()
{
    return ServiceRules::Builder("inspection")
        .withPreference(RoutingPreference::ResponseTime)
        .withKeyRules({ KeyRule::idempotencyKey(), KeyRule::header("X-Tablet-Submission") })
        .withDefaultDeadline(20s)
        .withEjection(EjectionRules().withFailurePercentAboveFleet(20).withProbeInterval(500ms))
        .withStraggler(StragglerRules().withSlowdownPercent(200))
        .build();
}

} // namespace

int main()
{
    std::cout << printConfiguration(Configuration::Builder().withPlaces(places()).withService(inspection()).build());
    return 0;
}
