#include <lagoonroute/dispatch/dispatch.h>

#include <deque>
#include <iostream>
#include <utility>
#include <vector>

/**
 * Embeds the dispatch cores in a program that supplies its own adapters: one agent, whose upstream is part of the program.
 *
 * The program submits a job of three tasks twice under the same submission key, runs the tasks itself, and submits the job
 * once more after it has ended. It prints the answers that the agent sends to the entry. The clock is a counter, so that
 * every run prints the same.
 */
namespace
{

using namespace lagoonroute;

constexpr Duration workTime = std::chrono::milliseconds(50);
constexpr std::size_t taskCount = 3;

/** Adapter for an agent core: queues the tasks that it starts until run() completes them, and prints the answers. */
class Program
{
public:
    Program()
    {
        const ShardKey shard{ "pricing", 0 };
        deliver(RulesChanged{ ServiceRules::Builder("pricing").build() });
        deliver(ViewChanged{ ShardView{ .key = shard, .epoch = 1, .home = m_agent } });
        deliver(StartsAllowed{ shard });
        deliver(UpstreamAnnounced{ "pricing", 2, 2, {} });
        deliver(WorkerChanged{ "pricing", WorkerState{ .node = m_agent, .slots = 2, .connections = 2 } });
    }

    /** Submits the job under the given submission key. */
    void submit(const std::string &key)
    {
        SubmitJob message{ .request = { m_entry, 1, ++m_requests }, .shard = { "pricing", 0 }, .epoch = 1 };
        message.job = JobId::fromSubmission("pricing", "planner", key);
        message.content.service = "pricing";
        message.content.caller = "planner";
        message.content.timeRemaining = std::chrono::seconds(5);
        message.content.tasks.resize(taskCount);
        deliver(MessageReceived{ m_entry, message });
    }

    /** Completes tasks until none is left. Returns the number of tasks started. */
    std::size_t run()
    {
        std::size_t starts = 0;
        while (!m_running.empty()) {
            const CallUpstream call = m_running.front();
            m_running.pop_front();
            ++starts;
            m_now += workTime;
            deliver(UpstreamReplied{ call.task, TaskResult{ 200, "result of task " + std::to_string(call.task.index) }, workTime });
        }
        return starts;
    }

private:
    void deliver(const AgentEvent &event)
    {
        std::vector<AgentAction> actions;
        m_core.handle(event, m_now, actions);
        for (AgentAction &action : actions) {
            perform(std::move(action));
        }
    }

    void perform(AgentAction &&action)
    {
        if (auto *call = std::get_if<CallUpstream>(&action)) {
            m_running.push_back(std::move(*call));
        } else if (const auto *send = std::get_if<SendMessage>(&action)) {
            if (const auto *answer = std::get_if<AnswerRequest>(&send->message)) {
                std::cout << "request " << answer->request.sequence << ": " << toString(answer->answer.outcome) << ", " << answer->answer.results.size()
                          << " results\n";
            }
        }
    }

    NodeId m_agent = NodeId::fromName("embedded-agent");
    NodeId m_entry = NodeId::fromName("embedded-entry");
    AgentCore m_core{ m_agent, 1 };
    Instant m_now{ std::chrono::seconds(1) };
    std::uint64_t m_requests = 0;
    std::deque<CallUpstream> m_running;
};

} // namespace

int main()
{
    Program program;
    program.submit("wedding");
    program.submit("wedding");
    const std::size_t starts = program.run();
    program.submit("wedding");
    std::cout << "tasks started: " << starts + program.run() << "\n";
    return starts == taskCount ? 0 : 1;
}
