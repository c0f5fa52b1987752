#pragma once

/**
 * Module store: the port to the platform's store, the client with its budget and circuit breaker, and a store in
 * memory.
 *
 * Depends on base and Boost.MSM, which stays out of the public headers.
 */

#include <lagoonroute/store/markedswap.h>
#include <lagoonroute/store/memorystore.h>
#include <lagoonroute/store/storeclient.h>
#include <lagoonroute/store/storeport.h>
