#pragma once

/**
 * Module membership: who takes part, who is alive, and which views the shards of a cell have.
 *
 * Depends on base, platform and on the resource types of configuration.
 */

#include <lagoonroute/membership/contactcore.h>
#include <lagoonroute/membership/member.h>
#include <lagoonroute/membership/membershipcore.h>
#include <lagoonroute/membership/viewcore.h>
