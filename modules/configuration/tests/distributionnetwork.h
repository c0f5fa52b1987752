#pragma once

#include "fakestore.h"

#include <lagoonroute/configuration/configuration.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lagoonroute
{

/**
 * Configuration cores joined by a seeded network under virtual time, with gossip of revisions and a store that holds watches.
 *
 * Each process exchanges its revision with one random other every `gossipInterval`. Messages take `latency`.
 */
class DistributionNetwork
{
public:
    Duration latency = std::chrono::milliseconds(1);
    Duration storeLatency = std::chrono::milliseconds(3);
    Duration storeTimeout = std::chrono::seconds(1); /**< After which a call to a store that is down counts as lost. */
    Duration gossipInterval = std::chrono::milliseconds(500);
    unsigned lossPercent = 0; /**< Of messages and of gossip. */
    unsigned repeatPercent = 0; /**< Of messages, which then arrive twice. */
    Duration largestDelay{ 0 }; /**< Added at random to each message, so that they are reordered. */
    bool storeIsDown = false;
    std::function<bool(std::size_t)> reachesStore; /**< Empty when every process reaches the store. */
    std::function<bool(std::size_t, std::size_t)> connected; /**< Empty when every process reaches every other. */
    std::function<void(std::size_t, const ConfigurationAction &)> onAction; /**< Sees the actions of the cores. */
    std::uint64_t messages = 0;
    std::uint64_t storeCalls = 0;

    /** Starts as many processes, spread over the zones in turn. */
    DistributionNetwork(std::size_t processes, std::size_t zones, std::uint64_t seed, const ConfigurationCore::Options &options = {})
        : m_options(options)
        , m_random(seed)
        , m_zones(zones)
        , m_nodes(processes)
    {
        for (std::size_t index = 0; index < processes; ++index) {
            peers.push_back({ NodeId{ 1000 + index }, "zone-" + std::to_string(index % zones) });
        }
        for (std::size_t index = 0; index < processes; ++index) {
            restart(index);
            scheduleGossip(index, Duration(static_cast<Duration::rep>(m_random() % 500'000)));
        }
    }

    /** Replaces a process by a new life that knows nothing. */
    void restart(std::size_t index)
    {
        ++m_nodes[index].life;
        const auto options = m_options.withSelf(peers[index].id, peers[index].zone).withSeed(m_random());
        m_nodes[index].core = std::make_unique<ConfigurationCore>(options);
        handle(index, ConfigurationPeersChanged{ peers });
    }

    /** Stops a process; the others still list it. */
    void stop(std::size_t index)
    {
        ++m_nodes[index].life;
        m_nodes[index].core.reset();
    }

    [[nodiscard]] const ConfigurationCore &core(std::size_t index) const
    {
        return *m_nodes[index].core;
    }

    [[nodiscard]] bool isRunning(std::size_t index) const
    {
        return m_nodes[index].core != nullptr;
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_nodes.size();
    }

    [[nodiscard]] Instant now() const
    {
        return m_now;
    }

    /** Puts the next revision into the store. */
    Revision publish(const Configuration &configuration)
    {
        const StoredConfiguration next = succeeding(m_published ? &*m_published : nullptr, configuration, AuditRecord{ .mark = std::to_string(m_random()) });
        store.call({ 1,
                     StorePurpose::Configuration,
                     StoreSwap{ std::string(configurationKey), next.toText(), store.entries[std::string(configurationKey)].version } });
        m_published = next;
        for (const auto &[index, call] : std::exchange(m_watches, {})) {
            answerLater(index, store.call(call), storeLatency);
        }
        return next.revision();
    }

    /** Passes an event to a process, as if it came from outside. */
    void handle(std::size_t index, const ConfigurationEvent &event)
    {
        if (!isRunning(index)) {
            return;
        }
        std::vector<ConfigurationAction> actions;
        m_nodes[index].core->handle(event, m_now, actions);
        for (const ConfigurationAction &action : actions) {
            carryOut(index, action);
        }
        scheduleWake(index);
    }

    /** Runs for the given time. */
    void run(Duration time)
    {
        const Instant end = m_now + time;
        while (!m_agenda.empty() && m_agenda.begin()->first <= end) {
            m_now = m_agenda.begin()->first;
            const std::function<void()> task = std::move(m_agenda.begin()->second);
            m_agenda.erase(m_agenda.begin());
            task();
        }
        m_now = end;
    }

    FakeStore store;
    std::vector<ConfigurationPeer> peers;

private:
    struct Node
    {
        std::unique_ptr<ConfigurationCore> core;
        std::uint64_t life = 0;
    };

    [[nodiscard]] bool reaches(std::size_t from, std::size_t to)
    {
        return isRunning(to) && (!connected || connected(from, to)) && m_random() % 100 >= lossPercent;
    }

    void later(Duration delay, std::function<void()> task)
    {
        m_agenda.emplace(m_now + delay, std::move(task));
    }

    /** Runs the task unless the process has been replaced by then. */
    void laterInLife(std::size_t index, Duration delay, std::function<void()> task)
    {
        later(delay, [this, index, life = m_nodes[index].life, task = std::move(task)] {
            if (m_nodes[index].life == life) {
                task();
            }
        });
    }

    void scheduleWake(std::size_t index)
    {
        if (const auto wake = m_nodes[index].core->nextWake()) {
            laterInLife(index, std::max(Duration(1), *wake - m_now), [this, index] {
                const auto due = m_nodes[index].core->nextWake();
                if (due && *due <= m_now) {
                    handle(index, ConfigurationTimeElapsed{});
                }
            });
        }
    }

    void scheduleGossip(std::size_t index, Duration delay)
    {
        later(delay, [this, index] {
            const std::size_t other = (index + 1 + m_random() % (m_nodes.size() - 1)) % m_nodes.size();
            if (isRunning(index) && reaches(index, other)) {
                handle(other, PeerRevisionSeen{ peers[index].id, core(index).revision() });
                handle(index, PeerRevisionSeen{ peers[other].id, core(other).revision() });
            }
            scheduleGossip(index, gossipInterval);
        });
    }

    void answerLater(std::size_t index, const StoreReply &reply, Duration delay)
    {
        laterInLife(index, delay, [this, index, reply] { handle(index, ConfigurationStoreReplied{ reply }); });
    }

    void carryOut(std::size_t index, const ConfigurationAction &action)
    {
        if (onAction) {
            onAction(index, action);
        }
        if (const auto *send = std::get_if<SendConfigurationMessage>(&action)) {
            ++messages;
            const std::size_t to = send->to.value - 1000;
            if (reaches(index, to)) {
                deliver(index, to, send->message);
            }
            if (m_random() % 100 < repeatPercent && reaches(index, to)) {
                deliver(index, to, send->message);
            }
        } else if (const auto *call = std::get_if<CallConfigurationStore>(&action)) {
            ++storeCalls;
            callStore(index, call->call);
        }
    }

    void deliver(std::size_t from, std::size_t to, const ConfigurationMessage &message)
    {
        const Duration delay(static_cast<Duration::rep>(m_random() % static_cast<std::uint64_t>(largestDelay.count() + 1)));
        later(latency + delay, [this, from, to, message] { handle(to, ConfigurationMessageReceived{ peers[from].id, message }); });
    }

    void callStore(std::size_t index, const StoreCall &call)
    {
        if (storeIsDown || (reachesStore && !reachesStore(index))) {
            answerLater(index, { call.number, StoreStatus::Unknown, {} }, storeTimeout);
            return;
        }
        const StoreReply reply = store.call(call);
        if (reply.status != StoreStatus::Unchanged) {
            answerLater(index, reply, storeLatency);
            return;
        }
        m_watches.emplace_back(index, call);
        laterInLife(index, std::get<StoreWatch>(call.operation).wait, [this, index, number = call.number] {
            handle(index, ConfigurationStoreReplied{ { number, StoreStatus::Unchanged, {} } });
        });
    }

    ConfigurationCore::Options m_options;
    std::mt19937_64 m_random;
    std::size_t m_zones;
    std::vector<Node> m_nodes;
    std::multimap<Instant, std::function<void()>> m_agenda;
    std::vector<std::pair<std::size_t, StoreCall>> m_watches;
    std::optional<StoredConfiguration> m_published;
    Instant m_now{};
};

} // namespace lagoonroute
