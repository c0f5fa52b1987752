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
 * Connects the cores of the control plane: membership, views, the configuration and the client of the store.
 *
 * Actions must be executed in order: notifications that the cores of dispatch need before a store call is sent precede that
 * call. A process without a store reads views and rules from its settings and receives only membership changes.
 */
class ControlCore
{
public:
    /** Options of the contained cores. */
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

    /** Views known to an agent with a store; empty in other processes. */
    [[nodiscard]] const std::map<ShardKey, ShardView> &views() const;

    /** Returns whether no view names this process. Always true in a process without views. */
    [[nodiscard]] bool isHandedOver() const;

    /** Configuration of a process with a store; null in other processes. */
    [[nodiscard]] const ConfigurationCore *configuration() const noexcept
    {
        return m_configuration ? &*m_configuration : nullptr;
    }

    /** Client of the store. */
    [[nodiscard]] const StoreClientCore &store() const noexcept
    {
        return m_store;
    }

    /** Returns whether the process has a configuration with which it may serve. Always true without a store. */
    [[nodiscard]] bool isReady() const;

private:
    using Actions = std::vector<ControlAction>;

    void forwardToMembership(const MembershipEvent &event, Instant now, Actions &actions);
    void forwardToViews(const ViewEvent &event, Instant now, Actions &actions);
    void forwardToContacts(const ContactEvent &event, Instant now, Actions &actions);
    void forwardToConfiguration(const ConfigurationEvent &event, Instant now, Actions &actions);
    void callStore(const StoreCall &call, Instant now, Actions &actions);
    void processStoreActions(StoreClientCore::Actions &store, Instant now, Actions &actions);
    void handleAction(MembershipAction &&action, Instant now, Actions &actions);
    void handleAction(ViewAction &&action, Instant now, Actions &actions);
    void handleAction(ConfigurationAction &&action, Instant now, Actions &actions);
    void handleMemberChanged(const Member &member, Instant now, Actions &actions);
    void handleMemberGone(const Member &member, Instant now, Actions &actions);
    void publishWorkers(std::vector<WorkerUpdate> updates, Actions &actions);
    void publishPeers(Instant now, Actions &actions);
    void publishLocalState(Instant now, Actions &actions);
    void publishServices(Instant now, Actions &actions);
    void handleTimers(Instant now, Actions &actions);

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
