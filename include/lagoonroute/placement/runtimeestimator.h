#pragma once

#include <lagoonroute/base/time.h>

#include <string>
#include <unordered_map>

namespace lagoonroute
{

/**
 * Expects a task's run time from what its caller declared and from what was observed.
 *
 * For each caller it follows two predictors: the declared run time times the usual ratio of real to declared, and the
 * usual run time whatever was declared. The one with the smaller usual error is used. Both are followed as logarithms with
 * bounded steps, so that a few wild values move neither far.
 */
class RunTimeEstimator
{
public:
    /** Returns the expected run time of a task. */
    [[nodiscard]] Duration estimate(const std::string &caller, Duration declared) const;

    /** Learns from a task that ended well. */
    void observe(const std::string &caller, Duration declared, Duration runTime);

    /** Mean of the observed run times of the service; a default before the first. */
    [[nodiscard]] Duration mean() const noexcept;

private:
    struct Model
    {
        double logRatio = 0; // real to declared run time
        double ratioError = 1;
        double logRunTime = 0;
        double runTimeError = 1;
        std::uint32_t declaredCount = 0;
        std::uint32_t count = 0;

        [[nodiscard]] double predict(double logDeclared, bool isDeclared) const;
        void learn(double logDeclared, bool isDeclared, double logRunTimeSeen);
    };

    std::unordered_map<std::string, Model> m_callers;
    Model m_service;
    double m_mean = 0; // microseconds
};

} // namespace lagoonroute
