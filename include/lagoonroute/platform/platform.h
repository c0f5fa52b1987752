#pragma once

/**
 * Module platform: the ports to what the platform gives, above all its key-value store.
 *
 * Depends on base and Boost.JSON.
 */

#include <lagoonroute/platform/storeport.h>
