#pragma once

/**
 * Module store: the port to the platform's store, a client with call budgets and a circuit breaker, and an in-memory
 * store.
 *
 * Depends on base and on Boost.MSM, which the public headers do not include.
 */

#include <lagoonroute/store/markedswap.h>
#include <lagoonroute/store/memorystore.h>
#include <lagoonroute/store/storeclient.h>
#include <lagoonroute/store/storeport.h>
