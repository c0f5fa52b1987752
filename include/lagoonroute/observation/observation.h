#pragma once

/**
 * Module observation: logs, metrics and the audit trail.
 *
 * Depends on base, spdlog and Boost.Accumulators.
 */

#include <lagoonroute/observation/log.h>
#include <lagoonroute/observation/metrics.h>
#include <lagoonroute/observation/nodestatus.h>
