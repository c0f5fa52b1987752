#pragma once

#include <lagoonroute/app/settings.h>
#include <lagoonroute/control/controlcore.h>
#include <lagoonroute/transport/gossiptransport.h>
#include <lagoonroute/transport/peertransport.h>

#include <optional>
#include <utility>
#include <variant>

namespace lagoonroute
{

/** Adapters that an entry and an agent have in common: messages to peers, gossip and the platform's store. */
class ControlPorts
{
public:
    /** Opens the sockets; `signal` is notified of every event. Throws NetworkError when an address is taken. */
    ControlPorts(const Settings &settings, Incarnation incarnation, WakeSignal &signal);

    /** Passes what has arrived to `consume` as events of the process. */
    template <typename DispatchEvent, typename Consumer>
    void drain(Consumer &&consume)
    {
        using Event = std::variant<DispatchEvent, ControlEvent>;
        m_peers.drain([&consume](PeerEvent &&event) {
            if (auto *received = std::get_if<MessageReceived>(&event)) {
                consume(Event(DispatchEvent(std::move(*received))));
            } else {
                consume(Event(DispatchEvent(std::get<ConnectionLost>(event))));
            }
        });
        m_gossip.drain([&consume](DatagramReceived &&datagram) { consume(Event(ControlEvent(std::move(datagram)))); });
    }

    /** Carries out an action of the ControlCore. */
    void perform(ControlAction &&action);

    /** Sends a message to a peer. */
    void send(SendMessage &&message);

    /** Address at which other processes reach this one. */
    [[nodiscard]] NodeAddress peerAddress() const;

private:
    PeerTransport m_peers;
    GossipTransport m_gossip;
};

/** Returns the options of the ControlCore of one life of the process. */
ControlCore::Options controlOptionsOf(const Settings &settings, NodeRole role, Incarnation incarnation);

} // namespace lagoonroute
