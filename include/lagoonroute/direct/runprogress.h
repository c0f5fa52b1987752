#pragma once

#include <lagoonroute/base/time.h>

#include <cstdint>
#include <optional>

namespace lagoonroute
{

/** Tracks the progress of one run, in percent, and forecasts its end from the recent rate. */
class RunProgress
{
public:
    /** Forecast to be reported for the run. */
    struct Forecast
    {
        Duration remaining{ 0 };
        bool isStalled = false;

        auto operator<=>(const Forecast &) const = default;
    };

    RunProgress() = default;

    /** Starts at no progress. */
    explicit RunProgress(Instant started);

    /** End as last forecast; no value before the first forecast and while the run is stalled. */
    [[nodiscard]] const std::optional<Instant> &expectedEnd() const noexcept
    {
        return m_reportedEnd;
    }

    /** Returns whether a forecast has been made, of an end or of a stall. */
    [[nodiscard]] bool hasForecast() const noexcept
    {
        return m_reportedEnd || m_reportedStalled;
    }

    /** Records a sample. Returns a forecast if it is the first, or differs from the last one returned by a quarter. */
    std::optional<Forecast> observe(std::uint32_t percent, Instant now);

private:
    struct Sample
    {
        std::uint32_t percent = 0;
        Instant at;
    };

    [[nodiscard]] bool isStalled(Instant now) const;

    Sample m_older; // the rate is measured from here to the newest sample
    Sample m_newer;
    Sample m_last; // when the percentage last changed
    Duration m_perPercent{ 0 };
    std::optional<Instant> m_reportedEnd;
    bool m_reportedStalled = false;
};

} // namespace lagoonroute
