#pragma once

/**
 * Module dispatch: the decisions that give each accepted job one complete, truthful answer. The cores of entry, home,
 * mirror and executor, and the messages between them.
 *
 * Every core is deterministic: handle(event, now, actions) appends what is to be done, and nextWake() tells when to
 * call again. There are no sockets, threads or clocks inside.
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
