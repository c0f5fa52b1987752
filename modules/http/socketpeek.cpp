#include "socketpeek.h"

#include <boost/asio/buffer.hpp>

namespace lagoonroute
{

PeekResult peekAtSocket(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(boost::asio::buffer(&byte, 1), boost::asio::ip::tcp::socket::message_peek, error);
    if (!error) {
        return PeekResult::Readable;
    }
    return error == boost::asio::error::would_block ? PeekResult::Idle : PeekResult::Closed;
}

} // namespace lagoonroute
