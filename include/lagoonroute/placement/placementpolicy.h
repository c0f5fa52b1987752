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

/** A worker that could take the task at hand, as a policy sees it. */
struct Candidate
{
    NodeId worker;
    std::uint32_t slots = 0;
    std::uint32_t assigned = 0; /**< Tasks that run, are on their way, or wait at its executor. */
    double slowdown = 1; /**< Usual run time against the fleet's: 1 is as fast as the others, 3 takes three times as long. */
    bool isHome = false; /**< The worker beside the home itself; reaching it crosses no hop. */

    /** Tells whether the task would run at once. */
    [[nodiscard]] bool hasFreeSlot() const noexcept
    {
        return assigned < slots;
    }
};

/** What a policy may know of the task and of the queue. */
struct PlacementContext
{
    bool singleTask = false; /**< The job has no other task. */
    Duration estimate{ 0 }; /**< Expected run time of the task. */
    Duration drainTime{ 0 }; /**< Time that the fleet needs for the tasks that wait. */
};

/** Generator for policies that draw lots. */
using PlacementRandom = std::mt19937_64;

/**
 * Chooses a worker among candidates, or none to keep the task waiting.
 *
 * A policy that binds late sees only workers that can take a task now; others see every worker and rely on queues at the executors.
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
 * Default: only a worker with a free slot takes a task; the home's own worker first for a job of one task, otherwise
 * the least loaded. A straggler is chosen only when waiting for the others would take longer.
 */
class LateBinding
{
public:
    static constexpr bool bindsLate = true;

    std::optional<std::size_t> choose(std::span<const Candidate> candidates, const PlacementContext &context, PlacementRandom &random);
};

/** Any worker with equal chance. */
class RandomChoice
{
public:
    static constexpr bool bindsLate = false;

    std::optional<std::size_t> choose(std::span<const Candidate> candidates, const PlacementContext &context, PlacementRandom &random);
};

/** One worker after the other. */
class RoundRobin
{
public:
    static constexpr bool bindsLate = false;

    std::optional<std::size_t> choose(std::span<const Candidate> candidates, const PlacementContext &context, PlacementRandom &random);

private:
    std::uint64_t m_next = 0;
};

/** The less loaded of two workers drawn by lot. */
class TwoChoices
{
public:
    static constexpr bool bindsLate = false;

    std::optional<std::size_t> choose(std::span<const Candidate> candidates, const PlacementContext &context, PlacementRandom &random);
};

/** The worker with the fewest tasks for its slots, however many wait there. */
class LeastLoaded
{
public:
    static constexpr bool bindsLate = false;

    std::optional<std::size_t> choose(std::span<const Candidate> candidates, const PlacementContext &context, PlacementRandom &random);
};

static_assert(PlacementPolicy<
                  LateBinding> && PlacementPolicy<RandomChoice> && PlacementPolicy<RoundRobin> && PlacementPolicy<TwoChoices> && PlacementPolicy<LeastLoaded>);

} // namespace lagoonroute
