#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace review
{

/** Request of HTTP/1.1, without transport details. */
struct Request
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> fields;
    std::string body;
};

/** Response of HTTP/1.1. */
struct Response
{
    unsigned status = 200;
    std::string body;
};

/** HTTP server on a loopback port, on an event loop that one thread runs. */
class HttpService
{
public:
    /** Produces the response to a request; without a value, the request stays without an answer. */
    using Handler = std::function<boost::asio::awaitable<std::optional<Response>>(Request)>;

    /** Listens on the port. */
    HttpService(boost::asio::io_context &loop, std::uint16_t port, Handler handler);

    /** Closes the listener, so that new connections are refused, and resets the open ones. */
    void refuse();

    /** Listens again. */
    void accept();

    /** Loses everything that arrives, without a reset, as behind a cut. */
    void goSilent();

    /** Serves new connections again. The earlier ones stay silent until their client sends on them, which resets them. */
    void speakAgain();

private:
    using Socket = std::shared_ptr<boost::beast::tcp_stream>;

    boost::asio::awaitable<void> acceptConnections(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor);
    boost::asio::awaitable<void> serve(Socket socket);
    [[nodiscard]] bool isServed(const Socket &socket) const;

    boost::asio::io_context &m_loop;
    std::uint16_t m_port;
    Handler m_handler;
    std::shared_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    std::set<Socket> m_sockets;
    std::set<Socket> m_silentSockets; // of before and during the last silence
    bool m_isSilent = false;
};

/** Calls a server on a loopback port. Has no value if there is no complete response in time or the connection ends before it. */
boost::asio::awaitable<std::optional<Response>> callService(std::uint16_t port, Request request, std::chrono::milliseconds timeout);

/** Returns a loopback port that is free now. */
std::uint16_t freePort();

} // namespace review
