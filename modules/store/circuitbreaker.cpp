#include <lagoonroute/store/circuitbreaker.h>

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

struct CallSucceeded
{
};

struct CallFailed
{
    Instant at;
};

struct CallRequested
{
    Instant at;
};

/** State machine of a circuit breaker: closed, open after failures, half open while a trial call is pending. */
struct CircuitDefinition : msm::front::state_machine_def<CircuitDefinition>
{
    struct Closed : msm::front::state<>
    {
    };
    struct Open : msm::front::state<>
    {
    };
    struct HalfOpen : msm::front::state<>
    {
    };
    using initial_state = Closed; // NOLINT(readability-identifier-naming): name required by Boost.MSM

    struct IsFailureLimitReached
    {
        template <class Machine, class Source, class Target>
        bool operator()(const CallFailed & /*event*/, Machine &machine, Source & /*source*/, Target & /*target*/) const
        {
            return machine.failures + 1 >= machine.failuresToOpen;
        }
    };

    struct IsRetryDue
    {
        template <class Machine, class Source, class Target>
        bool operator()(const CallRequested &event, Machine &machine, Source & /*source*/, Target & /*target*/) const
        {
            return event.at >= machine.retryAt;
        }
    };

    struct CountFailure
    {
        template <class Machine, class Source, class Target>
        void operator()(const CallFailed & /*event*/, Machine &machine, Source & /*source*/, Target & /*target*/) const
        {
            ++machine.failures;
        }
    };

    struct StartBackoff
    {
        template <class Machine, class Source, class Target>
        void operator()(const CallFailed &event, Machine &machine, Source & /*source*/, Target & /*target*/) const
        {
            machine.retryAt = event.at + machine.backoff.next();
        }
    };

    struct Reset
    {
        template <class Machine, class Source, class Target>
        void operator()(const CallSucceeded & /*event*/, Machine &machine, Source & /*source*/, Target & /*target*/) const
        {
            machine.failures = 0;
            machine.backoff.reset();
        }
    };

    // clang-format off
    struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming): name required by Boost.MSM
        Row<Closed,   CallSucceeded, none,     Reset,        none>,
        Row<Closed,   CallFailed,    none,     CountFailure, none>,
        Row<Closed,   CallFailed,    Open,     StartBackoff, IsFailureLimitReached>,
        Row<Open,     CallRequested, HalfOpen, none,         IsRetryDue>,
        Row<Open,     CallSucceeded, Closed,   Reset,        none>,
        Row<HalfOpen, CallSucceeded, Closed,   Reset,        none>,
        Row<HalfOpen, CallFailed,    Open,     StartBackoff, none>
    > {};
    // clang-format on

    template <class Machine, class Event>
    void no_transition(const Event & /*event*/, Machine & /*machine*/, int /*state*/)
    {
    }

    std::uint32_t failuresToOpen = 1;
    std::uint32_t failures = 0;
    Instant retryAt;
    Backoff backoff{ Duration{ 1 }, Duration{ 1 }, 1 };
};

} // namespace

class CircuitBreaker::Implementation : public msm::back::state_machine<CircuitDefinition>
{
};

CircuitBreaker::CircuitBreaker(std::uint32_t failuresToOpen, const Backoff &backoff)
    : m_implementation(std::make_unique<Implementation>())
{
    m_implementation->failuresToOpen = failuresToOpen;
    m_implementation->backoff = backoff;
    m_implementation->start();
}

CircuitBreaker::~CircuitBreaker() = default;

bool CircuitBreaker::admit(Instant now)
{
    if (state() == CircuitState::Closed) {
        return true;
    }
    return m_implementation->process_event(CallRequested{ now }) == msm::back::HANDLED_TRUE;
}

void CircuitBreaker::succeeded()
{
    m_implementation->process_event(CallSucceeded{});
}

void CircuitBreaker::failed(Instant now)
{
    m_implementation->process_event(CallFailed{ now });
}

CircuitState CircuitBreaker::state() const
{
    return static_cast<CircuitState>(*m_implementation->current_state());
}

std::optional<Instant> CircuitBreaker::retryAt() const
{
    return state() == CircuitState::Open ? std::optional(m_implementation->retryAt) : std::nullopt;
}

} // namespace lagoonroute
