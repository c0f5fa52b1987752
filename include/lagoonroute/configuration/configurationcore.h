#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/configuration/configurationevents.h>

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonroute
{

/** Counters of ConfigurationCore since its start. */
struct ConfigurationCounts
{
    std::uint64_t applied = 0; /**< Revisions put in force. */
    std::uint64_t malformed = 0; /**< Documents rejected because they cannot be parsed or fail a check. */
    std::uint64_t lower = 0; /**< Documents rejected because their revision is not above the one in force. */
    std::uint64_t asked = 0; /**< Requests sent to peers. */
    std::uint64_t offered = 0; /**< Documents and patches sent in answer to a request. */
    std::uint64_t pushed = 0; /**< Documents and patches pushed to peers without a request. */
    std::uint64_t unanswered = 0; /**< Requests to peers that were not answered in time. */
    std::uint64_t storeCalls = 0;

    auto operator<=>(const ConfigurationCounts &) const = default;
};

/**
 * Decides which configuration is in force in one process and how the process receives newer ones.
 *
 * A few processes of each availability zone, the first running ones by rendezvous hash, watch the platform's store. They are
 * the roots of trees through which a new revision is pushed immediately. A process that a push does not reach learns by
 * gossip that a peer has a higher revision and requests it from one such peer. Only a higher revision that passes every check
 * is put in force. A starting process sends requests to some peers first, and reads the store only when none of them answers.
 *
 * Performs no I/O and reads no clock: time and seed are passed in.
 */
class ConfigurationCore
{
public:
    /** Identity of the process and the timing and limits of the protocol. */
    struct Options
    {
        NodeId self;
        std::string zone;
        std::uint64_t seed = 1;
        std::size_t watchersPerZone = 2;
        Duration watchWait = std::chrono::seconds(30); /**< Longest time that the store holds one watch call open. */
        Duration requestJitter = std::chrono::milliseconds(50); /**< Upper bound of the random delay before a request to a peer. */
        Duration requestTimeout = std::chrono::seconds(1);
        Duration smallestBackoff = std::chrono::milliseconds(200);
        Duration largestBackoff = std::chrono::seconds(10);
        Duration startupStoreDelay = std::chrono::seconds(2); /**< Delay after which a starting process that received nothing from its peers reads the store. */
        std::size_t startupRequests = 3; /**< Number of peers to which a starting process sends a request immediately. */
        std::size_t pushFanout = 4; /**< Number of peers to which a process pushes a new revision; 0 leaves distribution to gossip and requests. */
        std::size_t offersPerSecond = 64; /**< Number of requests answered within a second; further ones are ignored. */

        [[nodiscard]] Options withSelf(NodeId id, std::string zoneName) const;
        [[nodiscard]] Options withSeed(std::uint64_t value) const;
        [[nodiscard]] Options withWatchersPerZone(std::size_t count) const;
        [[nodiscard]] Options withPushFanout(std::size_t count) const;
    };

    /** Creates the core of a starting process. */
    explicit ConfigurationCore(const Options &options);
    ~ConfigurationCore();

    ConfigurationCore(const ConfigurationCore &) = delete;
    ConfigurationCore &operator=(const ConfigurationCore &) = delete;

    /** Processes an event and appends the resulting actions. */
    void handle(const ConfigurationEvent &event, Instant now, std::vector<ConfigurationAction> &actions);

    /** Returns the time at which ConfigurationTimeElapsed is due, if any. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Revision in force; 0 before the first one. */
    [[nodiscard]] Revision revision() const;

    /**
     * Whether the process may serve: no request to a peer is pending, its revision is at least as high as that of every peer
     * in contact, and it has a revision or the store reported that none exists yet. Once true it stays true.
     */
    [[nodiscard]] bool isReady() const;

    /** Whether the process watches the store. */
    [[nodiscard]] bool isWatcher() const;

    /** Counters since the start. */
    [[nodiscard]] const ConfigurationCounts &counts() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
