#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/store/storeport.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lagoonroute
{

/** Injected faults and rate limits of a StoreModel. Chances are probabilities between 0 and 1. */
struct StoreFaults
{
    bool down = false; /**< Outage: calls are lost, and no answer is sent. */
    double requestLoss = 0; /**< Chance that a call is lost before it takes effect. */
    double answerLoss = 0; /**< Chance that a call takes effect but its answer is lost. */
    std::uint32_t loseAnswers = 0; /**< Number of the next swaps and leases whose answers are always lost. */
    Duration delay{ 0 }; /**< Delay between the effect of a call and its answer. */
    std::uint32_t writesPerSecond = 0; /**< Writes above this rate are rejected; 0 for no limit. */
    std::uint32_t readsPerSecond = 0; /**< Reads and watches above this rate are rejected; 0 for no limit. */

    auto operator<=>(const StoreFaults &) const = default;
};

/**
 * Model of the platform's store: versioned keys, leases that expire, watches, and injected faults that repeat for the
 * same seed.
 *
 * It has no thread and no clock of its own. SharedStore holds one that the MemoryStore ports of `solo` share, tests drive
 * one under virtual time, and the stand-in store serves one over HTTP.
 */
class StoreModel
{
public:
    /** Identifies a caller, so that several callers can share one store. */
    using Session = std::uint64_t;

    /** An answer, and the caller that it is for. */
    struct Delivery
    {
        Session session = 0;
        StoreReply reply;
    };

    /** Numbers of calls received, by kind. */
    struct Counts
    {
        std::uint64_t reads = 0;
        std::uint64_t swaps = 0;
        std::uint64_t watches = 0;
        std::uint64_t leases = 0;
        std::uint64_t rejected = 0;

        auto operator<=>(const Counts &) const = default;
    };

    /** Creates an empty store whose random faults come from the given seed. */
    explicit StoreModel(std::uint64_t seed = 1);

    /** Replaces the faults. Pending watches and answers are retained during an outage. */
    void setFaults(const StoreFaults &faults);

    /** Executes a call. A later poll() returns its answer, unless it is lost. */
    void submit(Session session, const StoreCall &call, Instant now);

    /** Returns the answers that are due by now, oldest first. */
    std::vector<Delivery> poll(Instant now);

    /** Returns the time at which poll() has the next answer if no call is made before. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Discards the pending watches and answers of a caller that has disconnected. */
    void dropSession(Session session);

    /** Returns the entry of a key; its version is 0 if the key does not exist. */
    [[nodiscard]] StoreEntry entry(const std::string &key) const;

    /** Returns the numbers of calls received so far. */
    [[nodiscard]] const Counts &counts() const noexcept;

private:
    struct Lease
    {
        std::string holder;
        StoreVersion version = 0;
        Instant until;
    };

    struct Watcher
    {
        Session session = 0;
        std::uint64_t number = 0;
        std::string key;
        StoreVersion knownVersion = 0;
        Instant until;
    };

    struct Answer
    {
        Instant due;
        Delivery delivery;
    };

    bool draw(double chance);
    bool admits(bool write, Instant now);
    void expireLeases(Instant now);
    std::optional<StoreReply> apply(Session session, const StoreCall &call, Instant now);
    StoreReply read(const StoreRead &operation) const;
    [[nodiscard]] StoreReply list(const StoreList &operation) const;
    StoreReply swap(const StoreSwap &operation, Instant now);
    StoreReply lease(const StoreLease &operation, Instant now);
    void queueAnswer(Session session, StoreReply reply, Instant now);
    void notifyWatchers(const std::string &key, Instant now);

    StoreFaults m_faults;
    std::mt19937_64 m_random;
    std::map<std::string, StoreEntry> m_entries;
    std::map<std::string, Lease> m_leases;
    std::vector<Watcher> m_watchers;
    std::vector<Answer> m_pendingAnswers;
    StoreVersion m_lastVersion = 0;
    Instant m_rateWindowStart;
    std::uint32_t m_writesInWindow = 0;
    std::uint32_t m_readsInWindow = 0;
    Counts m_counts;
};

} // namespace lagoonroute
