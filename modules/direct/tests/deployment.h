#pragma once

#include "directsimulation.h"
#include "workload.h"

#include <boost/test/unit_test.hpp>

namespace lagoonroute
{

/** A deployment whose agents have greeted, with jobs of one kind at hand. */
struct Deployment
{
    explicit Deployment(const DirectSimulation::Options &options = {})
        : simulation(options)
    {
        simulation.setRoutes(routesOf(bookingKinds()));
        simulation.runFor(std::chrono::seconds(4));
    }

    DirectJob job(std::uint32_t tasks, Duration estimate)
    {
        DirectJob made;
        made.id = "single-" + std::to_string(++number);
        DirectStep step;
        step.count = tasks;
        step.need = Resources{ 6200, 64, 0 };
        step.estimate = estimate;
        made.steps.push_back(step);
        return made;
    }

    const DirectSimulation::Submission &submission(std::size_t position)
    {
        return simulation.submissions()[position];
    }

    /** Where the only task of the last job runs. */
    std::size_t agentRunning()
    {
        for (std::size_t agent = 0; agent < 11; ++agent) {
            if (simulation.agentCore(agent).runs() > 0) {
                return agent;
            }
        }
        return 11;
    }

    void checkNoViolation()
    {
        for (const std::string &violation : simulation.violations()) {
            BOOST_ERROR(violation);
        }
    }

    DirectSimulation simulation;
    std::uint64_t number = 0;
};

} // namespace lagoonroute
