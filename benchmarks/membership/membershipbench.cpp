#include "viewfixture.h"

#include <cstdio>
#include <ctime>
#include <functional>

using namespace lagoonroute;

namespace
{

constexpr std::size_t udpHeaderBytes = 28;
constexpr Duration settleTime = std::chrono::seconds(30);
constexpr Duration measuredTime = std::chrono::seconds(30);
constexpr Duration changeLimit = std::chrono::seconds(30);
constexpr Duration step = std::chrono::milliseconds(50);
constexpr Duration leaveTarget = std::chrono::seconds(3);
constexpr double bytesPerSecondTarget = 10'000; // Per second and process, for all control traffic.

struct Traffic
{
    std::uint64_t datagrams = 0;
    std::uint64_t bytes = 0;
};

Traffic trafficOf(Cell &cell)
{
    Traffic traffic;
    for (const auto &[address, process] : cell.processes()) {
        const MembershipCounts counts = process.core->counts();
        traffic.datagrams += counts.sent;
        traffic.bytes += counts.sentBytes + (counts.sent * udpHeaderBytes);
    }
    return traffic;
}

std::uint64_t storeCalls(const StoreModel &store)
{
    const StoreModel::Counts &counts = store.counts();
    return counts.reads + counts.swaps + counts.watches + counts.leases;
}

/** Runs the cell until the condition holds or the limit is reached. Returns the virtual time passed, a multiple of `step`. */
Duration timeUntil(Cell &cell, const std::function<bool()> &condition)
{
    Duration passed{ 0 };
    while (!condition() && passed < changeLimit) {
        cell.run(step);
        passed += step;
    }
    return passed;
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** Measures a cell with the given number of members and prints a line. Returns whether every target was met. */
bool measure(std::size_t count)
{
    ViewCell cell(count);
    cell.startAll(count);
    cell.run(settleTime);
    const bool isComplete = cell.isComplete() && cell.isAdoptedEverywhere();

    const Traffic before = trafficOf(cell);
    const std::uint64_t callsBefore = storeCalls(cell.store);
    const std::clock_t startedAt = std::clock();
    cell.run(measuredTime);
    const double processorSeconds = static_cast<double>(std::clock() - startedAt) / CLOCKS_PER_SEC;
    const Traffic quiet = trafficOf(cell);
    const double members = static_cast<double>(count);
    const double perMemberSecond = members * seconds(measuredTime);
    const double calls = static_cast<double>(storeCalls(cell.store) - callsBefore) / seconds(measuredTime);

    const NodeId leaver = Cell::describe(count - 1).id;
    cell.inject(Cell::describe(count - 1).address, LeaveRequested{});
    const Duration leaveTime = timeUntil(cell, [&] { return cell.noneReports(leaver, MemberStatus::Alive); });
    cell.run(settleTime);
    const Traffic afterLeave = trafficOf(cell);
    const double leaveSeconds = seconds(leaveTime + settleTime);
    const double leaveBytes
        = static_cast<double>(afterLeave.bytes - quiet.bytes) / members - (static_cast<double>(quiet.bytes - before.bytes) / perMemberSecond * leaveSeconds);

    cell.killWithViews(Cell::describe(count - 2).id);
    const Duration deathTime = timeUntil(cell, [&] { return cell.allAgree(Cell::describe(count - 2).id, MemberStatus::Dead); });

    const double stateBytes = static_cast<double>(cell.process(0).core->stateBytes()) / members;
    const double bytesPerSecond = static_cast<double>(quiet.bytes - before.bytes) / perMemberSecond;
    std::printf("%7zu %9.2f %9.0f %11.0f %8.2f %8.2f %11.0f %9.3f %9.1f\n",
                count,
                static_cast<double>(quiet.datagrams - before.datagrams) / perMemberSecond,
                bytesPerSecond,
                leaveBytes,
                seconds(leaveTime),
                seconds(deathTime),
                stateBytes,
                calls,
                processorSeconds / perMemberSecond * 1e6);
    return isComplete && leaveTime <= leaveTarget && deathTime <= cell.detection && bytesPerSecond <= bytesPerSecondTarget && cell.violations.empty();
}

} // namespace

int main()
{
    std::printf(
        "sent by each member: datagrams/s and bytes/s when idle (including 28 bytes of headers per datagram), bytes per leave;\n"
        "virtual seconds until every member has learned of a leave and of a death; state bytes per known member;\n"
        "store calls per second of the whole cell; processor microseconds per member and second, including the test fixture\n\n");
    std::printf(
        "%7s %9s %9s %11s %8s %8s %11s %9s %9s\n", "members", "datagrams", "bytes", "leave bytes", "leaving", "death", "state bytes", "calls/s", "cpu us");
    bool isMet = true;
    for (const std::size_t count : { 11U, 50U, 100U, 200U }) {
        isMet = measure(count) && isMet;
    }
    std::printf("%s\n", isMet ? "targets met" : "TARGET MISSED");
    return isMet ? 0 : 1;
}
