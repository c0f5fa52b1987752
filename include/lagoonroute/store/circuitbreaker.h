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
    HalfOpen, /**< One call is under way as a trial. */
};

/** Stops calls to a server that does not answer, and tries it again by single calls after a growing back-off. */
class CircuitBreaker
{
public:
    /** Creates a closed breaker that opens after the given number of failures without a success between them. */
    CircuitBreaker(std::uint32_t failuresToOpen, const Backoff &backoff);
    ~CircuitBreaker();

    CircuitBreaker(const CircuitBreaker &) = delete;
    CircuitBreaker &operator=(const CircuitBreaker &) = delete;

    /** Tells whether a call may go out now; a call that goes out while the breaker is open is its trial. */
    bool admit(Instant now);

    /** The server answered. */
    void succeeded();

    /** A call had no answer in time. */
    void failed(Instant now);

    /** State of the life cycle. */
    [[nodiscard]] CircuitState state() const;

    /** Time from which a trial is let through; none unless the breaker is open. */
    [[nodiscard]] std::optional<Instant> retryAt() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
