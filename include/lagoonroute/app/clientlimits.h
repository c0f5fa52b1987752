#pragma once

#include <lagoonroute/base/memorybudget.h>
#include <lagoonroute/http/httpserver.h>
#include <lagoonroute/observation/metrics.h>

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <string>

namespace lagoonroute
{

/** Limits on what clients make a process of a direct role hold, derived from the memory and the descriptors that it may use. */
class ClientLimits
{
public:
    /** `memoryMegabytes` is the memory of the host for this process, `descriptors` the number of files that it may open. */
    ClientLimits(std::size_t memoryMegabytes, std::size_t descriptors);

    /** Limits for the descriptors that the process really has (RLIMIT_NOFILE). */
    explicit ClientLimits(std::size_t memoryMegabytes);

    /** Memory of the requests that are read or handled and of the open jobs, together: a quarter of the process's memory. */
    [[nodiscard]] const std::shared_ptr<MemoryBudget> &memory() const noexcept
    {
        return m_memory;
    }

    /** Options of the listener for client accounts. */
    [[nodiscard]] HttpServer::Options callers(const std::string &address) const;

    /** Options of a listener for the platform: readiness checks, metrics and the reports of an upstream. */
    [[nodiscard]] HttpServer::Options internal(const std::string &address) const;

    /** Sets the metrics of the limits to the sums over the servers; a null server counts for nothing. */
    void render(MetricsRegistry &metrics, std::initializer_list<const HttpServer *> servers) const;

private:
    std::shared_ptr<MemoryBudget> m_memory;
    std::size_t m_callerConnections;
};

} // namespace lagoonroute
