#pragma once

/**
 * Module placement: decides which task starts next and on which worker. Contains queues, fair shares, limits, admission
 * control and the policies that choose a worker.
 *
 * Depends on base and configuration.
 */

#include <lagoonroute/placement/admissioncontrol.h>
#include <lagoonroute/placement/fairqueue.h>
#include <lagoonroute/placement/placementpolicy.h>
#include <lagoonroute/placement/retrybudget.h>
#include <lagoonroute/placement/runtimeestimator.h>
#include <lagoonroute/placement/scheduler.h>
#include <lagoonroute/placement/taskdemand.h>
#include <lagoonroute/placement/workeraccounts.h>
#include <lagoonroute/placement/workerhealth.h>
#include <lagoonroute/placement/workerstate.h>
