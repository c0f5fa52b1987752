#pragma once

#include <lagoonroute/http/httpserver.h>

#include <atomic>
#include <cstdint>
#include <string>

namespace lagoonroute
{

/** Upstream of `solo` mode: answers every task at once with the body of its request, and counts the starts. */
class SampleUpstream
{
public:
    /** Starts serving on a free port of the given IP address. */
    explicit SampleUpstream(const std::string &ip);

    /** Returns the address at which tasks are accepted. */
    [[nodiscard]] NodeAddress address() const;

    /** Returns the number of tasks started so far. */
    [[nodiscard]] std::uint64_t starts() const noexcept;

    /** Announces the service to the agent at the given address. Throws NetworkError when the agent does not accept the announcement. */
    void announce(const NodeAddress &agent, const std::string &service, std::uint16_t slots) const;

private:
    void handle(const std::shared_ptr<HttpExchange> &exchange);

    std::atomic<std::uint64_t> m_starts = 0;
    HttpServer m_server;
};

} // namespace lagoonroute
