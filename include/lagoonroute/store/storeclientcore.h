#pragma once

#include <lagoonroute/store/circuitbreaker.h>
#include <lagoonroute/store/storeport.h>
#include <lagoonroute/store/tokenbucket.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lagoonroute
{

/** Number of values of StorePurpose. */
inline constexpr std::size_t storePurposes = 4;

/** Calls of one purpose since the start of the process. */
struct StoreCallCounts
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t timedOut = 0; /**< Ended as StoreStatus::Unknown. */
    std::uint64_t refused = 0; /**< Not sent: too large, over the budget, or the circuit was open. */

    auto operator<=>(const StoreCallCounts &) const = default;
};

/**
 * Decides which calls of one process reach the platform's store.
 *
 * Every call is answered once: by the store, as Rejected when it was not sent, or as Unknown when no answer came in
 * time. It never repeats a call; MarkedSwap resolves a swap whose answer was lost.
 */
class StoreClientCore
{
public:
    /** Limits of the client. */
    struct Options
    {
        double readsPerSecond = 5; /**< Budget for reads and watches. */
        double readBurst = 20;
        double writesPerSecond = 2; /**< Budget for swaps and leases. */
        double writeBurst = 10;
        Duration timeout = std::chrono::seconds(2); /**< For an answer, beyond the wait of a watch. */
        std::uint32_t failuresToOpen = 3; /**< Calls without an answer that open the circuit. */
        Duration firstBackoff = std::chrono::milliseconds(250);
        Duration maxBackoff = std::chrono::seconds(15);
        std::uint64_t seed = 1;

        Options withReads(double perSecond, double burst) const;
        Options withWrites(double perSecond, double burst) const;
        Options withTimeout(Duration answerTimeout) const;
        Options withBackoff(Duration first, Duration longest) const;
        Options withSeed(std::uint64_t value) const;
    };

    /** What one step asks for: calls to send to the store, and answers to give to those who called. */
    struct Actions
    {
        std::vector<StoreCall> calls;
        std::vector<StoreReply> replies;
    };

    explicit StoreClientCore(const Options &options);

    /** A part of the process wants a call; its number is its own and comes back in the reply. */
    void submit(const StoreCall &call, Instant now, Actions &actions);

    /** The store answered a call that was sent. Answers to calls that timed out are dropped. */
    void handle(const StoreReply &reply, Instant now, Actions &actions);

    /** The port had no room for a call; it was not sent. */
    void notSent(std::uint64_t number, Actions &actions);

    /** Ends the calls whose time is over. */
    void elapse(Instant now, Actions &actions);

    /** Time of the next timeout. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Calls of one purpose so far. */
    [[nodiscard]] const StoreCallCounts &counts(StorePurpose purpose) const;

    /** State of the circuit breaker. */
    [[nodiscard]] CircuitState circuit() const;

private:
    struct Waiting
    {
        std::uint64_t callerNumber = 0;
        StorePurpose purpose = StorePurpose::View;
        Instant deadline;
    };

    bool isAdmitted(const StoreCall &call, Instant now);
    StoreCallCounts &countsOf(StorePurpose purpose);

    Options m_options;
    TokenBucket m_reads;
    TokenBucket m_writes;
    CircuitBreaker m_breaker;
    std::map<std::uint64_t, Waiting> m_waiting;
    std::uint64_t m_lastNumber = 0;
    std::array<StoreCallCounts, storePurposes> m_counts;
};

} // namespace lagoonroute
