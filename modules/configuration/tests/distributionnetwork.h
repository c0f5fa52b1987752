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
 * Simulates configuration cores on a seeded network under virtual time, with gossip of revisions and a store that holds watch
 * calls open.
 *
 * Each process exchanges its revision with one other process, chosen at random, every `gossipInterval`. A message arrives after
 * `latency`.
 */
class DistributionNetwork
{
public:
    Duration latency = std::chrono::milliseconds(1);
    Duration storeLatency = std::chrono::milliseconds(3);
    Duration storeTimeout = std::chrono::seconds(1); /**< Delay after which a call to an unavailable store is reported as lost. */
    Duration gossipInterval = std::chrono::milliseconds(500);
    unsigned lossPercent = 0; /**< Share of messages and gossip exchanges that are lost. */
    unsigned repeatPercent = 0; /**< Share of messages that are delivered twice. */
    Duration largestDelay{ 0 }; /**< Upper bound of a random delay added to each message, which reorders messages. */
    bool storeIsDown = false;
    std::function<bool(std::size_t)> reachesStore; /**< Empty when every process reaches the store. */
    std::function<bool(std::size_t, std::size_t)> connected; /**< Empty when every process reaches every other. */
    std::function<void(std::size_t, const ConfigurationAction &)> onAction; /**< Called for each action of a core. */
    std::uint64_t messages = 0;
    std::uint64_t storeCalls = 0;

    /** Starts `processes` processes, assigned to the zones round-robin. */
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

    /** Starts a new incarnation of a process, without any state of the previous one. */
    void restart(std::size_t index)
    {
        ++m_nodes[index].incarnation;
        const auto options = m_options.withSelf(peers[index].id, peers[index].zone).withSeed(m_random());
        m_nodes[index].core = std::make_unique<ConfigurationCore>(options);
        handle(index, ConfigurationPeersChanged{ peers });
    }

    /** Stops a process; the other processes still list it as a peer. */
    void stop(std::size_t index)
    {
        ++m_nodes[index].incarnation;
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

    /** Writes the next revision to the store and answers the pending watches. */
    Revision publish(const Configuration &configuration)
    {
        const StoredConfiguration next = succeeding(m_published ? &*m_published : nullptr, configuration, AuditRecord{ .mark = std::to_string(m_random()) });
        store.call({ 1,
                     StorePurpose::Configuration,
                     StoreSwap{ std::string(configurationKey), next.toText(), store.entries[std::string(configurationKey)].version } });
        m_published = next;
        for (const auto &[index, call] : std::exchange(m_watches, {})) {
            scheduleStoreReply(index, store.call(call), storeLatency);
        }
        return next.revision();
    }

    /** Passes an event to a process and performs the resulting actions. */
    void handle(std::size_t index, const ConfigurationEvent &event)
    {
        if (!isRunning(index)) {
            return;
        }
        std::vector<ConfigurationAction> actions;
        m_nodes[index].core->handle(event, m_now, actions);
        for (const ConfigurationAction &action : actions) {
            perform(index, action);
        }
        scheduleWake(index);
    }

    /** Advances virtual time and runs the tasks that become due. */
    void run(Duration time)
    {
        const Instant end = m_now + time;
        while (!m_scheduledTasks.empty() && m_scheduledTasks.begin()->first <= end) {
            m_now = m_scheduledTasks.begin()->first;
            const std::function<void()> task = std::move(m_scheduledTasks.begin()->second);
            m_scheduledTasks.erase(m_scheduledTasks.begin());
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
        std::uint64_t incarnation = 0;
    };

    [[nodiscard]] bool reaches(std::size_t from, std::size_t to)
    {
        return isRunning(to) && (!connected || connected(from, to)) && m_random() % 100 >= lossPercent;
    }

    void schedule(Duration delay, std::function<void()> task)
    {
        m_scheduledTasks.emplace(m_now + delay, std::move(task));
    }

    /** Schedules a task that runs only if the process is then still in the same incarnation. */
    void scheduleForIncarnation(std::size_t index, Duration delay, std::function<void()> task)
    {
        schedule(delay, [this, index, incarnation = m_nodes[index].incarnation, task = std::move(task)] {
            if (m_nodes[index].incarnation == incarnation) {
                task();
            }
        });
    }

    void scheduleWake(std::size_t index)
    {
        if (const auto wake = m_nodes[index].core->nextWake()) {
            scheduleForIncarnation(index, std::max(Duration(1), *wake - m_now), [this, index] {
                const auto due = m_nodes[index].core->nextWake();
                if (due && *due <= m_now) {
                    handle(index, ConfigurationTimeElapsed{});
                }
            });
        }
    }

    void scheduleGossip(std::size_t index, Duration delay)
    {
        schedule(delay, [this, index] {
            const std::size_t other = (index + 1 + m_random() % (m_nodes.size() - 1)) % m_nodes.size();
            if (isRunning(index) && reaches(index, other)) {
                handle(other, PeerRevisionSeen{ peers[index].id, core(index).revision() });
                handle(index, PeerRevisionSeen{ peers[other].id, core(other).revision() });
            }
            scheduleGossip(index, gossipInterval);
        });
    }

    void scheduleStoreReply(std::size_t index, const StoreReply &reply, Duration delay)
    {
        scheduleForIncarnation(index, delay, [this, index, reply] { handle(index, ConfigurationStoreReplied{ reply }); });
    }

    void perform(std::size_t index, const ConfigurationAction &action)
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
        schedule(latency + delay, [this, from, to, message] { handle(to, ConfigurationMessageReceived{ peers[from].id, message }); });
    }

    void callStore(std::size_t index, const StoreCall &call)
    {
        if (storeIsDown || (reachesStore && !reachesStore(index))) {
            scheduleStoreReply(index, { call.number, StoreStatus::Unknown, {} }, storeTimeout);
            return;
        }
        const StoreReply reply = store.call(call);
        if (reply.status != StoreStatus::Unchanged) {
            scheduleStoreReply(index, reply, storeLatency);
            return;
        }
        m_watches.emplace_back(index, call);
        scheduleForIncarnation(index, std::get<StoreWatch>(call.operation).wait, [this, index, number = call.number] {
            handle(index, ConfigurationStoreReplied{ { number, StoreStatus::Unchanged, {} } });
        });
    }

    ConfigurationCore::Options m_options;
    std::mt19937_64 m_random;
    std::size_t m_zones;
    std::vector<Node> m_nodes;
    std::multimap<Instant, std::function<void()>> m_scheduledTasks;
    std::vector<std::pair<std::size_t, StoreCall>> m_watches;
    std::optional<StoredConfiguration> m_published;
    Instant m_now{};
};

} // namespace lagoonroute
