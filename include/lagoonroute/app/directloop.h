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
 * The one thread of a direct role: sockets, signals and a timer on one event loop, and a turn of decisions after each event.
 *
 * It notices when the process stood still, and when its settings file was replaced.
 */
class DirectLoop
{
public:
    /** What the role does. All are called on the loop's thread. */
    struct Handlers
    {
        std::function<std::optional<Instant>(Instant)> onTurn; /**< Decides and acts; returns when it wants the next turn at the latest. */
        std::function<void(Instant)> onStalled; /**< The process stood still for longer than `stallTime`. */
        std::function<void(Instant)> onStop; /**< A stop signal came. */
        std::function<void()> onSettingsChanged; /**< The settings file has changed, or SIGHUP came. */
    };

    /** Without a turn for so long, links are not trusted any more: an agent's lease on them is 700 ms. */
    static constexpr Duration stallTime = std::chrono::milliseconds(500);

    /** Creates a loop that watches the settings file. */
    DirectLoop(std::string settingsPath, Handlers handlers);
    ~DirectLoop();

    DirectLoop(const DirectLoop &) = delete;
    DirectLoop &operator=(const DirectLoop &) = delete;

    /** The loop, for sockets. */
    [[nodiscard]] boost::asio::io_context &context() noexcept;

    /** Runs until finish() is called. */
    void run();

    /** Ends run(). */
    void finish();

    /** Has the role take a turn once the present handlers are done. Call it after anything that may lead to a decision. */
    void requestTurn();

    /** Time for a decision in an event handler; notices first whether the process stood still. */
    Instant enter();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
