#include "httpservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <unistd.h>
#include <utility>

namespace review
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

tcp::endpoint loopback(std::uint16_t port)
{
    return { asio::ip::address_v4::loopback(), port };
}

/** Time after which a server closes a connection that is not used. */
constexpr std::chrono::seconds idleTimeout{ 5 };

void reset(beast::tcp_stream &stream)
{
    boost::system::error_code ignored;
    stream.socket().set_option(tcp::socket::linger(true, 0), ignored);
    stream.close();
}

} // namespace

HttpService::HttpService(asio::io_context &loop, std::uint16_t port, Handler handler)
    : m_loop(loop)
    , m_port(port)
    , m_handler(std::move(handler))
{
    accept();
}

void HttpService::accept()
{
    if (m_acceptor) {
        return;
    }
    m_acceptor = std::make_shared<tcp::acceptor>(m_loop, loopback(m_port), true);
    asio::co_spawn(m_loop, acceptConnections(m_acceptor), asio::detached);
}

void HttpService::refuse()
{
    if (m_acceptor) {
        boost::system::error_code ignored;
        m_acceptor->close(ignored);
        m_acceptor.reset();
    }
    for (const Socket &socket : std::exchange(m_sockets, {})) {
        reset(*socket);
    }
}

void HttpService::goSilent()
{
    m_isSilent = true;
    m_silentSockets = m_sockets;
}

void HttpService::speakAgain()
{
    m_isSilent = false;
}

bool HttpService::isServed(const Socket &socket) const
{
    return m_silentSockets.count(socket) == 0;
}

asio::awaitable<void> HttpService::acceptConnections(std::shared_ptr<tcp::acceptor> acceptor)
{
    while (true) {
        boost::system::error_code error;
        tcp::socket socket = co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        const auto accepted = std::make_shared<beast::tcp_stream>(std::move(socket));
        m_sockets.insert(accepted);
        if (m_isSilent) {
            m_silentSockets.insert(accepted);
        }
        asio::co_spawn(m_loop, serve(accepted), asio::detached);
    }
}

asio::awaitable<void> HttpService::serve(Socket socket)
{
    beast::flat_buffer buffer;
    while (m_sockets.count(socket) != 0) {
        boost::system::error_code error;
        http::request<http::string_body> message;
        socket->expires_after(idleTimeout);
        co_await http::async_read(*socket, buffer, message, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        socket->expires_never();
        if (!isServed(socket)) {
            if (m_isSilent) {
                continue; // lost
            }
            reset(*socket);
            break;
        }
        Request request{ std::string(message.method_string()), std::string(message.target()), {}, message.body() };
        for (const auto &field : message) {
            request.fields[std::string(field.name_string())] = std::string(field.value());
        }
        const std::optional<Response> response = co_await m_handler(std::move(request));
        if (!response || !isServed(socket)) {
            continue; // the connection stays open and silent
        }
        http::response<http::string_body> answer(static_cast<http::status>(response->status), message.version());
        answer.set(http::field::content_type, "application/json");
        answer.body() = response->body;
        answer.prepare_payload();
        co_await http::async_write(*socket, answer, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
    }
    m_sockets.erase(socket);
    m_silentSockets.erase(socket);
}

asio::awaitable<std::optional<Response>> callService(std::uint16_t port, Request request, std::chrono::milliseconds timeout)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    boost::system::error_code error;
    co_await stream.async_connect(loopback(port), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return std::nullopt;
    }
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(http::field::host, "127.0.0.1");
    message.set(http::field::content_type, "application/json");
    for (const auto &[name, value] : request.fields) {
        message.set(name, value);
    }
    message.body() = std::move(request.body);
    message.prepare_payload();
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return std::nullopt;
    }
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    co_await http::async_read(stream, buffer, response, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return std::nullopt;
    }
    co_return Response{ response.result_int(), response.body() };
}

std::uint16_t freePort()
{
    // Below the range of ports of outgoing connections, so that nothing else takes the port while its server is away.
    constexpr std::uint16_t firstPort = 20'000;
    constexpr std::uint16_t portCount = 12'000;
    static std::uint16_t next = static_cast<std::uint16_t>(getpid() * 64 % portCount);
    asio::io_context loop;
    while (true) {
        const auto port = static_cast<std::uint16_t>(firstPort + next);
        next = static_cast<std::uint16_t>((next + 1) % portCount);
        boost::system::error_code error;
        tcp::acceptor acceptor(loop, tcp::v4());
        acceptor.bind(loopback(port), error);
        if (!error) {
            return port;
        }
    }
}

} // namespace review
