#pragma once

/**
 * Module placement: which task starts next and on which worker. Queues, fair shares, limits, admission and the
 * policies that choose a worker.
 *
 * Depends on base and configuration.
 */

#include <lagoonroute/placement/scheduler.h>
#include <lagoonroute/placement/workerstate.h>
