#include <lagoonroute/direct/backlograte.h>

#include <cmath>

namespace lagoonroute
{

namespace
{

using namespace std::chrono_literals;

/** Time over which the rate is smoothed; a burst is over within seconds. */
constexpr Duration smoothingTime = 500ms;
/** Weight of the expected rate, expressed as an equivalent measuring time. */
constexpr Duration expectationTime = 50ms;

} // namespace

void BacklogRate::observe(double startedWork, bool hadBacklog, Instant now)
{
    const auto passed = static_cast<double>((now - m_observedAt.value_or(now)).count());
    const double retained = std::exp(-passed / static_cast<double>(smoothingTime.count()));
    m_observedAt = now;
    m_work *= retained;
    m_time *= retained;
    if (hadBacklog) {
        m_work += startedWork;
        m_time += passed;
    }
}

double BacklogRate::rate(double expected) const
{
    const auto weight = static_cast<double>(expectationTime.count());
    return (m_work + (expected * weight)) / (m_time + weight);
}

} // namespace lagoonroute
