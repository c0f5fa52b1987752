#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace review
{

/** Path of a client to an entry, a TCP proxy. When the client loses its network, the client sees a broken connection and the entry sees nothing. */
class ClientPath
{
public:
    /** Listens on `port` and forwards to `entryPort`. */
    ClientPath(boost::asio::io_context &loop, std::uint16_t port, std::uint16_t entryPort);

    /** Breaks every open connection on the client's side. On the entry's side it stays open and silent. */
    void loseClients();

private:
    struct Connection
    {
        explicit Connection(boost::asio::ip::tcp::socket accepted)
            : client(std::move(accepted))
            , entry(client.get_executor())
        {
        }

        boost::asio::ip::tcp::socket client;
        boost::asio::ip::tcp::socket entry;
        bool isLost = false;
    };

    using ConnectionPointer = std::shared_ptr<Connection>;

    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> forwardRequests(ConnectionPointer connection);
    static boost::asio::awaitable<void> forwardResponses(ConnectionPointer connection);

    boost::asio::io_context &m_loop;
    std::uint16_t m_entryPort;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<ConnectionPointer> m_connections;
};

} // namespace review
