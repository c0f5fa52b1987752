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
inline constexpr std::size_t storePurposeCount = 4;

/** Calls of one purpose since the start of the process. */
struct StoreCallCounts
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t timedOut = 0; /**< Ended with StoreStatus::Unknown. */
    std::uint64_t refused = 0; /**< Not sent because the value was too large, the budget was used up, the circuit was open or the port was full. */

    auto operator<=>(const StoreCallCounts &) const = default;
};

/**
 * Decides which calls of one process reach the platform's store.
 *
 * Every call is answered exactly once: with the answer of the store, with Rejected if it was not sent, or with Unknown if
 * no answer arrived in time. A call is never resent; MarkedSwap determines the outcome of a swap whose answer was lost.
 */
class StoreClientCore
{
public:
    /** Call budgets, timeout and circuit breaker of the client. */
    struct Options
    {
        double readsPerSecond = 5; /**< Budget for reads and watches. */
        double readBurst = 20;
        double writesPerSecond = 2; /**< Budget for swaps and leases. */
        double writeBurst = 10;
        Duration timeout = std::chrono::seconds(2); /**< Time limit for an answer, in addition to the wait of a watch. */
        std::uint32_t failuresToOpen = 3; /**< Consecutive calls without an answer after which the circuit opens. */
        Duration firstBackoff = std::chrono::milliseconds(250);
        Duration maxBackoff = std::chrono::seconds(15);
        std::uint64_t seed = 1;

        Options withReads(double perSecond, double burst) const;
        Options withWrites(double perSecond, double burst) const;
        Options withTimeout(Duration answerTimeout) const;
        Options withBackoff(Duration first, Duration longest) const;
        Options withSeed(std::uint64_t value) const;
    };

    /** Output of one step: calls to send to the store, and replies to return to their callers. */
    struct Actions
    {
        std::vector<StoreCall> calls;
        std::vector<StoreReply> replies;
    };

    explicit StoreClientCore(const Options &options);

    /** Requests a call. The reply contains the call's number, which the caller chooses freely. */
    void submit(const StoreCall &call, Instant now, Actions &actions);

    /** Handles an answer of the store. An answer to a call that has timed out is dropped. */
    void handle(const StoreReply &reply, Instant now, Actions &actions);

    /** Rejects a call that the port did not send because too many calls were pending. */
    void rejectUnsent(std::uint64_t number, Actions &actions);

    /** Ends the calls that have timed out. */
    void handleTimers(Instant now, Actions &actions);

    /** Returns the time of the next timeout. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Returns the counts of the calls made for one purpose. */
    [[nodiscard]] const StoreCallCounts &counts(StorePurpose purpose) const;

    /** Returns the state of the circuit breaker. */
    [[nodiscard]] CircuitState circuit() const;

private:
    struct PendingCall
    {
        std::uint64_t callerNumber = 0;
        StorePurpose purpose = StorePurpose::View;
        Instant deadline;
    };

    bool isAdmitted(const StoreCall &call, Instant now);
    StoreCallCounts &mutableCounts(StorePurpose purpose);

    Options m_options;
    TokenBucket m_reads;
    TokenBucket m_writes;
    CircuitBreaker m_breaker;
    std::map<std::uint64_t, PendingCall> m_pendingCalls;
    std::uint64_t m_lastNumber = 0;
    std::array<StoreCallCounts, storePurposeCount> m_counts;
};

} // namespace lagoonroute
