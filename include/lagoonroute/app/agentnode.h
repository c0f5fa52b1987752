#pragma once

#include <lagoonroute/app/settings.h>
#include <lagoonroute/store/memorystore.h>

#include <memory>

namespace lagoonroute
{

/** One agent with all its threads. */
class AgentNode
{
public:
    /**
     * Starts the agent. With `store` it uses that store within this process instead of the one that the settings name.
     * Throws NetworkError when an address is taken.
     */
    explicit AgentNode(const Settings &settings, const std::shared_ptr<SharedStore> &store = nullptr);
    ~AgentNode();

    AgentNode(const AgentNode &) = delete;
    AgentNode &operator=(const AgentNode &) = delete;

    /** Address at which other processes reach it. */
    [[nodiscard]] NodeAddress peerAddress() const;

    /** Address at which the upstream announces itself. */
    [[nodiscard]] NodeAddress httpAddress() const;

    /** Tells balancers and peers whether to send new work here. */
    void setReady(bool ready);

    /** Whether it has a configuration that it may serve under. */
    [[nodiscard]] bool isReady() const;

    /** Announces that it takes no new work soon, and hands over the shards of which it is home or mirror. */
    void withdraw();

    /** Announces that it is gone. */
    void leave();

    /** Refuses new work from now on and finishes what runs. */
    void drain();

    /** Whether no work is left after drain(). */
    [[nodiscard]] bool isDrained() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
