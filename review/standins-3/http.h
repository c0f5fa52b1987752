#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

/** Minimal HTTP/1.1 over loopback for the stand-ins: one thread a connection, bodies with a declared length. */
namespace standins
{

/** Milliseconds of the monotonic clock, which all processes of a case share. */
std::int64_t nowMs();

/** Sleeps until nowMs() has reached the time. */
void sleepUntil(std::int64_t time);

struct Message
{
    std::string method; /**< Of a request. */
    std::string target; /**< Of a request. */
    int status = 0; /**< Of a response; 0 if there was none, because of a timeout or a broken connection. */
    std::map<std::string, std::string> fields; /**< Names in lower case. */
    std::string body;
};

using Handler = std::function<Message(const Message &)>;

/** Serves requests on 127.0.0.1 for as long as the process runs. */
void serve(int port, const Handler &handler);

/** Sends a request on a new connection and returns the response. */
Message request(int port, const Message &message, std::int64_t timeoutMs);

/** Client's connection to 127.0.0.1 that is kept open between requests. */
class Connection
{
public:
    explicit Connection(int port);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /** Sends a request and returns the response. */
    Message exchange(const Message &message, std::int64_t timeoutMs);

private:
    int m_socket;
    std::string m_rest; // received, and not yet read
};

/** Returns a free port of 127.0.0.1, which stays reserved for this case. */
int freePort();

} // namespace standins
