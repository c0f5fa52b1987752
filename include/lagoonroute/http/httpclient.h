#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/http/httpmessage.h>
#include <lagoonroute/membership/member.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace boost::asio
{
class io_context;
}

namespace lagoonroute
{

/** Reason why a call has no response. */
enum class HttpFailure : std::uint8_t {
    NotSent, /**< No byte of the request was written. */
    Broken, /**< The connection failed after bytes were written. */
    TimedOut, /**< Bytes were written, but no complete response arrived before the timeout. */
};

/** Result of a call: a response, or the reason why there is none. */
struct HttpResult
{
    std::optional<HttpResponse> response;
    HttpFailure failure = HttpFailure::NotSent;
    bool isRefused = false; /**< Whether the request was not sent because the connection was refused: nothing listens at the address. */
};

/**
 * HTTP/1.1 client that runs on its own thread or on a given event loop, and reuses idle connections.
 *
 * The client never retries a request.
 */
class HttpClient
{
public:
    /** Receives the result of a call, on the client's thread. */
    using Callback = std::function<void(HttpResult)>;

    /** Creates a client with its own thread. */
    HttpClient();

    /** Creates a client on an event loop that the owner runs on one thread. call() may be used only on that thread. */
    explicit HttpClient(boost::asio::io_context &loop);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Sends a request. Callable from any thread if the client has its own thread. */
    void call(const NodeAddress &server, HttpRequest request, Duration timeout, Callback callback);

    /** Sends a request and blocks until its result. Must not be called on the client's thread, which would deadlock. */
    HttpResult callAndWait(const NodeAddress &server, HttpRequest request, Duration timeout);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
