#include "clientpath.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace review
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t bufferBytes = 16'384;

tcp::endpoint loopback(std::uint16_t port)
{
    return { asio::ip::address_v4::loopback(), port };
}

} // namespace

ClientPath::ClientPath(asio::io_context &loop, std::uint16_t port, std::uint16_t entryPort)
    : m_loop(loop)
    , m_entryPort(entryPort)
    , m_acceptor(loop, loopback(port), true)
{
    asio::co_spawn(m_loop, acceptConnections(), asio::detached);
}

void ClientPath::loseClients()
{
    for (const ConnectionPointer &connection : m_connections) {
        boost::system::error_code ignored;
        connection->isLost = true;
        connection->client.set_option(tcp::socket::linger(true, 0), ignored);
        connection->client.close(ignored);
    }
}

asio::awaitable<void> ClientPath::acceptConnections()
{
    while (true) {
        boost::system::error_code error;
        tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        const auto connection = std::make_shared<Connection>(std::move(socket));
        m_connections.push_back(connection);
        asio::co_spawn(m_loop, forwardRequests(connection), asio::detached);
    }
}

asio::awaitable<void> ClientPath::forwardRequests(ConnectionPointer connection)
{
    boost::system::error_code error;
    co_await connection->entry.async_connect(loopback(m_entryPort), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        connection->client.close(error);
        co_return;
    }
    asio::co_spawn(m_loop, forwardResponses(connection), asio::detached);
    std::array<char, bufferBytes> buffer{};
    while (true) {
        const std::size_t size = co_await connection->client.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        co_await asio::async_write(connection->entry, asio::buffer(buffer, size), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
    }
    if (!connection->isLost) {
        connection->entry.close(error);
    }
}

asio::awaitable<void> ClientPath::forwardResponses(ConnectionPointer connection)
{
    std::array<char, bufferBytes> buffer{};
    while (true) {
        boost::system::error_code error;
        const std::size_t size = co_await connection->entry.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        if (!connection->isLost) {
            co_await asio::async_write(connection->client, asio::buffer(buffer, size), asio::redirect_error(asio::use_awaitable, error));
        }
    }
    boost::system::error_code ignored;
    connection->client.close(ignored);
}

} // namespace review
