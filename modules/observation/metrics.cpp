#include <lagoonroute/observation/metrics.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <sstream>

namespace lagoonroute
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{ 0.5, 0.99, 0.999 };

using DurationAccumulators = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

std::string escapeLabelValue(const std::string &value)
{
    std::string text;
    for (const char character : value) {
        if (character == '\\' || character == '"') {
            text.push_back('\\');
        }
        text += character == '\n' ? std::string("\\n") : std::string(1, character);
    }
    return text;
}

std::string formatLabels(const MetricLabels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        text += (text.empty() ? "" : ",") + name + "=\"" + escapeLabelValue(value) + "\"";
    }
    return text;
}

std::string withBraces(const std::string &labels)
{
    return labels.empty() ? std::string() : "{" + labels + "}";
}

template <typename Family>
auto &findOrCreate(Family &family, const std::string &name, const MetricLabels &labels)
{
    auto &metric = family[name][formatLabels(labels)];
    if (!metric) {
        metric = std::make_unique<typename std::decay_t<decltype(metric)>::element_type>();
    }
    return *metric;
}

template <typename Family>
void renderValues(std::ostream &out, const Family &family, const char *type)
{
    for (const auto &[name, metrics] : family) {
        out << "# TYPE " << name << ' ' << type << '\n';
        for (const auto &[labels, metric] : metrics) {
            out << name << withBraces(labels) << ' ' << metric->value() << '\n';
        }
    }
}

void renderSummary(std::ostream &out, const std::string &name, const std::string &labels, const DurationSummary::Snapshot &snapshot)
{
    const std::array<double, quantiles.size()> values{ snapshot.medianSeconds, snapshot.p99Seconds, snapshot.p999Seconds };
    const std::string prefix = labels.empty() ? "" : labels + ",";
    for (std::size_t index = 0; index < quantiles.size(); ++index) {
        out << name << '{' << prefix << "quantile=\"" << quantiles[index] << "\"} " << values[index] << '\n';
    }
    out << name << "_sum" << withBraces(labels) << ' ' << snapshot.sumSeconds << '\n';
    out << name << "_count" << withBraces(labels) << ' ' << snapshot.count << '\n';
}

} // namespace

class DurationSummary::Accumulators
{
public:
    DurationAccumulators set{ acc::tag::extended_p_square::probabilities = quantiles };
};

DurationSummary::DurationSummary()
    : m_accumulators(std::make_unique<Accumulators>())
{
}

DurationSummary::~DurationSummary() = default;

void DurationSummary::observe(Duration duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    const std::lock_guard lock(m_mutex);
    m_accumulators->set(seconds);
}

DurationSummary::Snapshot DurationSummary::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    const DurationAccumulators &set = m_accumulators->set;
    Snapshot snapshot{ .count = acc::count(set) };
    if (snapshot.count == 0) {
        return snapshot;
    }
    const auto estimates = acc::extended_p_square(set);
    snapshot.sumSeconds = acc::sum(set);
    snapshot.medianSeconds = estimates[0];
    snapshot.p99Seconds = estimates[1];
    snapshot.p999Seconds = estimates[2];
    return snapshot;
}

Counter &MetricsRegistry::counter(const std::string &name, const MetricLabels &labels)
{
    const std::lock_guard lock(m_mutex);
    return findOrCreate(m_counters, name, labels);
}

Gauge &MetricsRegistry::gauge(const std::string &name, const MetricLabels &labels)
{
    const std::lock_guard lock(m_mutex);
    return findOrCreate(m_gauges, name, labels);
}

DurationSummary &MetricsRegistry::summary(const std::string &name, const MetricLabels &labels)
{
    const std::lock_guard lock(m_mutex);
    return findOrCreate(m_summaries, name, labels);
}

std::string MetricsRegistry::render() const
{
    std::ostringstream out;
    const std::lock_guard lock(m_mutex);
    renderValues(out, m_counters, "counter");
    renderValues(out, m_gauges, "gauge");
    for (const auto &[name, metrics] : m_summaries) {
        out << "# TYPE " << name << " summary\n";
        for (const auto &[labels, metric] : metrics) {
            renderSummary(out, name, labels, metric->snapshot());
        }
    }
    return out.str();
}

} // namespace lagoonroute
