#pragma once

#include <lagoonroute/base/time.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio
{
class io_context;
}

namespace lagoonroute
{

/**
 * Event loop of a direct role. One thread serves sockets, signals and a timer; after events that may require a decision,
 * the role runs an iteration in which it decides and acts.
 *
 * The loop detects when the host was suspended, when the process was stalled and when its settings file was replaced.
 */
class DirectLoop
{
public:
    /** Callbacks of the role. All are called on the thread of the loop. */
    struct Handlers
    {
        std::function<std::optional<Instant>(Instant)> onIteration; /**< Decides and acts; returns the latest time for the next iteration, if any. */
        std::function<void(Duration)> onSuspended; /**< The host was suspended for the given time; may be empty. Called before `onStalled`. */
        std::function<void(Instant)> onStalled; /**< The process made no progress for longer than `stallThreshold`. */
        std::function<void(Instant)> onStop; /**< SIGTERM or SIGINT was received. */
        std::function<void()> onSettingsChanged; /**< The settings file has changed, or SIGHUP was received. */
    };

    /** Time without an event or iteration after which links are no longer trusted: an agent's lease on them is 700 ms. */
    static constexpr Duration stallThreshold = std::chrono::milliseconds(500);

    /** Creates a loop that watches the settings file. */
    DirectLoop(std::string settingsPath, Handlers handlers);
    ~DirectLoop();

    DirectLoop(const DirectLoop &) = delete;
    DirectLoop &operator=(const DirectLoop &) = delete;

    /** Returns the I/O context, for sockets. */
    [[nodiscard]] boost::asio::io_context &context() noexcept;

    /** Runs until finish() is called. */
    void run();

    /** Ends run(). */
    void finish();

    /** Schedules an iteration after the handlers that are already queued. Call it after any change that may require a decision. */
    void requestIteration();

    /** Starts the handling of an event: calls `onSuspended` and `onStalled` if the host or the process stood still, and returns the current time. */
    Instant beginEvent();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
