#pragma once

#include "processlifecycle.h"
#include "stopsignal.h"

#include <lagoonroute/observation/log.h>

#include <concepts>
#include <thread>

namespace lagoonroute
{

/** A node that supports a planned stop. */
template <typename Node>
concept StoppableNode = requires(Node node, const Node constNode)
{
    node.setReady(true);
    node.withdraw();
    node.drain();
    node.leave();
    {
        constNode.isReady()
        } -> std::convertible_to<bool>;
    {
        constNode.isDrained()
        } -> std::convertible_to<bool>;
};

/** Exit code of a process whose stop was forced before its work was finished. */
inline constexpr int exitForcedStop = 5;

/** Serves until a stop signal, then performs the planned stop. Returns 0, or exitForcedStop when the stop was forced. */
template <StoppableNode Node>
int runUntilStopped(Node &node, const ProcessLifecycle::Options &options)
{
    constexpr Duration pollInterval = std::chrono::milliseconds(10);
    constexpr Duration leaveDelay = std::chrono::milliseconds(100);
    ProcessLifecycle lifecycle(options);
    bool isSignalled = false;
    while (!node.isReady() && !isSignalled) {
        isSignalled = waitForStopSignal(pollInterval);
    }
    lifecycle.started();
    if (!isSignalled) {
        node.setReady(true);
        logLine(LogLevel::Info, "serving", {});
        waitForStopSignal();
    }

    node.setReady(false);
    node.withdraw();
    lifecycle.stopSignalled(MonotonicClock::now());
    logLine(LogLevel::Info, "planned stop begun", {});
    while (lifecycle.phase() != ProcessPhase::Stopped) {
        const ProcessPhase before = lifecycle.phase();
        if (waitForStopSignal(pollInterval)) {
            lifecycle.stopSignalled(MonotonicClock::now());
        }
        lifecycle.update(MonotonicClock::now(), node.isDrained());
        if (before == ProcessPhase::Withdrawing && lifecycle.phase() == ProcessPhase::Draining) {
            node.drain();
            logLine(LogLevel::Info, "draining", {});
        }
    }
    node.leave();
    std::this_thread::sleep_for(leaveDelay);
    if (lifecycle.wasForced()) {
        logLine(LogLevel::Error, "stopped with work left", {});
        return exitForcedStop;
    }
    logLine(LogLevel::Info, "stopped", {});
    return 0;
}

} // namespace lagoonroute
