#include <lagoonroute/app/agentnode.h>

#include "agentobserver.h"
#include "agentprocess.h"
#include "controlports.h"
#include "decisionthread.h"
#include "nodebase.h"

#include <lagoonroute/http/upstreamgateway.h>

namespace lagoonroute
{

namespace
{

/** Adapters of an agent. */
class AgentPorts
{
public:
    AgentPorts(const Settings &settings, NodeBase &base, const std::shared_ptr<SharedStore> &store, WakeSignal &signal)
        : m_control(settings, base.incarnation(), store, signal)
        , m_upstream(HttpServer::Options().withAddress(settings.http), base.pages(), signal)
    {
    }

    template <typename Consumer>
    void drain(Consumer &&consume)
    {
        m_control.drain<AgentEvent>(consume);
        m_upstream.drain([&consume](AgentEvent &&event) { consume(AgentProcess::Event(std::move(event))); });
    }

    void perform(AgentProcess::Action &&action)
    {
        if (auto *control = std::get_if<ControlAction>(&action)) {
            m_control.perform(std::move(*control));
        } else {
            performAgentAction(std::get<AgentAction>(std::move(action)));
        }
    }

    [[nodiscard]] NodeAddress peerAddress() const
    {
        return m_control.peerAddress();
    }

    [[nodiscard]] NodeAddress httpAddress() const
    {
        return m_upstream.address();
    }

private:
    void performAgentAction(AgentAction &&action)
    {
        if (auto *send = std::get_if<SendMessage>(&action)) {
            m_control.send(std::move(*send));
        } else if (auto *call = std::get_if<CallUpstream>(&action)) {
            m_upstream.call(std::move(*call));
        } else if (const auto *stop = std::get_if<StopUpstreamTask>(&action)) {
            m_upstream.stop(*stop);
        }
    }

    ControlPorts m_control;
    UpstreamGateway m_upstream;
};

} // namespace

class AgentNode::Implementation
{
public:
    Implementation(const Settings &settings, const std::shared_ptr<SharedStore> &store)
        : m_base(settings.node)
        , m_observer(m_base.metrics(), m_base.status())
        , m_core(controlOptionsOf(settings, NodeRole::Agent, m_base.incarnation(), usesStore(settings, store)), settings.offerLifetime)
        , m_ports(settings, m_base, store, m_signal)
        , m_thread(m_core, m_ports, m_observer, m_signal)
    {
        m_thread.inject(AgentEvent(WallClockRead{ wallNow() }));
        for (const auto &[name, rules] : settings.services) {
            m_thread.inject(AgentEvent(RulesChanged{ rules }));
        }
        for (const ViewSetting &setting : settings.views) {
            const ShardView view = setting.view();
            m_thread.inject(AgentEvent(ViewChanged{ view }));
            // Views of the settings never change, so no other home can replace this one.
            m_thread.inject(AgentEvent(StartsAllowed{ view.key }));
        }
        m_thread.inject(ControlEvent(ContactsUpdated{ settings.contacts }));
        m_thread.start();
    }

    [[nodiscard]] NodeBase &base()
    {
        return m_base;
    }

    [[nodiscard]] bool isReady() const
    {
        return m_thread.isReady();
    }

    void withdraw()
    {
        m_thread.inject(ControlEvent(LeaveRequested{}));
        m_thread.inject(ControlEvent(DrainRequested{}));
    }

    void leave()
    {
        m_thread.inject(ControlEvent(LeaveCompleted{}));
    }

    void drain()
    {
        m_thread.inject(AgentEvent(StopRequested{}));
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
    NodeBase m_base;
    WakeSignal m_signal;
    AgentObserver m_observer;
    AgentProcess m_core;
    AgentPorts m_ports;
    DecisionThread<AgentProcess, AgentPorts, AgentObserver> m_thread;
};

AgentNode::AgentNode(const Settings &settings, const std::shared_ptr<SharedStore> &store)
    : m_implementation(std::make_unique<Implementation>(settings, store))
{
}

AgentNode::~AgentNode() = default;

void AgentNode::setReady(bool ready)
{
    m_implementation->base().status().setReady(ready);
}

bool AgentNode::isReady() const
{
    return m_implementation->isReady();
}

void AgentNode::withdraw()
{
    m_implementation->withdraw();
}

void AgentNode::leave()
{
    m_implementation->leave();
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
