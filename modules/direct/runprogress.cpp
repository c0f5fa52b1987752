#include <lagoonroute/direct/runprogress.h>

#include <algorithm>

namespace lagoonroute
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t completePercent = 100; // percent
/** Least progress for a forecast; with less, the first forecast would be off by a third. */
constexpr std::uint32_t minPercent = 4;
/** Shortest span over which the recent rate is measured. */
constexpr Duration rateSpan = 80ms;
/** A run is stalled after this long without progress, plus several times its usual time for one percent. */
constexpr Duration stallTime = 150ms;
constexpr int stallPercents = 4;
/** A forecast is reported again when it changes by more than one part in this many of the remaining time. */
constexpr int significantDivisor = 4;

} // namespace

RunProgress::RunProgress(Instant started)
    : m_older{ 0, started }
    , m_newer{ 0, started }
    , m_last{ 0, started }
{
}

bool RunProgress::isStalled(Instant now) const
{
    return now - m_last.at > stallTime + (m_perPercent * stallPercents);
}

std::optional<RunProgress::Forecast> RunProgress::observe(std::uint32_t percent, Instant now)
{
    if (percent <= m_last.percent) {
        if (!isStalled(now) || m_reportedStalled) {
            return std::nullopt;
        }
        m_reportedStalled = true;
        m_reportedEnd.reset();
        return Forecast{ 0ms, true };
    }
    m_last = { percent, now };
    if (now - m_newer.at >= rateSpan) {
        m_older = m_newer;
        m_newer = { percent, now };
    }
    const Duration span = now - m_older.at;
    if (percent < minPercent || percent <= m_older.percent || span <= 0ms) {
        return std::nullopt;
    }
    m_perPercent = span / (percent - m_older.percent);
    const Duration remaining = m_perPercent * (completePercent - std::min(percent, completePercent));
    const Instant end = now + remaining;
    const bool isSignificant
        = !m_reportedEnd || m_reportedStalled || std::chrono::abs(end - *m_reportedEnd) > std::max(remaining / significantDivisor, Duration(30ms));
    if (!isSignificant) {
        return std::nullopt;
    }
    m_reportedEnd = end;
    m_reportedStalled = false;
    return Forecast{ remaining, false };
}

} // namespace lagoonroute
