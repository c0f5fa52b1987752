#include <lagoonroute/app/clientlimits.h>

#include <lagoonroute/app/addresstext.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <sys/resource.h>

namespace lagoonroute
{

namespace
{

/** Body limit of the callers' listener, above the limit that a configuration sets. */
constexpr std::size_t maxCallerBodyBytes = 1U << 20U;
/** Connections of one internal listener; a balancer, an operator's collector and an upstream need a few each. */
constexpr std::size_t maxInternalConnections = 16;
/** Descriptors left to files, links, the store and internal listeners: 200 files and links to 200 agents and other entries at the size planned for. */
constexpr std::size_t maxReservedDescriptors = 512;
/** Most connections of callers where descriptors are plentiful. */
constexpr std::size_t maxCallerConnections = 4096;
/** Share of the memory for requests and open jobs. Their allocations take up to twice what is counted, and links and logs need memory too. */
constexpr std::size_t memoryShare = 4;

std::size_t descriptorLimit()
{
    rlimit limit{};
    return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? static_cast<std::size_t>(limit.rlim_cur) : 1024;
}

} // namespace

ClientLimits::ClientLimits(std::size_t memoryMegabytes, std::size_t descriptors)
    : m_memory(std::make_shared<MemoryBudget>((memoryMegabytes << 20U) / memoryShare))
    , m_callerConnections(std::clamp<std::size_t>(descriptors - std::min(descriptors / 3, maxReservedDescriptors), 1, maxCallerConnections))
{
}

ClientLimits::ClientLimits(std::size_t memoryMegabytes)
    : ClientLimits(memoryMegabytes, descriptorLimit())
{
}

HttpServer::Options ClientLimits::callers(const std::string &address) const
{
    return HttpServer::Options()
        .withAddress(addressFromText(address))
        .withMaxBodyBytes(maxCallerBodyBytes)
        .withMaxConnections(m_callerConnections)
        .withMemory(m_memory);
}

HttpServer::Options ClientLimits::internal(const std::string &address) const
{
    return HttpServer::Options().withAddress(addressFromText(address)).withMaxConnections(maxInternalConnections).withMemory(m_memory);
}

void ClientLimits::render(MetricsRegistry &metrics, std::initializer_list<const HttpServer *> servers) const
{
    std::size_t connections = 0;
    std::map<std::string, std::uint64_t> closures;
    for (const HttpServer *server : servers) {
        if (server == nullptr) {
            continue;
        }
        connections += server->connections();
        for (const auto &[reason, count] : server->closures()) {
            closures[reason] += count;
        }
    }
    metrics.gauge("lagoonroute_connections").set(static_cast<std::int64_t>(connections));
    metrics.gauge("lagoonroute_request_bytes").set(static_cast<std::int64_t>(m_memory->used()));
    for (const auto &[reason, count] : closures) {
        Counter &counter = metrics.counter("lagoonroute_connections_closed_total", { { "reason", reason } });
        counter.add(count - counter.value());
    }
}

} // namespace lagoonroute
