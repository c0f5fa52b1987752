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
    std::uint64_t malformed = 0; /**< Documents refused because they cannot be read or fail a check. */
    std::uint64_t lower = 0; /**< Documents refused because their revision is not above the one in force. */
    std::uint64_t asked = 0; /**< Questions to peers. */
    std::uint64_t offered = 0; /**< Documents sent to peers that asked. */
    std::uint64_t pushed = 0; /**< Documents passed on unasked. */
    std::uint64_t unanswered = 0; /**< Questions to peers that got no answer in time. */
    std::uint64_t storeCalls = 0;

    auto operator<=>(const ConfigurationCounts &) const = default;
};

/**
 * Decides which configuration is in force in one process and how it learns of newer ones.
 *
 * A few processes of each availability zone, the first live ones by rendezvous hash, watch the platform's store and are the roots of trees
 * through which a new revision is passed on at once. Who is missed sees by gossip that a peer has a higher revision and asks one
 * such peer for it. Only a higher revision that passes every
 * check is ever put in force. A starting process asks some peers first, and calls the store only when none answers.
 *
 * Pure: time and seed are passed in.
 */
class ConfigurationCore
{
public:
    /** Identity of the process and the pace of the protocol. */
    struct Options
    {
        NodeId self;
        std::string zone;
        std::uint64_t seed = 1;
        std::size_t watchersPerZone = 2;
        Duration watchWait = std::chrono::seconds(30); /**< Longest wait of one watch. */
        Duration askJitter = std::chrono::milliseconds(50); /**< Longest wait before a peer is asked. */
        Duration askTimeout = std::chrono::seconds(1);
        Duration smallestBackoff = std::chrono::milliseconds(200);
        Duration largestBackoff = std::chrono::seconds(10);
        Duration startupWait = std::chrono::seconds(2); /**< Before a starting process that got nothing from peers calls the store. */
        std::size_t startupAsks = 3; /**< Peers that a starting process asks at once. */
        std::size_t pushFanout = 4; /**< Peers to which a process passes a new revision at once; 0 leaves it to gossip. */
        std::size_t offersPerSecond = 64; /**< Further questions within a second stay unanswered. */

        [[nodiscard]] Options withSelf(NodeId id, std::string zoneName) const;
        [[nodiscard]] Options withSeed(std::uint64_t value) const;
        [[nodiscard]] Options withWatchersPerZone(std::size_t count) const;
        [[nodiscard]] Options withPushFanout(std::size_t count) const;
    };

    /** Creates the core of a process that starts. */
    explicit ConfigurationCore(const Options &options);
    ~ConfigurationCore();

    ConfigurationCore(const ConfigurationCore &) = delete;
    ConfigurationCore &operator=(const ConfigurationCore &) = delete;

    /** Takes an event in and appends what is to be done. */
    void handle(const ConfigurationEvent &event, Instant now, std::vector<ConfigurationAction> &actions);

    /** Time at which ConfigurationTimeElapsed is due. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Revision in force; 0 before the first one. */
    [[nodiscard]] Revision revision() const;

    /**
     * Whether the process may serve: it has a revision at least as new as any peer that it reached, or the store said that there
     * is none yet. Once true it stays true.
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
