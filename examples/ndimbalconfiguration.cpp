/*
 * Configuration of a cooperative that books troupes. Few wasted messages take precedence over short response times. For
 * callers that send no idempotency key, the submission key is the reference of the booking or the digest of the body.
 *
 * Prints canonical JSON: ndimbalconfiguration > ndimbal-configuration.json
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
    const WorkerClass host{ .slots = 8, .connections = 64, .resources = { .cpuMillis = 64 * coreMillis, .memoryMegabytes = 256 * gigabyte } };
    return Places::Builder()
        .withWorkerClass("booking-host", host)
        .withRack("plateau", "plateau-1", "booking-host", 3)
        .withRack("medina", "medina-1", "booking-host", 3)
        .withRack("ouakam", "ouakam-1", "booking-host", 3)
        .withRack("ouakam", "ouakam-2", "booking-host", 2)
        .build();
}

ServiceRules booking()
{
    return ServiceRules::Builder("booking")
        .withPreference(RoutingPreference::WastedMessages)
        .withNonIdempotentByDefault(true)
        .withKeyRules({ KeyRule::idempotencyKey(), KeyRule::bodyPointer("/hold/reference"), KeyRule::bodyDigest() })
        .withCallerWeight("planners", 2)
        .withRetryBudgetPercent(5)
        .withDefaultDeadline(30s)
        .withRetention(1h)
        .build();
}

} // namespace

int main()
{
    std::cout << printConfiguration(Configuration::Builder().withPlaces(places()).withService(booking()).build());
    return 0;
}
