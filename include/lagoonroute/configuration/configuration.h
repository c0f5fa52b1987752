#pragma once

/**
 * Module configuration: the configuration that operators define. It covers services, the locations where they run and the
 * rules for requests, as immutable values created by builders.
 *
 * Depends on base, the store port of platform and Boost.JSON.
 */

#include <lagoonroute/configuration/auditrecord.h>
#include <lagoonroute/configuration/checkfault.h>
#include <lagoonroute/configuration/configurationcore.h>
#include <lagoonroute/configuration/configurationdiff.h>
#include <lagoonroute/configuration/configurationevents.h>
#include <lagoonroute/configuration/configurationjson.h>
#include <lagoonroute/configuration/configurationmessages.h>
#include <lagoonroute/configuration/configurationmodel.h>
#include <lagoonroute/configuration/places.h>
#include <lagoonroute/configuration/resources.h>
#include <lagoonroute/configuration/servicerules.h>
#include <lagoonroute/configuration/storedconfiguration.h>
#include <lagoonroute/configuration/submitcore.h>
