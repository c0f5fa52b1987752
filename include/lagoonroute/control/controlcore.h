#pragma once

#include <lagoonroute/configuration/configurationcore.h>
#include <lagoonroute/control/controlevents.h>
#include <lagoonroute/control/workertracker.h>
#include <lagoonroute/membership/contactcore.h>
#include <lagoonroute/membership/membershipcore.h>
#include <lagoonroute/membership/viewcore.h>
#include <lagoonroute/store/storeclientcore.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoonroute
{

/**
 * Joins the cores that keep a process informed: membership, views, the configuration and the client of the store.
 *
 * Its actions go out in order: what the cores of dispatch must know before a call of the store is sent comes first. A
 * process without a store takes views and rules from its settings and learns of members only.
 */
class ControlCore
{
public:
    /** Options of the cores within. */
    struct Options
    {
        MembershipCore::Options membership;
        bool usesStore = false;
        StoreClientCore::Options store;
        ViewCore::Options views;
        ConfigurationCore::Options configuration;
        ContactCore::Options contacts;

        Options withMembership(MembershipCore::Options options) const;
        Options withStore(StoreClientCore::Options options) const;
        Options withContacts(std::vector<NodeAddress> addresses) const;
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

    /** The views that an agent with a store knows; empty elsewhere. */
    [[nodiscard]] const std::map<ShardKey, ShardView> &views() const;

    /** Whether no view names this process, or it takes part in none. */
    [[nodiscard]] bool isHandedOver() const;

    /** The configuration of a process with a store; null elsewhere. */
    [[nodiscard]] const ConfigurationCore *configuration() const noexcept
    {
        return m_configuration ? &*m_configuration : nullptr;
    }

    /** The client of the store. */
    [[nodiscard]] const StoreClientCore &store() const noexcept
    {
        return m_store;
    }

    /** Whether the process has a configuration that it may serve under. */
    [[nodiscard]] bool isReady() const;

private:
    using Actions = std::vector<ControlAction>;

    void tellMembership(const MembershipEvent &event, Instant now, Actions &actions);
    void tellViews(const ViewEvent &event, Instant now, Actions &actions);
    void tellContacts(const ContactEvent &event, Instant now, Actions &actions);
    void tellConfiguration(const ConfigurationEvent &event, Instant now, Actions &actions);
    void callStore(const StoreCall &call, Instant now, Actions &actions);
    void takeReplies(StoreClientCore::Actions &store, Instant now, Actions &actions);
    void takeUp(MembershipAction &&action, Instant now, Actions &actions);
    void takeUp(ViewAction &&action, Instant now, Actions &actions);
    void takeUp(ConfigurationAction &&action, Instant now, Actions &actions);
    void changeMember(const Member &member, Instant now, Actions &actions);
    void endMember(const Member &member, Instant now, Actions &actions);
    void tellWorkers(std::vector<WorkerNews> news, Actions &actions);
    void tellPeers(Instant now, Actions &actions);
    void tellLocal(Instant now, Actions &actions);
    void tellServices(Instant now, Actions &actions);
    void elapse(Instant now, Actions &actions);

    MembershipCore m_membership;
    StoreClientCore m_store;
    std::optional<ContactCore> m_contacts;
    std::optional<ViewCore> m_views;
    std::optional<ConfigurationCore> m_configuration;
    WorkerTracker m_workers;
    std::map<NodeId, ConfigurationPeer> m_peers;
    std::vector<ServiceOffer> m_offers;
    std::map<std::string, std::uint32_t> m_shards;
    Revision m_revision = 0;
};

} // namespace lagoonroute
