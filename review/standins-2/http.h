#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review
{

/** Request that a stand-in has received, or that a client sends. */
struct Request
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers; // names in lower case where received
    std::string body;
};

/** Response of a stand-in, or to a client. Status 0 means that there was none. */
struct Response
{
    unsigned status = 0;
    std::string body;
    std::string failure; // why there is no response
};

/** HTTP/1.1 server on a loopback port with a thread for each connection. */
class HttpService
{
public:
    using Handler = std::function<Response(const Request &)>;

    HttpService(std::uint16_t port, Handler handler);
    ~HttpService();

    HttpService(const HttpService &) = delete;
    HttpService &operator=(const HttpService &) = delete;

private:
    void listen();
    void serve(int socket);

    std::uint16_t m_port;
    Handler m_handler;
    std::atomic<bool> m_isStopping = false;
    int m_listener = -1;
    std::mutex m_mutex;
    std::set<int> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/** Sends a request to a loopback port on a connection of its own and waits for the response. */
Response call(std::uint16_t port, const Request &request, std::chrono::milliseconds timeout);

/** Returns a loopback port that is free now. */
std::uint16_t freePort();

} // namespace review
