#pragma once

#include <lagoonroute/dispatch/homecore.h>

#include <deque>
#include <map>
#include <string>

namespace lagoonroute::bench
{

/** Number of messages to and from the home, by purpose. */
struct MessageCounts
{
    std::size_t submissions = 0;
    std::size_t answers = 0;
    std::size_t starts = 0;
    std::size_t results = 0;
    std::size_t acknowledgements = 0; /**< Acknowledgements of results. */
    std::size_t mirrorUpdates = 0;
    std::size_t mirrorAnswers = 0;
    std::size_t others = 0; /**< Any other message: refusals, withdrawals, probes, redirections. */

    /** Returns the number of messages of all kinds. */
    [[nodiscard]] std::size_t total() const
    {
        return submissions + answers + starts + results + acknowledgements + mirrorUpdates + mirrorAnswers + others;
    }
};

/** Runs jobs through a home core whose mirror and workers answer immediately. */
class HomeLoop
{
public:
    HomeLoop(std::uint32_t workers, std::uint16_t slots);

    /** Submits a job of the given number of tasks and processes every resulting action until the job is answered. */
    void runJob(std::size_t tasks);

    [[nodiscard]] const MessageCounts &messages() const noexcept
    {
        return m_messages;
    }

    [[nodiscard]] std::size_t completed() const noexcept
    {
        return m_completed;
    }

    [[nodiscard]] const HomeCore &home() const noexcept
    {
        return m_home;
    }

private:
    void processActions();
    void handle(NodeId to, const DispatchMessage &message);
    void deliver(NodeId from, DispatchMessage message);

    NodeId m_homeNode = NodeId::fromName("home");
    NodeId m_mirror = NodeId::fromName("mirror");
    NodeId m_entry = NodeId::fromName("entry");
    ShardView m_view;
    HomeCore m_home;
    Instant m_now;
    std::uint64_t m_sequence = 0;
    std::vector<AgentAction> m_actions;
    MessageCounts m_messages;
    std::size_t m_completed = 0;
};

} // namespace lagoonroute::bench
