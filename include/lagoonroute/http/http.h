#pragma once

/**
 * Module http: HTTP towards callers, operators and upstreams, by Boost.Beast.
 *
 * Depends on dispatch, membership and Boost.JSON. Boost.Beast stays out of the public headers.
 */

#include <lagoonroute/http/entryapi.h>
#include <lagoonroute/http/httpclient.h>
#include <lagoonroute/http/httpmessage.h>
#include <lagoonroute/http/httpserver.h>
#include <lagoonroute/http/httpstore.h>
#include <lagoonroute/http/operatorpages.h>
#include <lagoonroute/http/upstreamgateway.h>
