#pragma once

#include "submitstep.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <type_traits>
#include <utility>

namespace lagoonroute
{

/** The store answered. */
struct CallAnswered
{
    StoreReply reply;
};

/** The store rejected the call or did not answer. */
struct CallFailed
{
    bool mayTakeEffect = false; /**< The call was not answered, so the store may still carry it out. */
};

/**
 * State machine of a submission.
 *
 * Reading -> StoringPredecessor -> Swapping -> Done. Reading also compares the current revision with the reviewed one. A lost
 * answer to the swap leads back to Reading, where the mark of the revision after the reviewed one determines the outcome. On a
 * conflict, ReadingReviewed reads the reviewed revision to show what changed.
 */
struct SubmitMachine : boost::msm::front::state_machine_def<SubmitMachine>
{
    explicit SubmitMachine(SubmitStep first)
        : step(std::move(first))
    {
    }

    SubmitStep step;

    struct Reading : boost::msm::front::state<>
    {
    };

    struct StoringPredecessor : boost::msm::front::state<>
    {
    };

    struct Swapping : boost::msm::front::state<>
    {
    };

    struct ReadingReviewed : boost::msm::front::state<>
    {
    };

    struct Done : boost::msm::front::state<>
    {
    };

    // Guards

    struct IsLastAttempt
    {
        template <typename Event, typename Machine, typename Source, typename Target>
        bool operator()(const Event &, Machine &machine, Source &, Target &) const
        {
            return machine.step.failedCalls + 1 >= SubmitCore::maxFailedCalls;
        }
    };

    struct HasPredecessor
    {
        template <typename Machine, typename Source, typename Target>
        bool operator()(const CallAnswered &, Machine &machine, Source &, Target &) const
        {
            return machine.step.hasPredecessor();
        }
    };

    struct IsUnreadable
    {
        template <typename Machine, typename Source, typename Target>
        bool operator()(const CallAnswered &event, Machine &machine, Source &, Target &) const
        {
            return !machine.step.updateCurrent(event.reply);
        }
    };

    struct IsAccepted
    {
        template <typename Machine, typename Source, typename Target>
        bool operator()(const CallAnswered &, Machine &machine, Source &, Target &) const
        {
            return machine.step.isAccepted();
        }
    };

    struct IsOutcomeUnknown
    {
        template <typename Machine, typename Source, typename Target>
        bool operator()(const CallAnswered &, Machine &machine, Source &, Target &) const
        {
            return machine.step.isOutcomeUnknown();
        }
    };

    struct IsReviewedReplaced
    {
        template <typename Machine, typename Source, typename Target>
        bool operator()(const CallAnswered &, Machine &machine, Source &, Target &) const
        {
            return !machine.step.isReviewedCurrent();
        }
    };

    struct IsSwapped
    {
        template <typename Machine, typename Source, typename Target>
        bool operator()(const CallAnswered &event, Machine &, Source &, Target &) const
        {
            return event.reply.status == StoreStatus::Ok;
        }
    };

    struct IsPredecessorStored
    {
        template <typename Machine, typename Source, typename Target>
        bool operator()(const CallAnswered &event, Machine &machine, Source &, Target &) const
        {
            return event.reply.status == StoreStatus::Ok || machine.step.isPredecessorStored(event.reply);
        }
    };

    // Actions

    template <SubmitOutcome outcome>
    struct Finish
    {
        template <typename Event, typename Machine, typename Source, typename Target>
        void operator()(const Event &, Machine &machine, Source &, Target &) const
        {
            machine.step.finish(outcome);
        }
    };

    struct CountFailure
    {
        template <typename Machine, typename Source, typename Target>
        void operator()(const CallFailed &, Machine &machine, Source &, Target &) const
        {
            ++machine.step.failedCalls;
        }
    };

    struct ResolveSwap
    {
        template <typename Machine, typename Source, typename Target>
        void operator()(const CallFailed &event, Machine &machine, Source &, Target &) const
        {
            ++machine.step.failedCalls;
            machine.step.swapMayTakeEffect |= event.mayTakeEffect;
            machine.step.readCurrent();
        }
    };

    struct GiveUp
    {
        template <typename Machine, typename Source, typename Target>
        void operator()(const CallFailed &event, Machine &machine, Source &, Target &) const
        {
            const bool swapLost = std::is_same_v<Source, Swapping> && event.mayTakeEffect;
            const bool unknown = machine.step.swapMayTakeEffect || swapLost;
            machine.step.finish(unknown ? SubmitOutcome::Unknown : SubmitOutcome::NotSubmitted);
        }
    };

    struct StorePredecessor
    {
        template <typename Machine, typename Source, typename Target>
        void operator()(const CallAnswered &event, Machine &machine, Source &, Target &) const
        {
            const bool isRetry = std::is_same_v<Source, StoringPredecessor>;
            machine.step.storePredecessor(isRetry ? event.reply.entry.version : 0);
        }
    };

    struct Swap
    {
        template <typename Machine, typename Source, typename Target>
        void operator()(const CallAnswered &, Machine &machine, Source &, Target &) const
        {
            machine.step.swap();
        }
    };

    struct ReadCurrent
    {
        template <typename Machine, typename Source, typename Target>
        void operator()(const CallAnswered &, Machine &machine, Source &, Target &) const
        {
            machine.step.readCurrent();
        }
    };

    struct ReadReviewed
    {
        template <typename Machine, typename Source, typename Target>
        void operator()(const CallAnswered &, Machine &machine, Source &, Target &) const
        {
            machine.step.readReviewed();
        }
    };

    struct ReportConflict
    {
        template <typename Machine, typename Source, typename Target>
        void operator()(const CallAnswered &event, Machine &machine, Source &, Target &) const
        {
            machine.step.updateReviewed(event.reply);
            machine.step.finish(SubmitOutcome::Conflict);
        }
    };

    using initial_state = Reading; // NOLINT(readability-identifier-naming)

    template <typename Source, typename Event, typename Target, typename Action, typename Guard = boost::msm::front::none>
    using Row = boost::msm::front::Row<Source, Event, Target, Action, Guard>;

    // Among rows with the same source and event, the state machine takes the last one whose guard returns true.
    // clang-format off
    struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming)
        Row<Reading,            CallFailed,   Reading,            CountFailure>,
        Row<Reading,            CallFailed,   Done,               GiveUp,                            IsLastAttempt>,
        Row<Reading,            CallAnswered, Swapping,           Swap>,
        Row<Reading,            CallAnswered, StoringPredecessor, StorePredecessor,                  HasPredecessor>,
        Row<Reading,            CallAnswered, ReadingReviewed,    ReadReviewed,                      IsReviewedReplaced>,
        Row<Reading,            CallAnswered, Done,               Finish<SubmitOutcome::Unknown>,    IsOutcomeUnknown>,
        Row<Reading,            CallAnswered, Done,               Finish<SubmitOutcome::Accepted>,   IsAccepted>,
        Row<Reading,            CallAnswered, Done,               Finish<SubmitOutcome::Unreadable>, IsUnreadable>,
        Row<StoringPredecessor, CallFailed,   StoringPredecessor, CountFailure>,
        Row<StoringPredecessor, CallFailed,   Done,               GiveUp,                            IsLastAttempt>,
        Row<StoringPredecessor, CallAnswered, StoringPredecessor, StorePredecessor>,
        Row<StoringPredecessor, CallAnswered, Swapping,           Swap,                              IsPredecessorStored>,
        Row<Swapping,           CallFailed,   Reading,            ResolveSwap>,
        Row<Swapping,           CallFailed,   Done,               GiveUp,                            IsLastAttempt>,
        Row<Swapping,           CallAnswered, Reading,            ReadCurrent>,
        Row<Swapping,           CallAnswered, Done,               Finish<SubmitOutcome::Accepted>,   IsSwapped>,
        Row<ReadingReviewed,    CallFailed,   ReadingReviewed,    CountFailure>,
        Row<ReadingReviewed,    CallFailed,   Done,               Finish<SubmitOutcome::Conflict>,   IsLastAttempt>,
        Row<ReadingReviewed,    CallAnswered, Done,               ReportConflict>
    > {};
    // clang-format on

    template <typename Machine, typename Event>
    void no_transition(const Event & /*event*/, Machine & /*machine*/, int /*state*/) // NOLINT(readability-identifier-naming)
    {
    }
};

} // namespace lagoonroute
