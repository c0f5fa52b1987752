#include "closurelog.h"

#include <utility>

namespace lagoonroute
{

namespace
{

constexpr Duration lineInterval = std::chrono::seconds(1);

} // namespace

std::optional<std::uint64_t> ClosureLog::record(const std::string &reason, Instant now)
{
    ++m_totals[reason];
    Line &line = m_lines[reason];
    ++line.unreported;
    if (line.last && now < *line.last + lineInterval) {
        return std::nullopt;
    }
    line.last = now;
    return std::exchange(line.unreported, 0);
}

} // namespace lagoonroute
