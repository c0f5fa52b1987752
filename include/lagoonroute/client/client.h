#pragma once

/**
 * Module client: the caller's library. Mints submission keys, submits jobs and resubmits them safely.
 *
 * Depends on base and http.
 */

#include <lagoonroute/client/jobclient.h>
#include <lagoonroute/client/jobresult.h>
#include <lagoonroute/client/keyminter.h>
#include <lagoonroute/client/submission.h>
