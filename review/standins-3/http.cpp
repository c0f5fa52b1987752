#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <random>
#include <thread>

namespace standins
{

namespace
{

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool waitReadable(int socket, std::int64_t until)
{
    pollfd entry{ socket, POLLIN, 0 };
    const std::int64_t left = until - nowMs();
    return left > 0 && poll(&entry, 1, static_cast<int>(left)) > 0;
}

bool writeAll(int socket, const std::string &text)
{
    std::size_t written = 0;
    while (written < text.size()) {
        const ssize_t size = send(socket, text.data() + written, text.size() - written, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        written += static_cast<std::size_t>(size);
    }
    return true;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

/** Reads one message; `rest` keeps what follows it. Returns nothing at the end of the connection or at the time. */
std::optional<Message> readMessage(int socket, std::string &rest, std::int64_t until)
{
    const auto readMore = [&] {
        char bytes[16384];
        if (!waitReadable(socket, until)) {
            return false;
        }
        const ssize_t size = recv(socket, bytes, sizeof bytes, 0);
        if (size <= 0) {
            return false;
        }
        rest.append(bytes, static_cast<std::size_t>(size));
        return true;
    };
    std::size_t headEnd = std::string::npos;
    while ((headEnd = rest.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore()) {
            return std::nullopt;
        }
    }
    Message message;
    std::size_t lineEnd = rest.find("\r\n");
    const std::string first = rest.substr(0, lineEnd);
    const std::size_t space = first.find(' ');
    const std::size_t second = first.find(' ', space + 1);
    if (first.rfind("HTTP/", 0) == 0) {
        message.status = std::atoi(first.c_str() + space + 1);
    } else {
        message.method = first.substr(0, space);
        message.target = first.substr(space + 1, second - space - 1);
    }
    while (lineEnd < headEnd) {
        const std::size_t begin = lineEnd + 2;
        lineEnd = rest.find("\r\n", begin);
        const std::string line = rest.substr(begin, lineEnd - begin);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.fields[lowerCase(line.substr(0, colon))] = value == std::string::npos ? std::string() : line.substr(value);
        }
    }
    const auto length = message.fields.find("content-length");
    const std::size_t size = length == message.fields.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
    while (rest.size() < headEnd + 4 + size) {
        if (!readMore()) {
            return std::nullopt;
        }
    }
    message.body = rest.substr(headEnd + 4, size);
    rest.erase(0, headEnd + 4 + size);
    return message;
}

std::string headText(const std::string &firstLine, const Message &message)
{
    std::string text = firstLine + "\r\n";
    for (const auto &[name, value] : message.fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "content-length: " + std::to_string(message.body.size()) + "\r\n\r\n";
}

void serveConnection(int socket, const Handler &handler)
{
    constexpr std::int64_t idleMs = 600'000;
    std::string rest;
    while (const auto message = readMessage(socket, rest, nowMs() + idleMs)) {
        Message response = handler(*message);
        response.fields["content-type"] = "application/json";
        if (!writeAll(socket, headText("HTTP/1.1 " + std::to_string(response.status) + " -", response) + response.body)) {
            break;
        }
    }
    close(socket);
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

void sleepUntil(std::int64_t time)
{
    const std::int64_t left = time - nowMs();
    if (left > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(left));
    }
}

void serve(int port, const Handler &handler)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || listen(listener, 128) != 0) {
        std::cerr << "cannot listen on port " << port << "\n";
        std::exit(2);
    }
    while (true) {
        const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket >= 0) {
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread(serveConnection, socket, handler).detach();
        }
    }
}

Connection::Connection(int port)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in address = loopback(port);
    const int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(m_socket);
        m_socket = -1;
    }
}

Connection::~Connection()
{
    if (m_socket >= 0) {
        close(m_socket);
    }
}

Message Connection::exchange(const Message &message, std::int64_t timeoutMs)
{
    const std::int64_t until = nowMs() + timeoutMs;
    if (m_socket < 0 || !writeAll(m_socket, headText(message.method + " " + message.target + " HTTP/1.1", message) + message.body)) {
        return {};
    }
    return readMessage(m_socket, m_rest, until).value_or(Message{});
}

Message request(int port, const Message &message, std::int64_t timeoutMs)
{
    return Connection(port).exchange(message, timeoutMs);
}

int freePort()
{
    // Below the ports that the system gives to outgoing connections.
    constexpr int first = 20'000;
    constexpr int last = 29'999;
    static std::random_device random;
    std::uniform_int_distribution<int> any(first, last);
    while (true) {
        const int port = any(random);
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const int on = 1;
        if (bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) {
            // The socket stays bound, so that no other case takes the port; a process may listen there with SO_REUSEADDR all the same.
            setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
            return port;
        }
        close(socket);
    }
}

} // namespace standins
