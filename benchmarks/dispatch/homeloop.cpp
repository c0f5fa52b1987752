#include "homeloop.h"

#include <utility>

namespace lagoonroute::bench
{

namespace
{

constexpr Duration jobTime = std::chrono::milliseconds(10);
constexpr Duration taskTime = std::chrono::milliseconds(1);
constexpr Duration retention = std::chrono::minutes(15);

} // namespace

HomeLoop::HomeLoop(std::uint32_t workers, std::uint16_t slots)
    : m_view{ { "bench", 0 }, 1, m_homeNode, m_mirror }
    , m_home(m_homeNode, m_view, ServiceRules::Builder("bench").withRetention(retention).build(), 1)
{
    for (std::uint32_t worker = 0; worker < workers; ++worker) {
        const NodeId node = worker == 0 ? m_homeNode : NodeId{ worker };
        m_home.handle(WorkerChanged{ "bench", WorkerState{ .node = node, .incarnation = 1, .slots = slots, .connections = slots } }, m_now, m_actions);
    }
    m_home.handle(TimeElapsed{}, m_now, m_actions);
    processActions();
    m_messages = MessageCounts{};
}

void HomeLoop::runJob(std::size_t tasks)
{
    ++m_sequence;
    m_now += jobTime;
    SubmitJob submit{ .request = { m_entry, 1, m_sequence }, .shard = m_view.key, .epoch = m_view.epoch, .job = JobId{ { m_sequence, m_sequence } } };
    submit.content.service = "bench";
    submit.content.caller = "caller";
    submit.content.timeRemaining = std::chrono::seconds(60);
    submit.content.tasks.resize(tasks);
    ++m_messages.submissions;
    deliver(m_entry, std::move(submit));
    processActions();
}

void HomeLoop::processActions()
{
    std::vector<AgentAction> actions;
    while (!m_actions.empty()) {
        actions.clear();
        std::swap(actions, m_actions);
        for (const AgentAction &action : actions) {
            if (const auto *send = std::get_if<SendMessage>(&action)) {
                handle(send->to, send->message);
            }
        }
    }
}

void HomeLoop::handle(NodeId to, const DispatchMessage &message)
{
    if (const auto *update = std::get_if<UpdateMirror>(&message)) {
        ++m_messages.mirrorUpdates;
        ++m_messages.mirrorAnswers;
        deliver(to, MirrorUpdated{ update->shard, update->epoch, update->sequence + update->records.size(), true });
    } else if (const auto *start = std::get_if<StartTask>(&message)) {
        ++m_messages.starts;
        ++m_messages.results;
        deliver(to, TaskFinished{ start->shard, start->epoch, start->task, Reason::None, TaskResult{ .status = 200 }, taskTime });
    } else if (const auto *answer = std::get_if<AnswerRequest>(&message)) {
        ++m_messages.answers;
        m_completed += answer->answer.outcome == Outcome::Complete ? 1 : 0;
    } else if (std::holds_alternative<AcknowledgeResults>(message)) {
        ++m_messages.acknowledgements;
    } else {
        ++m_messages.others;
    }
}

void HomeLoop::deliver(NodeId from, DispatchMessage message)
{
    m_home.handle(MessageReceived{ from, std::move(message) }, m_now, m_actions);
}

} // namespace lagoonroute::bench
