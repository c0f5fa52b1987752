#include <lagoonroute/app/entrynode.h>

#include "decisionthread.h"

#include <lagoonroute/dispatch/entrycore.h>
#include <lagoonroute/http/entryapi.h>
#include <lagoonroute/transport/peertransport.h>

#include <chrono>

namespace lagoonroute
{

namespace
{

/** Adapters of an entry. */
class EntryPorts
{
public:
    EntryPorts(const Settings &settings, Incarnation incarnation, WakeSignal &signal)
        : m_peers(PeerTransport::Options().withSelf(NodeId::fromName(settings.node), incarnation).withAddress(settings.peer), signal)
        , m_callers(HttpServer::Options().withAddress(settings.http), signal)
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

    [[nodiscard]] NodeAddress httpAddress() const
    {
        return m_callers.address();
    }

private:
    PeerTransport m_peers;
    EntryApi m_callers;
};

Incarnation incarnationOfNow()
{
    return static_cast<Incarnation>(std::chrono::system_clock::now().time_since_epoch().count());
}

} // namespace

class EntryNode::Implementation
{
public:
    explicit Implementation(const Settings &settings)
        : Implementation(settings, incarnationOfNow())
    {
    }

    [[nodiscard]] const EntryPorts &ports() const
    {
        return m_ports;
    }

private:
    Implementation(const Settings &settings, Incarnation incarnation)
        : m_core(NodeId::fromName(settings.node), incarnation)
        , m_ports(settings, incarnation, m_signal)
        , m_thread(m_core, m_ports, m_signal)
    {
        for (const ServiceRules &rules : settings.services) {
            m_thread.inject(RulesChanged{ rules });
        }
        for (const ShardView &view : settings.views) {
            m_thread.inject(ViewChanged{ view });
        }
        m_thread.start();
    }

    WakeSignal m_signal;
    EntryCore m_core;
    EntryPorts m_ports;
    DecisionThread<EntryCore, EntryEvent, EntryAction, EntryPorts> m_thread;
};

EntryNode::EntryNode(const Settings &settings)
    : m_implementation(std::make_unique<Implementation>(settings))
{
}

EntryNode::~EntryNode() = default;

NodeAddress EntryNode::peerAddress() const
{
    return m_implementation->ports().peerAddress();
}

NodeAddress EntryNode::httpAddress() const
{
    return m_implementation->ports().httpAddress();
}

} // namespace lagoonroute
