#pragma once

#include <lagoonroute/base/time.h>

#include <string>
#include <unordered_map>

namespace lagoonroute
{

/**
 * Estimates a task's run time from the run time that its caller declared and from observed run times.
 *
 * Maintains two predictors for each caller: the declared run time multiplied by the average ratio of actual to declared run
 * time, and the average run time regardless of the declaration. The predictor with the smaller average error is used. Both
 * average logarithms and bound the step of each update, so that single outliers have little effect.
 */
class RunTimeEstimator
{
public:
    /** Returns the expected run time of a task. */
    [[nodiscard]] Duration estimate(const std::string &caller, Duration declared) const;

    /** Updates the estimates from a task that succeeded. */
    void observe(const std::string &caller, Duration declared, Duration runTime);

    /** Mean of the observed run times of the service, or a default of 500 ms before the first observation. */
    [[nodiscard]] Duration mean() const noexcept;

private:
    struct Model
    {
        double logRatio = 0; // logarithm of actual divided by declared run time
        double ratioError = 1;
        double logRunTime = 0;
        double runTimeError = 1;
        std::uint32_t declaredCount = 0;
        std::uint32_t count = 0;

        [[nodiscard]] double predict(double logDeclared, bool isDeclared) const;
        void update(double logDeclared, bool isDeclared, double observedLogRunTime);
    };

    std::unordered_map<std::string, Model> m_callers;
    Model m_service;
    double m_mean = 0; // microseconds
};

} // namespace lagoonroute
