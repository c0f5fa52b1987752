#pragma once

/**
 * Module dispatch: the cores of entry, home, mirror and executor, and the messages between them. Together they give
 * each accepted job exactly one complete and correct answer.
 *
 * Every core is deterministic: handle(event, now, actions) appends the actions to perform, and nextWake() returns the
 * time of the next call. The cores use no sockets, threads or clocks.
 *
 * Depends on base, configuration and placement.
 */

#include <lagoonroute/dispatch/agentcore.h>
#include <lagoonroute/dispatch/entrycore.h>
#include <lagoonroute/dispatch/events.h>
#include <lagoonroute/dispatch/executorcore.h>
#include <lagoonroute/dispatch/homecore.h>
#include <lagoonroute/dispatch/job.h>
#include <lagoonroute/dispatch/messages.h>
#include <lagoonroute/dispatch/mirrorcore.h>
#include <lagoonroute/dispatch/shardview.h>
