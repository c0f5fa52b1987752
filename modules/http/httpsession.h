#pragma once

#include <lagoonroute/http/httpserver.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <set>

namespace lagoonroute
{

class HttpSession;

/** State shared by the connections of one server. */
struct HttpServerState
{
    HttpServer::Options options;
    HttpServer::Handler handler;
    std::set<HttpSession *> sessions; /**< Open sessions; accessed only on the server's thread. */
    std::size_t connections = 0; /**< Number of open connections; accessed only on the server's thread. */
    std::atomic<std::size_t> pendingRequests = 0; /**< Number of requests whose response has not been written yet. */
    std::atomic<bool> closeAfterResponse = false; /**< Whether connections close after their next response. */
};

/** Connection of one client: reads a request, passes it to the handler, writes the response, and repeats. */
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpServerState> state);
    ~HttpSession();

    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    /** Starts reading the first request. */
    void start();

    /** Closes the connection unless a request is being read or handled. */
    void closeIfIdle();

private:
    class Exchange;

    void readRequest();
    void handleRequest();
    void refuse(boost::beast::error_code error);
    void write(HttpResponse response);
    [[nodiscard]] bool isClientConnected();
    void watchForClose();
    void endRequest();
    void close();

    boost::beast::tcp_stream m_stream;
    std::shared_ptr<HttpServerState> m_state; // shared, because a session may outlive the server if the owner supplies the event loop
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    boost::beast::http::response<boost::beast::http::string_body> m_response;
    std::weak_ptr<Exchange> m_exchange;
    bool m_isAnswered = true;
    bool m_isBusy = false;
};

} // namespace lagoonroute
