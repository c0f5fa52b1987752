#pragma once

/**
 * Module app: the daemon processes. Contains the settings, the threads of entries and agents, and the command line.
 *
 * Depends on every other module.
 */

#include <lagoonroute/app/agentnode.h>
#include <lagoonroute/app/entrynode.h>
#include <lagoonroute/app/settings.h>
