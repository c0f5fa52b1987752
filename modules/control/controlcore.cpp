#include <lagoonroute/control/controlcore.h>

#include <utility>

namespace lagoonroute
{

ControlCore::Options ControlCore::Options::withMembership(MembershipCore::Options options) const
{
    Options changed = *this;
    changed.membership = std::move(options);
    return changed;
}

ControlCore::ControlCore(const Options &options)
    : m_membership(options.membership)
{
}

void ControlCore::handle(const ControlEvent &event, Instant now, Actions &actions)
{
    if (const auto *datagram = std::get_if<DatagramReceived>(&event)) {
        tellMembership(*datagram, now, actions);
    } else if (const auto *contacts = std::get_if<ContactsKnown>(&event)) {
        tellMembership(*contacts, now, actions);
    } else if (const auto *offers = std::get_if<OffersChanged>(&event)) {
        m_offers = offers->offers;
        tellMembership(LocalChanged{ m_offers, m_revision }, now, actions);
        takeUpMember(m_membership.self(), m_workers.memberChanged(m_membership.self()), actions);
    } else if (const auto *lost = std::get_if<ConnectionLost>(&event)) {
        tellMembership(ProbeWanted{ lost->peer }, now, actions);
    } else if (std::holds_alternative<LeaveRequested>(event)) {
        tellMembership(LeaveRequested{}, now, actions);
        takeUpMember(m_membership.self(), m_workers.memberChanged(m_membership.self()), actions);
    } else if (std::holds_alternative<LeaveCompleted>(event)) {
        tellMembership(LeaveCompleted{}, now, actions);
    } else if (std::holds_alternative<TimeElapsed>(event)) {
        tellMembership(TimeElapsed{}, now, actions);
    }
}

std::optional<Instant> ControlCore::nextWake() const
{
    return m_membership.nextWake();
}

void ControlCore::tellMembership(const MembershipEvent &event, Instant now, Actions &actions)
{
    std::vector<MembershipAction> produced;
    m_membership.handle(event, now, produced);
    for (MembershipAction &action : produced) {
        takeUp(std::move(action), actions);
    }
}

void ControlCore::takeUp(MembershipAction &&action, Actions &actions)
{
    if (auto *datagram = std::get_if<SendDatagram>(&action)) {
        actions.emplace_back(std::move(*datagram));
    } else if (const auto *changed = std::get_if<MemberChanged>(&action)) {
        takeUpMember(changed->member, m_workers.memberChanged(changed->member), actions);
    } else if (const auto *gone = std::get_if<MemberGone>(&action)) {
        takeUpMember(gone->member, m_workers.memberGone(gone->member), actions);
    } else if (const auto *spread = std::get_if<ViewSpread>(&action)) {
        actions.emplace_back(ViewChanged{ spread->view });
    } else if (const auto *replaced = std::get_if<SelfReplaced>(&action)) {
        actions.emplace_back(*replaced);
    }
}

void ControlCore::takeUpMember(const Member &member, std::vector<WorkerNews> news, Actions &actions)
{
    actions.emplace_back(PeerAddressKnown{ member.id, member.address });
    for (WorkerNews &item : news) {
        std::visit([&actions](auto &worker) { actions.emplace_back(std::move(worker)); }, item);
    }
}

} // namespace lagoonroute
