#pragma once

#include "directsimulation.h"
#include "workload.h"

#include <boost/test/unit_test.hpp>

namespace lagoonroute
{

/** A simulated deployment whose agents have identified themselves to the entries, with helpers for tests of single jobs. */
struct Deployment
{
    explicit Deployment(const DirectSimulation::Options &options = {})
        : simulation(options)
    {
        simulation.setRoutes(routesFor(bookingKinds()));
        simulation.runFor(std::chrono::seconds(4));
    }

    /** Returns a job with a new id and one step of the given number of tasks, each declared with the given run time. */
    DirectJob makeJob(std::uint32_t tasks, Duration estimate)
    {
        DirectJob result;
        result.id = "single-" + std::to_string(++number);
        DirectStep step;
        step.count = tasks;
        step.need = Resources{ 6200, 64, 0 };
        step.estimate = estimate;
        result.steps.push_back(step);
        return result;
    }

    const DirectSimulation::Submission &submission(std::size_t position)
    {
        return simulation.submissions()[position];
    }

    /** Returns the index of the first agent with a run, or 11 if no agent has one. */
    std::size_t firstBusyAgent()
    {
        for (std::size_t agent = 0; agent < 11; ++agent) {
            if (simulation.agentCore(agent).runs() > 0) {
                return agent;
            }
        }
        return 11;
    }

    /** Reports each violation of the simulation as a test error. */
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
