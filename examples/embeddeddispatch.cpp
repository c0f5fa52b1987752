#include <lagoonroute/dispatch/dispatch.h>

#include <deque>
#include <iostream>
#include <utility>
#include <vector>

/**
 * Embeds the dispatch cores with adapters of its own: one agent, whose upstream is a function of this program.
 *
 * The program submits a job of three tasks twice under one key, runs the tasks itself, and prints what the entry would
 * be sent. Time is a counter of the program's own, so that every run prints the same.
 */
namespace
{

using namespace lagoonroute;

constexpr Duration workTime = std::chrono::milliseconds(50);
constexpr std::size_t taskCount = 3;

/** Carries out the actions of an agent: runs tasks at once, and prints answers. */
class Program
{
public:
    Program()
    {
        const ShardKey shard{ "pricing", 0 };
        tell(RulesChanged{ ServiceRules::Builder("pricing").build() });
        tell(ViewChanged{ ShardView{ .key = shard, .epoch = 1, .home = m_agent } });
        tell(StartsAllowed{ shard });
        tell(UpstreamAnnounced{ "pricing", 2, 2, {} });
        tell(WorkerChanged{ "pricing", WorkerState{ .node = m_agent, .slots = 2, .connections = 2 } });
    }

    /** Submits the job under the given key. */
    void submit(const std::string &key)
    {
        SubmitJob message{ .request = { m_entry, 1, ++m_requests }, .shard = { "pricing", 0 }, .epoch = 1 };
        message.job = JobId::fromSubmission("pricing", "planner", key);
        message.content.service = "pricing";
        message.content.caller = "planner";
        message.content.timeRemaining = std::chrono::seconds(5);
        message.content.tasks.resize(taskCount);
        tell(MessageReceived{ m_entry, message });
    }

    /** Runs until no task is left. Returns the number of tasks started. */
    std::size_t run()
    {
        std::size_t starts = 0;
        while (!m_running.empty()) {
            const CallUpstream call = m_running.front();
            m_running.pop_front();
            ++starts;
            m_now += workTime;
            tell(UpstreamReplied{ call.task, TaskResult{ 200, "result of task " + std::to_string(call.task.index) }, workTime });
        }
        return starts;
    }

private:
    void tell(const AgentEvent &event)
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
