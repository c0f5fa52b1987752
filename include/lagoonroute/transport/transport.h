#pragma once

/**
 * Module transport: messages between the system's own processes, over TCP and UDP with cereal.
 *
 * Depends on dispatch, membership, Boost.Asio and cereal. The two libraries stay out of the public headers.
 */

#include <lagoonroute/transport/gossiptransport.h>
#include <lagoonroute/transport/linkcodec.h>
#include <lagoonroute/transport/linkendpoint.h>
#include <lagoonroute/transport/messagecodec.h>
#include <lagoonroute/transport/peertransport.h>
