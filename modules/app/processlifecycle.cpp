#include "processlifecycle.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace lagoonroute
{

namespace
{

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct Started
{
};

struct StopSignalled
{
    Instant now;
};

struct Updated
{
    Instant now;
    bool drained = false;
};

/** State machine of the process. The transition table numbers its states in the order of ProcessPhase. */
struct ProcessMachine : msm::front::state_machine_def<ProcessMachine>
{
    using no_message_queue = int;

    struct Starting : msm::front::state<>
    {
    };
    struct Serving : msm::front::state<>
    {
    };
    struct Withdrawing : msm::front::state<>
    {
    };
    struct Draining : msm::front::state<>
    {
    };
    struct Stopped : msm::front::state<>
    {
    };
    using initial_state = Starting;

    struct EnterPhase
    {
        template <class Event, class Machine, class Source, class Target>
        void operator()(const Event &event, Machine &machine, Source &, Target &) const
        {
            machine.phaseStart = event.now;
        }
    };

    struct ForceStop
    {
        template <class Event, class Machine, class Source, class Target>
        void operator()(const Event &, Machine &machine, Source &, Target &) const
        {
            machine.isForced = true;
        }
    };

    struct IsWithdrawn
    {
        template <class Machine, class Source, class Target>
        bool operator()(const Updated &event, const Machine &machine, const Source &, const Target &) const
        {
            return event.now - machine.phaseStart >= machine.options.withdrawTime;
        }
    };

    struct IsDrained
    {
        template <class Machine, class Source, class Target>
        bool operator()(const Updated &event, const Machine &, const Source &, const Target &) const
        {
            return event.drained;
        }
    };

    struct IsLimitExceeded
    {
        template <class Machine, class Source, class Target>
        bool operator()(const Updated &event, const Machine &machine, const Source &, const Target &) const
        {
            return !event.drained && event.now - machine.phaseStart >= machine.options.drainLimit;
        }
    };

    // clang-format off
    struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming)
        Row<Starting,    Started,       Serving,     none,       none>,
        Row<Starting,    StopSignalled, Stopped,     none,       none>,
        Row<Serving,     StopSignalled, Withdrawing, EnterPhase, none>,
        Row<Withdrawing, Updated,       Draining,    EnterPhase, IsWithdrawn>,
        Row<Withdrawing, StopSignalled, Stopped,     ForceStop,  none>,
        Row<Draining,    Updated,       Stopped,     none,       IsDrained>,
        Row<Draining,    Updated,       Stopped,     ForceStop,  IsLimitExceeded>,
        Row<Draining,    StopSignalled, Stopped,     ForceStop,  none>> {};
    // clang-format on

    template <class Machine, class Event>
    void no_transition(const Event &, Machine &, int)
    {
    }

    ProcessLifecycle::Options options;
    Instant phaseStart;
    bool isForced = false;
};

} // namespace

ProcessLifecycle::Options ProcessLifecycle::Options::withWithdrawTime(Duration time) const
{
    Options changed = *this;
    changed.withdrawTime = time;
    return changed;
}

ProcessLifecycle::Options ProcessLifecycle::Options::withDrainLimit(Duration limit) const
{
    Options changed = *this;
    changed.drainLimit = limit;
    return changed;
}

class ProcessLifecycle::Machine : public msm::back::state_machine<ProcessMachine>
{
};

ProcessLifecycle::ProcessLifecycle(const Options &options)
    : m_machine(std::make_unique<Machine>())
{
    m_machine->options = options;
    m_machine->start();
}

ProcessLifecycle::~ProcessLifecycle() = default;

void ProcessLifecycle::started()
{
    m_machine->process_event(Started{});
}

void ProcessLifecycle::stopSignalled(Instant now)
{
    m_machine->process_event(StopSignalled{ now });
}

void ProcessLifecycle::update(Instant now, bool drained)
{
    m_machine->process_event(Updated{ now, drained });
}

ProcessPhase ProcessLifecycle::phase() const
{
    return static_cast<ProcessPhase>(m_machine->current_state()[0]);
}

bool ProcessLifecycle::wasForced() const
{
    return m_machine->isForced;
}

} // namespace lagoonroute
