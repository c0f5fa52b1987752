#pragma once

/**
 * Module client: library for callers, which generates submission keys, submits jobs and resubmits them safely.
 *
 * Depends on base and http.
 */

#include <lagoonroute/client/jobclient.h>
#include <lagoonroute/client/jobresult.h>
#include <lagoonroute/client/submission.h>
#include <lagoonroute/client/submissionkeygenerator.h>
