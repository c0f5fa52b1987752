#include <lagoonroute/placement/placementpolicy.h>

namespace lagoonroute
{

namespace
{

/** Compares two workers by their load per slot, without division. */
bool isLessLoaded(const Candidate &left, const Candidate &right)
{
    return std::uint64_t{ left.assigned } * right.slots < std::uint64_t{ right.assigned } * left.slots;
}

/** Returns whether the run time that the straggler adds is longer than the queue takes to drain. */
bool isWorthWaiting(const Candidate &candidate, const PlacementContext &context)
{
    const double lost = static_cast<double>(context.estimate.count()) * (candidate.slowdown - 1);
    return lost > static_cast<double>(context.drainTime.count());
}

bool isStraggler(const Candidate &candidate)
{
    return candidate.slowdown > 1;
}

/** Prefers free slots, then faster workers, then less loaded ones. */
bool isBetter(const Candidate &left, const Candidate &right)
{
    if (left.hasFreeSlot() != right.hasFreeSlot()) {
        return left.hasFreeSlot();
    }
    if (left.slowdown != right.slowdown) {
        return left.slowdown < right.slowdown;
    }
    return isLessLoaded(left, right);
}

} // namespace

std::optional<std::size_t> LateBinding::choose(std::span<const Candidate> candidates, const PlacementContext &context, PlacementRandom & /*random*/)
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Candidate &candidate = candidates[index];
        if (isStraggler(candidate) && isWorthWaiting(candidate, context)) {
            continue;
        }
        const bool isPreferredHome = context.singleTask && candidate.isHome && candidate.hasFreeSlot() && !isStraggler(candidate);
        if (isPreferredHome) {
            return index;
        }
        if (!best || isBetter(candidate, candidates[*best])) {
            best = index;
        }
    }
    return best;
}

std::optional<std::size_t> RandomChoice::choose(std::span<const Candidate> candidates, const PlacementContext & /*context*/, PlacementRandom &random)
{
    return candidates.empty() ? std::nullopt : std::optional<std::size_t>(random() % candidates.size());
}

std::optional<std::size_t> RoundRobin::choose(std::span<const Candidate> candidates, const PlacementContext & /*context*/, PlacementRandom & /*random*/)
{
    return candidates.empty() ? std::nullopt : std::optional<std::size_t>(m_next++ % candidates.size());
}

std::optional<std::size_t> TwoChoices::choose(std::span<const Candidate> candidates, const PlacementContext & /*context*/, PlacementRandom &random)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const std::size_t first = random() % candidates.size();
    const std::size_t second = random() % candidates.size();
    return isLessLoaded(candidates[second], candidates[first]) ? second : first;
}

std::optional<std::size_t> LeastLoaded::choose(std::span<const Candidate> candidates, const PlacementContext & /*context*/, PlacementRandom & /*random*/)
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (!best || isLessLoaded(candidates[index], candidates[*best])) {
            best = index;
        }
    }
    return best;
}

} // namespace lagoonroute
