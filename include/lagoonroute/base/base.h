#pragma once

/**
 * Module base: identifiers, time, outcomes, errors and the bounded ring that passes values between threads.
 *
 * Depends on the standard library, Boost.Lockfree and xxHash only.
 */

#include <lagoonroute/base/boundedring.h>
#include <lagoonroute/base/commonevents.h>
#include <lagoonroute/base/errors.h>
#include <lagoonroute/base/identifiers.h>
#include <lagoonroute/base/memorybudget.h>
#include <lagoonroute/base/outcome.h>
#include <lagoonroute/base/shardview.h>
#include <lagoonroute/base/time.h>
#include <lagoonroute/base/wakesignal.h>
