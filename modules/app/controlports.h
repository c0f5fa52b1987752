#pragma once

#include <lagoonroute/app/settings.h>
#include <lagoonroute/control/controlcore.h>
#include <lagoonroute/http/httpstore.h>
#include <lagoonroute/store/memorystore.h>
#include <lagoonroute/transport/gossiptransport.h>
#include <lagoonroute/transport/peertransport.h>

#include <memory>
#include <utility>
#include <variant>

namespace lagoonroute
{

/** Adapters that entries and agents share: messages to peers, gossip and the platform's store. */
class ControlPorts
{
public:
    /** Opens the sockets; `signal` is notified of every event. Throws NetworkError when an address is already in use. */
    ControlPorts(const Settings &settings, Incarnation incarnation, const std::shared_ptr<SharedStore> &store, WakeSignal &signal);

    /** Passes all received messages, datagrams and store replies to `consume` as events of the process. */
    template <typename DispatchEvent, typename Consumer>
    void drain(Consumer &&consume)
    {
        using Event = std::variant<DispatchEvent, ControlEvent>;
        m_peers.drain([&consume](PeerEvent &&event) {
            if (auto *received = std::get_if<MessageReceived>(&event)) {
                consume(Event(DispatchEvent(std::move(*received))));
            } else if (auto *message = std::get_if<ConfigurationMessageReceived>(&event)) {
                consume(Event(ControlEvent(std::move(*message))));
            } else {
                consume(Event(DispatchEvent(std::get<ConnectionLost>(event))));
            }
        });
        m_gossip.drain([&consume](DatagramReceived &&datagram) { consume(Event(ControlEvent(std::move(datagram)))); });
        const auto consumeReply = [&consume](StoreReply &&reply) { consume(Event(ControlEvent(std::move(reply)))); };
        if (m_memoryStore) {
            m_memoryStore->drain(consumeReply);
        }
        if (m_httpStore) {
            m_httpStore->drain(consumeReply);
        }
    }

    /** Sends a call to the platform's store. Returns false without sending anything when no store is available. */
    bool callStore(StoreCall &&call);

    /** Performs an action of the ControlCore. */
    void perform(ControlAction &&action);

    /** Sends a message to a peer. */
    void send(SendMessage &&message);

    /** Returns the address at which other processes reach this one. */
    [[nodiscard]] NodeAddress peerAddress() const;

private:
    PeerTransport m_peers;
    GossipTransport m_gossip;
    std::unique_ptr<MemoryStore> m_memoryStore;
    std::unique_ptr<HttpStore> m_httpStore;
};

/** Returns whether the process uses a store, either `store` or the one named in the settings. */
bool usesStore(const Settings &settings, const std::shared_ptr<SharedStore> &store);

/** Returns the options of the ControlCore for one incarnation of the process. */
ControlCore::Options controlOptionsOf(const Settings &settings, NodeRole role, Incarnation incarnation, bool usesStore);

} // namespace lagoonroute
