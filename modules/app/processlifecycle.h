#pragma once

#include <lagoonroute/base/time.h>

#include <cstdint>
#include <memory>

namespace lagoonroute
{

/** Where a process is in its life. */
enum class ProcessPhase : std::uint8_t {
    Starting,
    Serving,
    Withdrawing, /**< Still takes work, but is no longer ready, so that balancers and homes turn away. */
    Draining, /**< Takes no new work and finishes what runs. */
    Stopped,
};

/**
 * Life cycle of a process from its start to the end of a planned stop.
 *
 * The first stop signal begins the planned stop. A second one, or the end of the drain limit, ends it with work cut.
 */
class ProcessLifecycle
{
public:
    /** Times of a planned stop. */
    struct Options
    {
        Duration withdrawTime = std::chrono::seconds(2); /**< Between not ready and the refusal of new work. */
        Duration drainLimit = std::chrono::seconds(30); /**< From the refusal of new work to the forced end. */

        Options withWithdrawTime(Duration time) const;
        Options withDrainLimit(Duration limit) const;
    };

    explicit ProcessLifecycle(const Options &options);
    ~ProcessLifecycle();

    ProcessLifecycle(const ProcessLifecycle &) = delete;
    ProcessLifecycle &operator=(const ProcessLifecycle &) = delete;

    /** The process can serve. */
    void started();

    /** A stop signal arrived. */
    void stopSignalled(Instant now);

    /** Time has passed; `drained` tells whether no work is left. */
    void update(Instant now, bool drained);

    /** Where the process is. */
    [[nodiscard]] ProcessPhase phase() const;

    /** Whether the process stopped with work left. */
    [[nodiscard]] bool wasCut() const;

private:
    class Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace lagoonroute
