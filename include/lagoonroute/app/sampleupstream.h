#pragma once

#include <lagoonroute/http/httpserver.h>

#include <atomic>
#include <cstdint>
#include <string>

namespace lagoonroute
{

/** Upstream of `solo` mode: answers every task at once with its own body, and counts starts. */
class SampleUpstream
{
public:
    /** Starts to serve on a free port of the given IP number. */
    explicit SampleUpstream(const std::string &ip);

    /** Address at which tasks are taken. */
    [[nodiscard]] NodeAddress address() const;

    /** Number of tasks started so far. */
    [[nodiscard]] std::uint64_t starts() const noexcept;

    /** Announces the service to the agent at the given address. Throws NetworkError when it does not answer. */
    void announce(const NodeAddress &agent, const std::string &service, std::uint16_t slots) const;

private:
    void handle(const std::shared_ptr<HttpExchange> &exchange);

    std::atomic<std::uint64_t> m_starts = 0;
    HttpServer m_server;
};

} // namespace lagoonroute
