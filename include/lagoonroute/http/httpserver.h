#pragma once

#include <lagoonroute/base/memorybudget.h>
#include <lagoonroute/base/time.h>
#include <lagoonroute/http/httpmessage.h>
#include <lagoonroute/membership/member.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
}

namespace lagoonroute
{

/** A request and the means to respond to it. Used only on the server's thread. */
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    /** The request. */
    [[nodiscard]] virtual const HttpRequest &request() const = 0;

    /** Sends the response. Later calls have no effect, nor does a call after the connection was closed. */
    virtual void respond(HttpResponse response) = 0;

    /**
     * Returns whether the client's end of the connection is open. A request stays readable after its client has reset the
     * connection, so a handler that acts on a request checks this first: the client may already have sent it elsewhere.
     */
    [[nodiscard]] virtual bool isClientConnected() = 0;

    /** Arranges that `onClosed` is called, once, if the client closes the connection before the response. */
    virtual void watchForClose(std::function<void()> onClosed) = 0;

    /** Moves the body out of the request and gives its memory back to the server's budget. */
    virtual std::string takeBody() = 0;
};

/**
 * HTTP/1.1 server that runs on its own thread or on a given event loop.
 *
 * The number of connections, the size of headers, trailers and bodies, the memory of all requests together, and the time to wait for a request
 * are limited. When the connections are used up, the one that has been idle or incomplete for longest is closed.
 */
class HttpServer
{
public:
    /** Address and limits of the server. */
    struct Options
    {
        NodeAddress address; /**< Address to listen on; port 0 selects a free port. */
        std::size_t maxBodyBytes = 8U << 20U; /**< A larger body is refused with 413. */
        std::size_t maxHeaderBytes = 16'384; /**< Limit of the header, refused with 431, and of trailers and chunk extensions that arrive in one piece. */
        std::size_t maxConnections = 4096; /**< Another connection replaces the longest idle or incomplete one; without any, it is closed. */
        std::shared_ptr<MemoryBudget> memory; /**< Shared with the other servers of the process; null for no limit. */
        Duration headerTimeout = std::chrono::seconds(6); /**< Time limit for a header after its first byte; callers may take 3 s. */
        Duration requestTimeout = std::chrono::seconds(15); /**< Time limit for the body of a request after its header, and for writing a response. */
        Duration idleTimeout = std::chrono::seconds(60); /**< Time limit for the first byte of the next request on a connection. */

        Options withAddress(NodeAddress listenAddress) const;
        Options withMaxBodyBytes(std::size_t bytes) const;
        Options withMaxConnections(std::size_t connections) const;
        Options withMemory(std::shared_ptr<MemoryBudget> budget) const;
    };

    /** Handles a request on the server's thread. It may store the exchange and respond later. */
    using Handler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

    /** Opens the listener and starts the server's thread. Throws NetworkError if the address is in use. */
    HttpServer(const Options &options, Handler handler);

    /** Opens the listener on an event loop that the owner runs on one thread, which becomes the server's thread. */
    HttpServer(boost::asio::io_context &loop, const Options &options, Handler handler);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Address at which the server listens. */
    [[nodiscard]] NodeAddress address() const;

    /** Runs a function on the server's thread. Callable from any thread. */
    void post(std::function<void()> function);

    /**
     * Stops listening and closes every connection that has no request in progress; the others close after their
     * response. Called only on the server's thread.
     */
    void closeIdle();

    /** Makes every connection close after its next response. Callable from any thread. */
    void closeAfterResponses();

    /** Number of received requests whose response has not been written yet. Callable from any thread. */
    [[nodiscard]] std::size_t busy() const noexcept;

    /** Number of open connections. Called only on the server's thread. */
    [[nodiscard]] std::size_t connections() const noexcept;

    /** Numbers of connections closed because of a limit, by reason. Called only on the server's thread. */
    [[nodiscard]] const std::map<std::string, std::uint64_t> &closures() const noexcept;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
