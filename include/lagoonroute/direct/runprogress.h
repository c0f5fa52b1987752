#pragma once

#include <lagoonroute/base/time.h>

#include <cstdint>
#include <optional>

namespace lagoonroute
{

/** Follows the progress of one run, in percent, and forecasts its end from the recent rate. */
class RunProgress
{
public:
    /** What is to be told about the run. */
    struct Forecast
    {
        Duration remaining{ 0 };
        bool isStalled = false;

        auto operator<=>(const Forecast &) const = default;
    };

    RunProgress() = default;

    /** Starts at no progress. */
    explicit RunProgress(Instant started);

    /** Notes a reading. Returns a forecast when it is the first, or differs from the last one returned by a quarter. */
    std::optional<Forecast> observe(std::uint32_t percent, Instant now);

private:
    struct Mark
    {
        std::uint32_t percent = 0;
        Instant at;
    };

    [[nodiscard]] bool isStalled(Instant now) const;

    Mark m_older; // the rate is taken from here to the newest reading
    Mark m_newer;
    Mark m_last; // when the percentage last changed
    Duration m_perPercent{ 0 };
    std::optional<Instant> m_saidEnd;
    bool m_saidStalled = false;
};

} // namespace lagoonroute
