#include <lagoonroute/app/agentnode.h>

#include "agentobserver.h"
#include "decisionthread.h"
#include "nodebase.h"

#include <lagoonroute/dispatch/agentcore.h>
#include <lagoonroute/http/upstreamgateway.h>
#include <lagoonroute/transport/peertransport.h>

namespace lagoonroute
{

namespace
{

/** Adapters of an agent. */
class AgentPorts
{
public:
    AgentPorts(const Settings &settings, Incarnation incarnation, const OperatorPages &pages, WakeSignal &signal)
        : m_peers(PeerTransport::Options().withSelf(NodeId::fromName(settings.node), incarnation).withAddress(settings.peer), signal)
        , m_upstream(HttpServer::Options().withAddress(settings.http), pages, signal)
    {
        for (const Member &member : settings.members) {
            m_peers.setPeer(member.id, member.address);
        }
    }

    template <typename Consumer>
    void drain(Consumer &&consume)
    {
        m_peers.drain([&consume](PeerEvent &&event) {
            if (auto *received = std::get_if<MessageReceived>(&event)) {
                consume(AgentEvent(std::move(*received)));
            } else {
                consume(AgentEvent(std::get<ConnectionLost>(event)));
            }
        });
        m_upstream.drain(consume);
    }

    void perform(AgentAction &&action)
    {
        if (auto *send = std::get_if<SendMessage>(&action)) {
            m_peers.send(send->to, std::move(send->message));
        } else if (auto *call = std::get_if<CallUpstream>(&action)) {
            m_upstream.call(std::move(*call));
        } else if (const auto *stop = std::get_if<StopUpstreamTask>(&action)) {
            m_upstream.stop(*stop);
        }
    }

    [[nodiscard]] NodeAddress peerAddress() const
    {
        return m_peers.address();
    }

    [[nodiscard]] NodeAddress httpAddress() const
    {
        return m_upstream.address();
    }

private:
    PeerTransport m_peers;
    UpstreamGateway m_upstream;
};

} // namespace

class AgentNode::Implementation
{
public:
    explicit Implementation(const Settings &settings)
        : m_base(settings.node)
        , m_observer(m_base.metrics())
        , m_core(NodeId::fromName(settings.node), NodeId::fromName(settings.node).value)
        , m_ports(settings, m_base.incarnation(), m_base.pages(), m_signal)
        , m_thread(m_core, m_ports, m_observer, m_signal)
    {
        for (const ServiceRules &rules : settings.services) {
            m_thread.inject(RulesChanged{ rules });
        }
        for (const Member &member : settings.members) {
            injectOffers(member);
        }
        for (const ShardView &view : settings.views) {
            m_thread.inject(ViewChanged{ view });
            // Views of the settings never change, so no other home can replace this one.
            m_thread.inject(StartsAllowed{ view.key });
        }
        m_thread.start();
    }

    [[nodiscard]] NodeBase &base()
    {
        return m_base;
    }

    void drain()
    {
        m_thread.inject(StopRequested{});
    }

    [[nodiscard]] bool isDrained() const
    {
        return m_thread.isDrained();
    }

    [[nodiscard]] const AgentPorts &ports() const
    {
        return m_ports;
    }

private:
    void injectOffers(const Member &member)
    {
        for (const ServiceOffer &offer : member.offers) {
            WorkerState worker{ .node = member.id,
                                .incarnation = member.incarnation,
                                .zone = member.zone,
                                .rack = member.rack,
                                .slots = offer.slots,
                                .connections = offer.connections,
                                .capacity = offer.capacity };
            m_thread.inject(WorkerChanged{ offer.service, std::move(worker) });
        }
    }

    NodeBase m_base;
    WakeSignal m_signal;
    AgentObserver m_observer;
    AgentCore m_core;
    AgentPorts m_ports;
    DecisionThread<AgentCore, AgentEvent, AgentAction, AgentPorts, AgentObserver> m_thread;
};

AgentNode::AgentNode(const Settings &settings)
    : m_implementation(std::make_unique<Implementation>(settings))
{
}

AgentNode::~AgentNode() = default;

void AgentNode::setReady(bool ready)
{
    m_implementation->base().status().setReady(ready);
}

void AgentNode::drain()
{
    m_implementation->drain();
}

bool AgentNode::isDrained() const
{
    return m_implementation->isDrained();
}

NodeAddress AgentNode::peerAddress() const
{
    return m_implementation->ports().peerAddress();
}

NodeAddress AgentNode::httpAddress() const
{
    return m_implementation->ports().httpAddress();
}

} // namespace lagoonroute
