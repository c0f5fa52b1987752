#include "lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>
#include <optional>

namespace lagoonroute
{

namespace
{

namespace front = boost::msm::front;
using boost::mpl::vector;
template <typename Source, typename Event, typename Target>
using Row = front::Row<Source, Event, Target>;

/** Wraps an enumerator as a type, so that the state machine uses the states and events of the header. */
template <auto value>
struct Event
{
};

template <auto value>
struct State : front::state<>
{
    static constexpr auto id = value;
};

template <typename Derived>
struct Definition : front::state_machine_def<Derived>
{
    using no_exception_thrown = int;
    using no_message_queue = int;

    template <typename Machine, typename AnyEvent>
    void no_transition(const AnyEvent & /*event*/, Machine & /*machine*/, int /*state*/)
    {
    }
};

struct TaskDefinition : Definition<TaskDefinition>
{
    using Waiting = State<TaskState::Waiting>;
    using Assigning = State<TaskState::Assigning>;
    using Sent = State<TaskState::Sent>;
    using Withdrawing = State<TaskState::Withdrawing>;
    using Recovering = State<TaskState::Recovering>;
    using Finished = State<TaskState::Finished>;
    using Withdrawn = State<TaskState::Withdrawn>;
    using Place = Event<TaskEvent::Place>;
    using Confirm = Event<TaskEvent::Confirm>;
    using Adopt = Event<TaskEvent::Adopt>;
    using NotStarted = Event<TaskEvent::NotStarted>;
    using Withdraw = Event<TaskEvent::Withdraw>;
    using Finish = Event<TaskEvent::Finish>;
    using initial_state = Waiting;

    using transition_table = vector<Row<Waiting, Place, Assigning>,
                                    Row<Waiting, Adopt, Recovering>,
                                    Row<Waiting, Withdraw, Withdrawn>,
                                    Row<Assigning, Confirm, Sent>,
                                    Row<Assigning, NotStarted, Waiting>,
                                    Row<Assigning, Withdraw, Withdrawn>,
                                    Row<Sent, NotStarted, Waiting>,
                                    Row<Sent, Withdraw, Withdrawing>,
                                    Row<Sent, Finish, Finished>,
                                    Row<Withdrawing, NotStarted, Withdrawn>,
                                    Row<Withdrawing, Finish, Finished>,
                                    Row<Recovering, Confirm, Sent>,
                                    Row<Recovering, NotStarted, Waiting>,
                                    Row<Recovering, Withdraw, Withdrawing>,
                                    Row<Recovering, Finish, Finished>>;
};

struct JobDefinition : Definition<JobDefinition>
{
    using Recording = State<JobState::Recording>;
    using Running = State<JobState::Running>;
    using Cancelling = State<JobState::Cancelling>;
    using Answered = State<JobState::Answered>;
    using Confirm = Event<JobEvent::Confirm>;
    using Cancel = Event<JobEvent::Cancel>;
    using Answer = Event<JobEvent::Answer>;
    using initial_state = Recording;

    using transition_table = vector<Row<Recording, Confirm, Running>,
                                    Row<Recording, Cancel, Cancelling>,
                                    Row<Running, Cancel, Cancelling>,
                                    Row<Running, Answer, Answered>,
                                    Row<Cancelling, Answer, Answered>>;
};

/**
 * Transition table of a state machine, built once by exploring every state that is reachable from the initial one. A
 * record then stores one byte of state, and an event costs one table look-up.
 */
template <typename Definition, typename StateId, typename EventId, std::size_t states, std::size_t events>
class TransitionTable
{
public:
    TransitionTable()
    {
        explore(started(), std::make_index_sequence<events>());
    }

    bool advance(StateId &state, EventId event) const
    {
        const auto &next = m_next.at(static_cast<std::size_t>(state)).at(static_cast<std::size_t>(event));
        if (!next) {
            return false;
        }
        state = *next;
        return true;
    }

private:
    using Machine = boost::msm::back::state_machine<Definition>;

    /** Finds the enumerator of the machine's current state. */
    struct FindState
    {
        int current;
        StateId *found;

        template <typename StateType>
        void operator()(boost::msm::wrap<StateType> /*state*/) const
        {
            if (boost::msm::back::get_state_id<typename Machine::stt, StateType>::value == current) {
                *found = StateType::id;
            }
        }
    };

    static Machine started()
    {
        Machine machine;
        machine.start();
        return machine;
    }

    static StateId stateOf(const Machine &machine)
    {
        using AllStates = typename boost::msm::back::generate_state_set<typename Machine::stt>::type;
        StateId found{};
        boost::mpl::for_each<AllStates, boost::msm::wrap<boost::mpl::placeholders::_1>>(FindState{ machine.current_state()[0], &found });
        return found;
    }

    template <std::size_t... indices>
    void explore(const Machine &machine, std::index_sequence<indices...> all)
    {
        bool &visited = m_visited.at(static_cast<std::size_t>(stateOf(machine)));
        if (visited) {
            return;
        }
        visited = true;
        (follow<static_cast<EventId>(indices)>(machine, all), ...);
    }

    template <EventId event, typename All>
    void follow(const Machine &machine, All all)
    {
        Machine next(machine);
        if (next.process_event(Event<event>()) != boost::msm::back::HANDLED_TRUE) {
            return;
        }
        m_next.at(static_cast<std::size_t>(stateOf(machine))).at(static_cast<std::size_t>(event)) = stateOf(next);
        explore(next, all);
    }

    std::array<std::array<std::optional<StateId>, events>, states> m_next{};
    std::array<bool, states> m_visited{};
};

constexpr auto taskStates = static_cast<std::size_t>(TaskState::Withdrawn) + 1;
constexpr auto taskEvents = static_cast<std::size_t>(TaskEvent::Finish) + 1;
constexpr auto jobStates = static_cast<std::size_t>(JobState::Answered) + 1;
constexpr auto jobEvents = static_cast<std::size_t>(JobEvent::Answer) + 1;

} // namespace

bool advance(TaskState &state, TaskEvent event)
{
    static const TransitionTable<TaskDefinition, TaskState, TaskEvent, taskStates, taskEvents> table;
    return table.advance(state, event);
}

bool advance(JobState &state, JobEvent event)
{
    static const TransitionTable<JobDefinition, JobState, JobEvent, jobStates, jobEvents> table;
    return table.advance(state, event);
}

} // namespace lagoonroute
