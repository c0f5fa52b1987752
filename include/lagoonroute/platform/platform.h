#pragma once

/**
 * Module platform: the port to the platform's store, the client with its budget and circuit breaker, and a store in
 * memory.
 *
 * Depends on base and Boost.MSM, which stays out of the public headers.
 */

#include <lagoonroute/platform/markedswap.h>
#include <lagoonroute/platform/memorystore.h>
#include <lagoonroute/platform/storeclient.h>
#include <lagoonroute/platform/storeport.h>
