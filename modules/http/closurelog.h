#pragma once

#include <lagoonroute/base/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lagoonroute
{

/** Counts the connections that a server closed because of a limit, by reason, and decides when a line is logged. */
class ClosureLog
{
public:
    /** Counts a closure. Returns the number since the last line of that reason if one is due, at most once a second. */
    std::optional<std::uint64_t> record(const std::string &reason, Instant now);

    /** Numbers since the start, by reason. */
    [[nodiscard]] const std::map<std::string, std::uint64_t> &totals() const noexcept
    {
        return m_totals;
    }

private:
    struct Line
    {
        std::uint64_t unreported = 0;
        std::optional<Instant> last;
    };

    std::map<std::string, std::uint64_t> m_totals;
    std::map<std::string, Line> m_lines;
};

} // namespace lagoonroute
