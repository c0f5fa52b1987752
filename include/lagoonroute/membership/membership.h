#pragma once

/**
 * Module membership: the members of a cell, their status, and the views of the cell's shards.
 *
 * Depends on base, platform and on the resource types of configuration.
 */

#include <lagoonroute/membership/contactcore.h>
#include <lagoonroute/membership/member.h>
#include <lagoonroute/membership/membershipcore.h>
#include <lagoonroute/membership/viewcore.h>
