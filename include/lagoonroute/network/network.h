#pragma once

/**
 * Module network: what the adapters that use Boost.Asio have in common.
 *
 * Depends on membership (for addresses), observation (for logs) and Boost.Asio.
 */

#include <lagoonroute/network/containedrun.h>
#include <lagoonroute/network/eventloop.h>
#include <lagoonroute/network/tcplistener.h>
