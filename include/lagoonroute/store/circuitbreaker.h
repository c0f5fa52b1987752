#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/store/backoff.h>

#include <cstdint>
#include <memory>
#include <optional>

namespace lagoonroute
{

/** Whether a circuit breaker lets calls through. */
enum class CircuitState : std::uint8_t {
    Closed, /**< Calls go through. */
    Open, /**< Calls are refused until the back-off has passed. */
    HalfOpen, /**< A single trial call is pending; other calls are refused. */
};

/** Blocks calls to a server that does not answer, and probes it with single trial calls at a growing back-off. */
class CircuitBreaker
{
public:
    /** Creates a closed breaker that opens after the given number of consecutive failures. */
    CircuitBreaker(std::uint32_t failuresToOpen, const Backoff &backoff);
    ~CircuitBreaker();

    CircuitBreaker(const CircuitBreaker &) = delete;
    CircuitBreaker &operator=(const CircuitBreaker &) = delete;

    /** Returns whether a call may be sent now. A call admitted while the breaker is open becomes its trial call. */
    bool admit(Instant now);

    /** Records that the server answered a call. */
    void succeeded();

    /** Records that a call received no answer in time. */
    void failed(Instant now);

    /** Returns the current state. */
    [[nodiscard]] CircuitState state() const;

    /** Returns the time from which a trial call is admitted, or nothing unless the breaker is open. */
    [[nodiscard]] std::optional<Instant> retryAt() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
