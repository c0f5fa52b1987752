#pragma once

#include <lagoonroute/control/controlevents.h>
#include <lagoonroute/control/workertracker.h>
#include <lagoonroute/membership/membershipcore.h>

#include <optional>
#include <vector>

namespace lagoonroute
{

/**
 * Joins the cores that keep a process informed: membership, views and configuration.
 *
 * Its actions go out in order: what the cores of dispatch must know before a call of the store is sent comes first.
 */
class ControlCore
{
public:
    /** Options of the cores within. */
    struct Options
    {
        MembershipCore::Options membership;

        Options withMembership(MembershipCore::Options options) const;
    };

    explicit ControlCore(const Options &options);

    /** Handles one event and appends the actions it calls for. */
    void handle(const ControlEvent &event, Instant now, std::vector<ControlAction> &actions);

    /** Returns when handle(TimeElapsed) is due next, or nothing. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Membership of the cell, for status and metrics. */
    [[nodiscard]] const MembershipCore &membership() const noexcept
    {
        return m_membership;
    }

private:
    using Actions = std::vector<ControlAction>;

    void tellMembership(const MembershipEvent &event, Instant now, Actions &actions);
    void takeUp(MembershipAction &&action, Actions &actions);
    void takeUpMember(const Member &member, std::vector<WorkerNews> news, Actions &actions);

    MembershipCore m_membership;
    WorkerTracker m_workers;
    std::vector<ServiceOffer> m_offers;
    Revision m_revision = 0;
};

} // namespace lagoonroute
