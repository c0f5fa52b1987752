#pragma once

#include <lagoonroute/base/time.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace lagoonroute
{

/** Label names and values that distinguish metrics of the same name, for example {"reason", "overloaded"}. */
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/** Monotonically increasing count. Callable from any thread. */
class Counter
{
public:
    /** Increases the count by `amount`. */
    void add(std::uint64_t amount = 1) noexcept
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    /** Current count. */
    [[nodiscard]] std::uint64_t value() const noexcept
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value = 0;
};

/** Value that can increase and decrease. Callable from any thread. */
class Gauge
{
public:
    /** Replaces the value. */
    void set(std::int64_t value) noexcept
    {
        m_value.store(value, std::memory_order_relaxed);
    }

    /** Current value. */
    [[nodiscard]] std::int64_t value() const noexcept
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> m_value = 0;
};

/** Distribution of durations with bounded memory: count, sum and the quantiles 0.5, 0.99 and 0.999. Callable from any thread. */
class DurationSummary
{
public:
    /** Statistics of a summary at one moment. */
    struct Snapshot
    {
        std::uint64_t count = 0;
        double sumSeconds = 0;
        double medianSeconds = 0;
        double p99Seconds = 0;
        double p999Seconds = 0;
    };

    DurationSummary();
    ~DurationSummary();

    DurationSummary(const DurationSummary &) = delete;
    DurationSummary &operator=(const DurationSummary &) = delete;

    /** Adds one observation. */
    void observe(Duration duration);

    /** Returns count, sum and quantile estimates. */
    [[nodiscard]] Snapshot snapshot() const;

private:
    class Accumulators;

    mutable std::mutex m_mutex;
    std::unique_ptr<Accumulators> m_accumulators;
};

/**
 * The metrics of one process by name and labels.
 *
 * A metric is created on first use and destroyed with the registry, so that references to it stay valid until then.
 */
class MetricsRegistry
{
public:
    /** Returns the counter of this name and these labels. */
    Counter &counter(const std::string &name, const MetricLabels &labels = {});

    /** Returns the gauge of this name and these labels. */
    Gauge &gauge(const std::string &name, const MetricLabels &labels = {});

    /** Returns the summary of this name and these labels. */
    DurationSummary &summary(const std::string &name, const MetricLabels &labels = {});

    /** Returns every metric in the Prometheus text format 0.0.4. */
    [[nodiscard]] std::string render() const;

private:
    template <typename Metric>
    using Family = std::map<std::string, std::map<std::string, std::unique_ptr<Metric>>>;

    mutable std::mutex m_mutex;
    Family<Counter> m_counters;
    Family<Gauge> m_gauges;
    Family<DurationSummary> m_summaries;
};

} // namespace lagoonroute
