#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>

namespace lagoonroute
{

/** State of a connection as seen without reading from it. */
enum class PeekResult : std::uint8_t {
    Idle, /**< Open, with nothing to read. */
    Readable, /**< Bytes are waiting to be read. */
    Closed, /**< The peer has closed or reset the connection, and every byte has been read. */
};

/** Looks at a connection without blocking and without reading from it. */
PeekResult peekAtSocket(boost::asio::ip::tcp::socket &socket);

} // namespace lagoonroute
