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

/** The store refused the call or did not answer. */
struct CallFailed
{
    bool mayTakeEffect = false;
};

/**
 * Life cycle of a submission.
 *
 * Reading and comparing -> Keeping the predecessor -> Swapping -> Done; a lost answer to the swap leads back to Reading, where
 * the mark of the revision after the reviewed one decides. A conflict reads the reviewed revision, to show what changed.
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

    struct Keeping : boost::msm::front::state<>
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

    struct IsLastTry
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
            return !machine.step.learnCurrent(event.reply);
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

    struct IsForgotten
    {
        template <typename Machine, typename Source, typename Target>
        bool operator()(const CallAnswered &, Machine &machine, Source &, Target &) const
        {
            return machine.step.isForgotten();
        }
    };

    struct IsReplaced
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

    struct IsKept
    {
        template <typename Machine, typename Source, typename Target>
        bool operator()(const CallAnswered &event, Machine &machine, Source &, Target &) const
        {
            return event.reply.status == StoreStatus::Ok || machine.step.isKept(event.reply);
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

    struct KeepPredecessor
    {
        template <typename Machine, typename Source, typename Target>
        void operator()(const CallAnswered &event, Machine &machine, Source &, Target &) const
        {
            const bool isRetry = std::is_same_v<Source, Keeping>;
            machine.step.keepPredecessor(isRetry ? event.reply.entry.version : 0);
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

    struct ShowConflict
    {
        template <typename Machine, typename Source, typename Target>
        void operator()(const CallAnswered &event, Machine &machine, Source &, Target &) const
        {
            machine.step.learnReviewed(event.reply);
            machine.step.finish(SubmitOutcome::Conflict);
        }
    };

    using initial_state = Reading; // NOLINT(readability-identifier-naming)

    template <typename Source, typename Event, typename Target, typename Action, typename Guard = boost::msm::front::none>
    using Row = boost::msm::front::Row<Source, Event, Target, Action, Guard>;

    // Of rows with the same source and event, the last one whose guard holds is taken.
    // clang-format off
    struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming)
        Row<Reading,         CallFailed,   Reading,         CountFailure>,
        Row<Reading,         CallFailed,   Done,            GiveUp,                                IsLastTry>,
        Row<Reading,         CallAnswered, Swapping,        Swap>,
        Row<Reading,         CallAnswered, Keeping,         KeepPredecessor,                       HasPredecessor>,
        Row<Reading,         CallAnswered, ReadingReviewed, ReadReviewed,                          IsReplaced>,
        Row<Reading,         CallAnswered, Done,            Finish<SubmitOutcome::Unknown>,        IsForgotten>,
        Row<Reading,         CallAnswered, Done,            Finish<SubmitOutcome::Accepted>,       IsAccepted>,
        Row<Reading,         CallAnswered, Done,            Finish<SubmitOutcome::Unreadable>,     IsUnreadable>,
        Row<Keeping,         CallFailed,   Keeping,         CountFailure>,
        Row<Keeping,         CallFailed,   Done,            GiveUp,                                IsLastTry>,
        Row<Keeping,         CallAnswered, Keeping,         KeepPredecessor>,
        Row<Keeping,         CallAnswered, Swapping,        Swap,                                  IsKept>,
        Row<Swapping,        CallFailed,   Reading,         ResolveSwap>,
        Row<Swapping,        CallFailed,   Done,            GiveUp,                                IsLastTry>,
        Row<Swapping,        CallAnswered, Reading,         ReadCurrent>,
        Row<Swapping,        CallAnswered, Done,            Finish<SubmitOutcome::Accepted>,       IsSwapped>,
        Row<ReadingReviewed, CallFailed,   ReadingReviewed, CountFailure>,
        Row<ReadingReviewed, CallFailed,   Done,            Finish<SubmitOutcome::Conflict>,       IsLastTry>,
        Row<ReadingReviewed, CallAnswered, Done,            ShowConflict>
    > {};
    // clang-format on

    template <typename Machine, typename Event>
    void no_transition(const Event & /*event*/, Machine & /*machine*/, int /*state*/) // NOLINT(readability-identifier-naming)
    {
    }
};

} // namespace lagoonroute
