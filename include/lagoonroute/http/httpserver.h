#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/http/httpmessage.h>
#include <lagoonroute/membership/member.h>

#include <cstddef>
#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace lagoonroute
{

/** One request and the way to answer it. Used on the server's thread only. */
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    /** The request. */
    [[nodiscard]] virtual const HttpRequest &request() const = 0;

    /** Sends the response. Only the first call counts; without a connection it does nothing. */
    virtual void respond(HttpResponse response) = 0;

    /** Calls `onClosed` once if the client closes the connection before the response. */
    virtual void watchForClose(std::function<void()> onClosed) = 0;
};

/** HTTP/1.1 server on a thread of its own or on a given event loop, with bounded connections, headers, bodies and waits. */
class HttpServer
{
public:
    /** Limits of the server. */
    struct Options
    {
        NodeAddress address; /**< Where to listen; port 0 takes a free one. */
        std::size_t maxBodyBytes = 8U << 20U; /**< A larger body is refused with 413. */
        std::size_t maxConnections = 4096; /**< Further connections are closed at once. */
        Duration requestTimeout = std::chrono::seconds(15); /**< For a whole request to arrive. */
        Duration idleTimeout = std::chrono::seconds(60); /**< For the next request on a connection. */

        Options withAddress(NodeAddress listenAddress) const;
        Options withMaxBodyBytes(std::size_t bytes) const;
        Options withMaxConnections(std::size_t connections) const;
    };

    /** Handles a request, on the server's thread. It may answer later. */
    using Handler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

    /** Opens the listener and starts the thread. Throws NetworkError when the address is taken. */
    HttpServer(const Options &options, Handler handler);

    /** Opens the listener on an event loop that the caller runs on one thread; there is no thread of its own. */
    HttpServer(boost::asio::io_context &loop, const Options &options, Handler handler);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Address at which the server listens. */
    [[nodiscard]] NodeAddress address() const;

    /** Runs a function on the server's thread. Callable from any thread. */
    void post(std::function<void()> function);

    /** Stops listening and closes every connection on which no request is under way. On the server's thread only. */
    void closeIdle();

    /** From now on closes each connection after its next response. Callable from any thread. */
    void closeAfterResponses();

    /** Number of requests that were received and whose response is not written yet. Callable from any thread. */
    [[nodiscard]] std::size_t busy() const noexcept;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
