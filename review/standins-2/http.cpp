#include "http.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cctype>
#include <stdexcept>

#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

tcp::endpoint loopback(std::uint16_t port)
{
    return { boost::asio::ip::address_v4::loopback(), port };
}

} // namespace

HttpService::HttpService(std::uint16_t port, Handler handler)
    : m_port(port)
    , m_handler(std::move(handler))
    , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
{
    const int enabled = 1;
    const tcp::endpoint endpoint = loopback(m_port);
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    if (::bind(m_listener, endpoint.data(), static_cast<socklen_t>(endpoint.size())) != 0 || ::listen(m_listener, 128) != 0) {
        throw std::runtime_error("cannot listen on port " + std::to_string(port));
    }
    m_acceptor = std::thread([this] { listen(); });
}

HttpService::~HttpService()
{
    m_isStopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    {
        const std::lock_guard lock(m_mutex);
        for (const int socket : m_sockets) {
            ::shutdown(socket, SHUT_RDWR);
        }
    }
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    ::close(m_listener);
}

void HttpService::listen()
{
    while (!m_isStopping) {
        const int socket = ::accept(m_listener, nullptr, nullptr);
        if (socket < 0) {
            continue;
        }
        const std::lock_guard lock(m_mutex);
        m_sockets.insert(socket);
        m_threads.emplace_back([this, socket] { serve(socket); });
    }
}

void HttpService::serve(int socket)
{
    boost::asio::io_context loop;
    tcp::socket stream(loop);
    beast::error_code error;
    stream.assign(tcp::v4(), socket, error);
    stream.set_option(tcp::no_delay(true), error);
    beast::flat_buffer buffer;
    while (!m_isStopping) {
        http::request_parser<http::string_body> parser;
        http::read(stream, buffer, parser, error);
        if (error) {
            break;
        }
        const auto message = parser.release();
        Request request{ std::string(message.method_string()), std::string(message.target()), {}, message.body() };
        for (const auto &field : message) {
            request.headers[lowerCase(std::string(field.name_string()))] = std::string(field.value());
        }
        const Response answer = m_handler(request);
        if (answer.status == 0 || m_isStopping) {
            break;
        }
        http::response<http::string_body> response(static_cast<http::status>(answer.status), message.version());
        response.set(http::field::content_type, "application/json");
        response.body() = answer.body;
        response.keep_alive(message.keep_alive());
        response.prepare_payload();
        http::write(stream, response, error);
        if (error || !message.keep_alive()) {
            break;
        }
    }
    const std::lock_guard lock(m_mutex);
    m_sockets.erase(socket);
    stream.close(error);
}

Response call(std::uint16_t port, const Request &request, std::chrono::milliseconds timeout)
{
    boost::asio::io_context loop;
    beast::tcp_stream stream(loop);
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(http::field::host, "127.0.0.1");
    for (const auto &[name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = request.body;
    message.prepare_payload();
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    Response result;
    stream.expires_after(timeout);
    const auto fail = [&result](const beast::error_code &error) { result.failure = error.message(); };
    stream.async_connect(loopback(port), [&](beast::error_code connectError) {
        if (connectError) {
            fail(connectError);
            return;
        }
        http::async_write(stream, message, [&](beast::error_code writeError, std::size_t) {
            if (writeError) {
                fail(writeError);
                return;
            }
            http::async_read(stream, buffer, parser, [&](beast::error_code readError, std::size_t) {
                if (readError) {
                    fail(readError);
                    return;
                }
                result.status = parser.get().result_int();
                result.body = parser.get().body();
            });
        });
    });
    loop.run();
    return result;
}

std::uint16_t freePort()
{
    // Below the ports that the system gives to outgoing connections, which could take a port before its listener does.
    constexpr unsigned firstPort = 20'000;
    constexpr unsigned portCount = 12'000;
    static unsigned next = static_cast<unsigned>(::getpid()) * 97;
    for (unsigned attempt = 0; attempt < portCount; ++attempt) {
        const auto port = static_cast<std::uint16_t>(firstPort + (next++ % portCount));
        boost::asio::io_context loop;
        tcp::acceptor acceptor(loop);
        beast::error_code error;
        acceptor.open(tcp::v4(), error);
        acceptor.bind(loopback(port), error);
        if (!error) {
            return port;
        }
    }
    throw std::runtime_error("no port is free");
}

} // namespace review
