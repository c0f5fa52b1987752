#pragma once

#include "closurelog.h"
#include "evictionqueue.h"
#include "receivedbody.h"

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
    EvictionQueue<HttpSession> evictable; /**< Sessions without a complete request; accessed only on the server's thread. */
    ClosureLog closures; /**< Connections closed because of a limit; accessed only on the server's thread. */
    std::size_t connections = 0; /**< Number of open connections; accessed only on the server's thread. */
    std::atomic<std::size_t> pendingRequests = 0; /**< Number of requests whose response has not been written yet. */
    std::atomic<bool> closeAfterResponse = false; /**< Whether connections close after their next response. */

    /** Counts, and possibly logs, that a connection is closed because of a limit. */
    void recordClosure(const std::string &reason);
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

    /** Closes the connection. */
    void close();

private:
    class Exchange;

    void readRequest();
    void read();
    void parse();
    void beginBody();
    [[nodiscard]] std::size_t readSize() const;
    [[nodiscard]] bool reserveMemory();
    void handleRequest();
    void refuse(boost::beast::error_code error);
    void refuse(const std::string &reason, HttpResponse response);
    void write(HttpResponse response);
    [[nodiscard]] bool isClientConnected();
    void watchForClose();
    void endRequest();

    boost::beast::tcp_stream m_stream;
    std::shared_ptr<HttpServerState> m_state; // shared, because a session may outlive the server if the owner supplies the event loop
    boost::beast::flat_buffer m_buffer; // bounded; holds what the parser has not consumed: a header, trailers or a chunk extension
    MemoryReservation m_memory; // of the request that is being read, and of the buffer
    std::size_t m_headerBytes = 0; // of the request that is being read
    std::optional<boost::beast::http::request_parser<ReceivedBody>> m_parser;
    boost::beast::http::response<boost::beast::http::string_body> m_response;
    std::weak_ptr<Exchange> m_exchange;
    bool m_isAnswered = true;
    bool m_isBusy = false;
    bool m_isClosed = false;
    bool m_hasBegun = false; // the first byte of the request has been read
};

} // namespace lagoonroute
