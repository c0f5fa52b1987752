#include <lagoonroute/app/entrynode.h>

#include "decisionthread.h"
#include "entryobserver.h"
#include "nodebase.h"

#include <lagoonroute/dispatch/entrycore.h>
#include <lagoonroute/http/entryapi.h>
#include <lagoonroute/transport/peertransport.h>

namespace lagoonroute
{

namespace
{

/** Adapters of an entry. */
class EntryPorts
{
public:
    EntryPorts(const Settings &settings, Incarnation incarnation, const OperatorPages &pages, WakeSignal &signal)
        : m_peers(PeerTransport::Options().withSelf(NodeId::fromName(settings.node), incarnation).withAddress(settings.peer), signal)
        , m_callers(HttpServer::Options().withAddress(settings.http), pages, signal)
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
                consume(EntryEvent(std::move(*received)));
            } else {
                consume(EntryEvent(std::get<ConnectionLost>(event)));
            }
        });
        m_callers.drain(consume);
    }

    void perform(EntryAction &&action)
    {
        if (auto *send = std::get_if<SendMessage>(&action)) {
            m_peers.send(send->to, std::move(send->message));
        } else if (auto *answer = std::get_if<AnswerCaller>(&action)) {
            m_callers.answer(std::move(*answer));
        }
    }

    [[nodiscard]] NodeAddress peerAddress() const
    {
        return m_peers.address();
    }

    [[nodiscard]] EntryApi &callers()
    {
        return m_callers;
    }

    [[nodiscard]] const EntryApi &callers() const
    {
        return m_callers;
    }

    [[nodiscard]] NodeAddress httpAddress() const
    {
        return m_callers.address();
    }

private:
    PeerTransport m_peers;
    EntryApi m_callers;
};

} // namespace

class EntryNode::Implementation
{
public:
    explicit Implementation(const Settings &settings)
        : m_base(settings.node)
        , m_observer(m_base.metrics())
        , m_core(NodeId::fromName(settings.node), m_base.incarnation())
        , m_ports(settings, m_base.incarnation(), m_base.pages(), m_signal)
        , m_thread(m_core, m_ports, m_observer, m_signal)
    {
        for (const ServiceRules &rules : settings.services) {
            m_ports.callers().setRules(rules);
            m_thread.inject(RulesChanged{ rules });
        }
        for (const ShardView &view : settings.views) {
            m_thread.inject(ViewChanged{ view });
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
        m_ports.callers().closeAfterResponses();
    }

    [[nodiscard]] bool isDrained() const
    {
        return m_thread.isDrained() && m_ports.callers().busy() == 0;
    }

    [[nodiscard]] const EntryPorts &ports() const
    {
        return m_ports;
    }

private:
    NodeBase m_base;
    WakeSignal m_signal;
    EntryObserver m_observer;
    EntryCore m_core;
    EntryPorts m_ports;
    DecisionThread<EntryCore, EntryEvent, EntryAction, EntryPorts, EntryObserver> m_thread;
};

EntryNode::EntryNode(const Settings &settings)
    : m_implementation(std::make_unique<Implementation>(settings))
{
}

EntryNode::~EntryNode() = default;

void EntryNode::setReady(bool ready)
{
    m_implementation->base().status().setReady(ready);
}

void EntryNode::drain()
{
    m_implementation->drain();
}

bool EntryNode::isDrained() const
{
    return m_implementation->isDrained();
}

NodeAddress EntryNode::peerAddress() const
{
    return m_implementation->ports().peerAddress();
}

NodeAddress EntryNode::httpAddress() const
{
    return m_implementation->ports().httpAddress();
}

} // namespace lagoonroute
