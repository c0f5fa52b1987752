#include <lagoonroute/direct/runprogress.h>

#include <algorithm>

namespace lagoonroute
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t wholeRun = 100; // percent
/** Below this the first forecast would be off by a third. */
constexpr std::uint32_t leastPercent = 4;
/** Span over which the recent rate is taken, at least. */
constexpr Duration rateSpan = 80ms;
/** Without progress for this long, and for several times the usual time of one percent, a run stands still. */
constexpr Duration stallTime = 150ms;
constexpr int stallPercents = 4;
/** Change of a forecast that is worth a message: the fourth part. */
constexpr int worthwhilePart = 4;

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
        if (!isStalled(now) || m_saidStalled) {
            return std::nullopt;
        }
        m_saidStalled = true;
        m_saidEnd.reset();
        return Forecast{ 0ms, true };
    }
    m_last = { percent, now };
    if (now - m_newer.at >= rateSpan) {
        m_older = m_newer;
        m_newer = { percent, now };
    }
    const Duration span = now - m_older.at;
    if (percent < leastPercent || percent <= m_older.percent || span <= 0ms) {
        return std::nullopt;
    }
    m_perPercent = span / (percent - m_older.percent);
    const Duration remaining = m_perPercent * (wholeRun - std::min(percent, wholeRun));
    const Instant end = now + remaining;
    const bool isNews = !m_saidEnd || m_saidStalled || std::chrono::abs(end - *m_saidEnd) > std::max(remaining / worthwhilePart, Duration(30ms));
    if (!isNews) {
        return std::nullopt;
    }
    m_saidEnd = end;
    m_saidStalled = false;
    return Forecast{ remaining, false };
}

} // namespace lagoonroute
