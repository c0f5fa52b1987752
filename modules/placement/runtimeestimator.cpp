#include <lagoonroute/placement/runtimeestimator.h>

#include <algorithm>
#include <cmath>

namespace lagoonroute
{

namespace
{

constexpr Duration defaultRunTime = std::chrono::milliseconds(500);
constexpr double defaultRunTimeMicros = 500'000;
constexpr double minGain = 1.0 / 32;
constexpr double maxLogStep = 2; // limits an update to a factor of about 7
constexpr std::uint32_t minObservations = 4; // below this, the model of the service is used instead of the caller's
constexpr std::size_t maxCallers = 4096;

double logOf(Duration duration)
{
    return std::log(std::max(1.0, static_cast<double>(duration.count())));
}

double gainAfter(std::uint32_t count)
{
    return std::max(minGain, 1.0 / (count + 1));
}

double boundedStep(double difference)
{
    return std::clamp(difference, -maxLogStep, maxLogStep);
}

} // namespace

double RunTimeEstimator::Model::predict(double logDeclared, bool isDeclared) const
{
    const bool usesDeclared = isDeclared && (declaredCount == 0 || ratioError <= runTimeError);
    return usesDeclared ? logDeclared + logRatio : logRunTime;
}

void RunTimeEstimator::Model::update(double logDeclared, bool isDeclared, double observedLogRunTime)
{
    const double gain = gainAfter(count);
    const double runTimeDifference = observedLogRunTime - (count == 0 ? observedLogRunTime : logRunTime);
    runTimeError += gain * (std::abs(runTimeDifference) - runTimeError);
    logRunTime = count == 0 ? observedLogRunTime : logRunTime + gain * boundedStep(runTimeDifference);
    count = std::min<std::uint32_t>(count + 1, 1'000'000);
    if (!isDeclared) {
        return;
    }
    const double ratioGain = gainAfter(declaredCount);
    const double ratioDifference = observedLogRunTime - logDeclared - logRatio;
    ratioError += ratioGain * (std::abs(ratioDifference) - ratioError);
    logRatio += ratioGain * (declaredCount == 0 ? ratioDifference : boundedStep(ratioDifference));
    declaredCount = std::min<std::uint32_t>(declaredCount + 1, 1'000'000);
}

Duration RunTimeEstimator::estimate(const std::string &caller, Duration declared) const
{
    const auto found = m_callers.find(caller);
    const bool hasCallerModel = found != m_callers.end() && found->second.count >= minObservations;
    const Model &model = hasCallerModel ? found->second : m_service;
    const bool isDeclared = declared > Duration{ 0 };
    if (model.count == 0) {
        return isDeclared ? declared : defaultRunTime;
    }
    constexpr double largest = 86'400e6; // one day in microseconds
    return Duration(static_cast<Duration::rep>(std::min(largest, std::exp(model.predict(logOf(declared), isDeclared)))));
}

void RunTimeEstimator::observe(const std::string &caller, Duration declared, Duration runTime)
{
    if (m_callers.size() >= maxCallers && m_callers.find(caller) == m_callers.end()) {
        m_callers.clear();
    }
    const bool isDeclared = declared > Duration{ 0 };
    const double logDeclared = logOf(declared);
    const double logRunTime = logOf(runTime);
    m_callers[caller].update(logDeclared, isDeclared, logRunTime);
    const double gain = gainAfter(m_service.count);
    m_mean += gain * (static_cast<double>(runTime.count()) - m_mean);
    m_service.update(logDeclared, isDeclared, logRunTime);
}

Duration RunTimeEstimator::mean() const noexcept
{
    return Duration(static_cast<Duration::rep>(m_service.count == 0 ? defaultRunTimeMicros : m_mean));
}

} // namespace lagoonroute
