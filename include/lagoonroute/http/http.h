#pragma once

/**
 * Module http: HTTP servers and clients for callers, operators, upstreams and the store, based on Boost.Beast.
 *
 * Depends on dispatch, membership and Boost.JSON. The public headers do not include Boost.Beast.
 */

#include <lagoonroute/http/entryapi.h>
#include <lagoonroute/http/httpclient.h>
#include <lagoonroute/http/httpmessage.h>
#include <lagoonroute/http/httpserver.h>
#include <lagoonroute/http/httpstore.h>
#include <lagoonroute/http/operatorpages.h>
#include <lagoonroute/http/upstreamgateway.h>
