#pragma once

#include <lagoonroute/app/settings.h>

#include <memory>

namespace lagoonroute
{

/** One agent with all its threads. */
class AgentNode
{
public:
    /** Starts the agent. Throws NetworkError when an address is taken. */
    explicit AgentNode(const Settings &settings);
    ~AgentNode();

    AgentNode(const AgentNode &) = delete;
    AgentNode &operator=(const AgentNode &) = delete;

    /** Address at which other processes reach it. */
    [[nodiscard]] NodeAddress peerAddress() const;

    /** Address at which the upstream announces itself. */
    [[nodiscard]] NodeAddress httpAddress() const;

    /** Tells balancers and peers whether to send new work here. */
    void setReady(bool ready);

    /** Refuses new work from now on and finishes what runs. */
    void drain();

    /** Whether no work is left after drain(). */
    [[nodiscard]] bool isDrained() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
