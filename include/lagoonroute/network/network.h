#pragma once

/**
 * Module network: event loop and TCP listener, shared by the adapters that use Boost.Asio.
 *
 * Depends on membership (for addresses), observation (for logs) and Boost.Asio.
 */

#include <lagoonroute/network/containedrun.h>
#include <lagoonroute/network/eventloop.h>
#include <lagoonroute/network/tcplistener.h>
