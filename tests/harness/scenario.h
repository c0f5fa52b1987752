#pragma once

#include "deployment.h"
#include "invariantchecker.h"
#include "waiting.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

namespace lagoonroute::harness
{

/** Requires that the run met every guarantee. */
inline void requireGuarantees(const Evidence &evidence)
{
    const std::string violations = describe(InvariantChecker(evidence).check());
    BOOST_REQUIRE_MESSAGE(violations.empty(), violations);
}

/** Requires that the run of the deployment has met every guarantee so far. */
inline void requireGuarantees(const Deployment &deployment)
{
    requireGuarantees(deployment.evidence());
}

} // namespace lagoonroute::harness
