#pragma once

#include <lagoonroute/app/settings.h>
#include <lagoonroute/store/memorystore.h>

#include <memory>

namespace lagoonroute
{

/** Agent process with all its threads. */
class AgentNode
{
public:
    /**
     * Starts the agent. When `store` is given, this in-process store replaces the one named in the settings.
     * Throws NetworkError when an address is already in use.
     */
    explicit AgentNode(const Settings &settings, const std::shared_ptr<SharedStore> &store = nullptr);
    ~AgentNode();

    AgentNode(const AgentNode &) = delete;
    AgentNode &operator=(const AgentNode &) = delete;

    /** Returns the address at which other processes reach the agent. */
    [[nodiscard]] NodeAddress peerAddress() const;

    /** Returns the address at which the upstream announces itself. */
    [[nodiscard]] NodeAddress httpAddress() const;

    /** Sets whether the status pages report the agent as ready, so that load balancers and peers send new work here. */
    void setReady(bool ready);

    /** Returns whether a configuration is in force that the agent may serve under. */
    [[nodiscard]] bool isReady() const;

    /** Announces that the agent will soon refuse new work, and hands over the shards of which it is home or mirror. */
    void withdraw();

    /** Announces that the agent has left the cell. */
    void leave();

    /** Refuses new work from now on and finishes the work that is running. */
    void drain();

    /** Returns whether all work has ended after drain(). */
    [[nodiscard]] bool isDrained() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
