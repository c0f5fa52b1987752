#pragma once

#include "deployment.h"
#include "invariantchecker.h"
#include "waiting.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

namespace lagoonroute::harness
{

/** Requires that the run kept every promise. */
inline void requirePromises(const Evidence &evidence)
{
    const std::string violations = describe(InvariantChecker(evidence).check());
    BOOST_REQUIRE_MESSAGE(violations.empty(), violations);
}

/** Requires that the deployment's run kept every promise so far. */
inline void requirePromises(const Deployment &deployment)
{
    requirePromises(deployment.evidence());
}

} // namespace lagoonroute::harness
