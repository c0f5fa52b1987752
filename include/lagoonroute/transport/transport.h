#pragma once

/**
 * Module transport: messages between the processes of the system, over TCP and UDP, serialised with cereal.
 *
 * Depends on dispatch, membership, Boost.Asio and cereal. The public headers include neither Boost.Asio nor cereal.
 */

#include <lagoonroute/transport/gossiptransport.h>
#include <lagoonroute/transport/linkcodec.h>
#include <lagoonroute/transport/linkendpoint.h>
#include <lagoonroute/transport/messagecodec.h>
#include <lagoonroute/transport/peertransport.h>
