#pragma once

/**
 * Module control: the control plane of a process. Combines membership, views, the configuration and the offers of the
 * upstream beside an agent, and notifies the cores of dispatch of changes.
 *
 * Depends on configuration, dispatch, membership and platform.
 */

#include <lagoonroute/control/controlcore.h>
#include <lagoonroute/control/offerregistry.h>
