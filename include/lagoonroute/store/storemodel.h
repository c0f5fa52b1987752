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

/** Faults and limits of a StoreModel. Chances lie between 0 and 1. */
struct StoreFaults
{
    bool down = false; /**< No call arrives and no answer leaves. */
    double requestLoss = 0; /**< Chance that a call is lost before its effect. */
    double answerLoss = 0; /**< Chance that the answer of a call is lost after its effect. */
    std::uint32_t loseAnswers = 0; /**< So many swaps and leases from now on lose their answers for certain. */
    Duration delay{ 0 }; /**< From the effect to the answer. */
    std::uint32_t writesPerSecond = 0; /**< Further writes are rejected; 0 for no limit. */
    std::uint32_t readsPerSecond = 0; /**< Further reads are rejected; 0 for no limit. */

    auto operator<=>(const StoreFaults &) const = default;
};

/**
 * The platform's store as a value: keys with versions, leases that lapse, watches, and faults by seed.
 *
 * It has no thread and no clock. MemoryStore shares one between the processes of `solo`; tests drive one under virtual
 * time; the stand-in store serves one over HTTP.
 */
class StoreModel
{
public:
    /** Names the caller of a call, so that several callers share one store. */
    using Session = std::uint64_t;

    /** An answer that is due to a caller. */
    struct Delivery
    {
        Session session = 0;
        StoreReply reply;
    };

    /** Number of calls that arrived, by kind. */
    struct Counts
    {
        std::uint64_t reads = 0;
        std::uint64_t swaps = 0;
        std::uint64_t watches = 0;
        std::uint64_t leases = 0;
        std::uint64_t rejected = 0;

        auto operator<=>(const Counts &) const = default;
    };

    /** Creates an empty store whose faults draw from the given seed. */
    explicit StoreModel(std::uint64_t seed = 1);

    /** Replaces the faults. Calls that wait for an answer keep waiting through an outage. */
    void setFaults(const StoreFaults &faults);

    /** Takes a call in. Its answer, if one comes, is among the later results of poll(). */
    void submit(Session session, const StoreCall &call, Instant now);

    /** Returns the answers that are due by now, oldest first. */
    std::vector<Delivery> poll(Instant now);

    /** Time at which poll() has something new unless a call comes first. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Forgets the waiting answers of a caller that is gone. */
    void dropSession(Session session);

    /** The value of a key; version 0 when there is none. */
    [[nodiscard]] StoreEntry entry(const std::string &key) const;

    /** Calls that arrived so far. */
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
    StoreReply swap(const StoreSwap &operation, Instant now);
    StoreReply lease(const StoreLease &operation, Instant now);
    void answer(Session session, StoreReply reply, Instant now);
    void notifyWatchers(const std::string &key, Instant now);

    StoreFaults m_faults;
    std::mt19937_64 m_random;
    std::map<std::string, StoreEntry> m_entries;
    std::map<std::string, Lease> m_leases;
    std::vector<Watcher> m_watchers;
    std::vector<Answer> m_answers;
    StoreVersion m_lastVersion = 0;
    Instant m_second;
    std::uint32_t m_writesInSecond = 0;
    std::uint32_t m_readsInSecond = 0;
    Counts m_counts;
};

} // namespace lagoonroute
