#include "configurationwatch.h"

#include "configurationranks.h"

#include <lagoonroute/configuration/storedconfiguration.h>

#include <algorithm>

namespace lagoonroute
{

ConfigurationWatch::ConfigurationWatch(const ConfigurationCore::Options &options)
    : m_options(options)
    , m_backoff(options.smallestBackoff, options.largestBackoff)
{
}

void ConfigurationWatch::setPeers(const std::vector<ConfigurationPeer> &peers)
{
    const std::vector<NodeId> ranked = rankedProcesses(m_options.self, m_options.zone, peers);
    const auto self = std::find(ranked.begin(), ranked.end(), m_options.self);
    m_isWatcher = static_cast<std::size_t>(self - ranked.begin()) < m_options.watchersPerZone;
}

std::optional<std::string> ConfigurationWatch::handle(const StoreReply &reply, Instant now, SeededRandom &random)
{
    if (!m_isCallPending || reply.number != m_callNumber) {
        return std::nullopt;
    }
    m_isCallPending = false;
    if (reply.status == StoreStatus::Unchanged) {
        m_backoff.reset();
        return std::nullopt;
    }
    if (reply.status != StoreStatus::Ok) {
        m_isKnownEmpty |= reply.status == StoreStatus::NotFound;
        m_callAt = now + m_backoff.nextDelay(random);
        return std::nullopt;
    }
    m_backoff.reset();
    m_knownVersion = reply.entry.version;
    return reply.entry.value;
}

void ConfigurationWatch::advance(bool mayRead, Instant now, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions)
{
    if (m_isCallPending || now < m_callAt || (!m_isWatcher && !mayRead)) {
        return;
    }
    m_isCallPending = true;
    ++counts.storeCalls;
    const std::string key(configurationKey);
    StoreCall call{ ++m_callNumber, StorePurpose::Configuration, StoreRead{ key } };
    if (m_isWatcher && (m_knownVersion > 0 || m_isKnownEmpty)) {
        call.operation = StoreWatch{ key, m_knownVersion, m_options.watchWait };
    }
    actions.emplace_back(CallConfigurationStore{ std::move(call) });
}

std::optional<Instant> ConfigurationWatch::nextWake(bool mayRead) const
{
    if (m_isCallPending || (!m_isWatcher && !mayRead)) {
        return std::nullopt;
    }
    return m_callAt;
}

} // namespace lagoonroute
