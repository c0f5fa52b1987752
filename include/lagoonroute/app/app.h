#pragma once

/**
 * Module app: the daemons. Settings, the threads of an entry and of an agent, and the command line.
 *
 * Depends on every other module.
 */

#include <lagoonroute/app/agentnode.h>
#include <lagoonroute/app/entrynode.h>
#include <lagoonroute/app/settings.h>
