#pragma once

#include <lagoonroute/base/time.h>

#include <cstdint>
#include <memory>

namespace lagoonroute
{

/** Phases of a process, from its start to its exit. */
enum class ProcessPhase : std::uint8_t {
    Starting,
    Serving,
    Withdrawing, /**< Still accepts work, but is no longer ready, so that balancers and homes stop choosing it. */
    Draining, /**< Accepts no new work and finishes what is running. */
    Stopped,
};

/**
 * Life cycle of a process from its start to the end of a planned stop.
 *
 * The first stop signal begins the planned stop. A second one, or the end of the drain limit, forces the stop
 * even if work is left.
 */
class ProcessLifecycle
{
public:
    /** Times of a planned stop. */
    struct Options
    {
        Duration withdrawTime = std::chrono::seconds(2); /**< From not ready to the refusal of new work. */
        Duration drainLimit = std::chrono::seconds(30); /**< From the refusal of new work to the forced stop. */

        Options withWithdrawTime(Duration time) const;
        Options withDrainLimit(Duration limit) const;
    };

    explicit ProcessLifecycle(const Options &options);
    ~ProcessLifecycle();

    ProcessLifecycle(const ProcessLifecycle &) = delete;
    ProcessLifecycle &operator=(const ProcessLifecycle &) = delete;

    /** Reports that the process can serve. */
    void started();

    /** Reports a stop signal. */
    void stopSignalled(Instant now);

    /** Reports the current time and whether all work is finished (`drained`). */
    void update(Instant now, bool drained);

    /** Returns the current phase. */
    [[nodiscard]] ProcessPhase phase() const;

    /** Whether the stop was forced before the work was finished, by a second signal or by the drain limit. */
    [[nodiscard]] bool wasForced() const;

private:
    class Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace lagoonroute
