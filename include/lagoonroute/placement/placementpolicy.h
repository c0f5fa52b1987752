#pragma once

#include <lagoonroute/base/identifiers.h>
#include <lagoonroute/base/time.h>

#include <concepts>
#include <cstdint>
#include <optional>
#include <random>
#include <span>

namespace lagoonroute
{

/** A worker that could run the task to be placed. */
struct Candidate
{
    NodeId worker;
    std::uint32_t slots = 0;
    std::uint32_t assigned = 0; /**< Tasks that run, are in transit, or wait at its executor. */
    double slowdown = 1; /**< Run time relative to the fleet's median: 1 is as fast as the others, 3 takes three times as long. */
    bool isHome = false; /**< Whether the worker is on the home's own node, so that reaching it needs no network hop. */

    /** Returns whether the task would run at once. */
    [[nodiscard]] bool hasFreeSlot() const noexcept
    {
        return assigned < slots;
    }
};

/** Properties of the task and the queue that a policy may use. */
struct PlacementContext
{
    bool singleTask = false; /**< Whether the job consists of this task only. */
    Duration estimate{ 0 }; /**< Expected run time of the task. */
    Duration drainTime{ 0 }; /**< Time that the fleet needs for the waiting tasks. */
};

/** Generator for randomised policies and for jitter. */
using PlacementRandom = std::mt19937_64;

/**
 * Chooses a worker among candidates, or none to leave the task in the queue.
 *
 * A policy with late binding is given only the workers that can accept a task now. Other policies are given every worker and rely on queues at the executors.
 */
template <typename Policy>
concept PlacementPolicy = requires(Policy policy, std::span<const Candidate> candidates, const PlacementContext &context, PlacementRandom &random)
{
    {
        Policy::bindsLate
        } -> std::convertible_to<bool>;
    {
        policy.choose(candidates, context, random)
        } -> std::same_as<std::optional<std::size_t>>;
};

/**
 * Default policy. Prefers the home's own worker for a job of one task, otherwise a free slot, then the least slowdown, then
 * the lowest load. Chooses a straggler only when waiting for the other workers would take longer.
 */
class LateBinding
{
public:
    static constexpr bool bindsLate = true;

    std::optional<std::size_t> choose(std::span<const Candidate> candidates, const PlacementContext &context, PlacementRandom &random);
};

/** Chooses every worker with equal probability. */
class RandomChoice
{
public:
    static constexpr bool bindsLate = false;

    std::optional<std::size_t> choose(std::span<const Candidate> candidates, const PlacementContext &context, PlacementRandom &random);
};

/** Chooses the workers in turn. */
class RoundRobin
{
public:
    static constexpr bool bindsLate = false;

    std::optional<std::size_t> choose(std::span<const Candidate> candidates, const PlacementContext &context, PlacementRandom &random);

private:
    std::uint64_t m_next = 0;
};

/** Chooses the less loaded of two random workers. */
class TwoChoices
{
public:
    static constexpr bool bindsLate = false;

    std::optional<std::size_t> choose(std::span<const Candidate> candidates, const PlacementContext &context, PlacementRandom &random);
};

/** Chooses the worker with the fewest tasks per slot, regardless of how many wait at its executor. */
class LeastLoaded
{
public:
    static constexpr bool bindsLate = false;

    std::optional<std::size_t> choose(std::span<const Candidate> candidates, const PlacementContext &context, PlacementRandom &random);
};

static_assert(PlacementPolicy<
                  LateBinding> && PlacementPolicy<RandomChoice> && PlacementPolicy<RoundRobin> && PlacementPolicy<TwoChoices> && PlacementPolicy<LeastLoaded>);

} // namespace lagoonroute
