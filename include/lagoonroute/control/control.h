#pragma once

/**
 * Module control: what a process must know to decide about jobs. Joins membership, views, the configuration and the
 * offers of the upstream beside an agent, and tells the cores of dispatch what has changed.
 *
 * Depends on configuration, dispatch, membership and platform.
 */

#include <lagoonroute/control/controlcore.h>
#include <lagoonroute/control/offerregistry.h>
