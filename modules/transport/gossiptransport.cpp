#include <lagoonroute/transport/gossiptransport.h>

#include "loopsignal.h"

#include <lagoonroute/base/errors.h>
#include <lagoonroute/network/eventloop.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <utility>

namespace lagoonroute
{

namespace
{

using boost::asio::ip::udp;

constexpr std::size_t maxDatagramBytes = 65536;
constexpr std::chrono::milliseconds receiveRetryDelay{ 10 };

} // namespace

GossipTransport::Options GossipTransport::Options::withAddress(NodeAddress listenAddress) const
{
    Options changed = *this;
    changed.address = std::move(listenAddress);
    return changed;
}

class GossipTransport::Implementation
{
public:
    Implementation(const Options &options, WakeSignal &inboundSignal)
        : m_outboundSignal(m_loop.context(), [this] { sendQueued(); })
        , m_inbound(options.ringCapacity, inboundSignal)
        , m_outbound(options.ringCapacity, m_outboundSignal)
        , m_socket(m_loop.context())
        , m_retryTimer(m_loop.context())
    {
        open(options.address);
        receive();
        m_loop.start();
    }

    ~Implementation()
    {
        m_loop.stop();
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    [[nodiscard]] NodeAddress address() const
    {
        return m_address;
    }

    bool send(SendDatagram &&datagram)
    {
        return m_outbound.push(std::move(datagram));
    }

    BoundedRing<DatagramReceived> &inbound()
    {
        return m_inbound;
    }

    [[nodiscard]] GossipTransportCounts counts() const
    {
        return { m_received, m_malformed, m_overflowed, m_sent, m_notSent };
    }

private:
    void open(const NodeAddress &address)
    {
        try {
            const udp::endpoint endpoint(boost::asio::ip::make_address(address.ip), address.port);
            m_socket.open(endpoint.protocol());
            m_socket.bind(endpoint);
            m_socket.non_blocking(true);
            m_address = { address.ip, m_socket.local_endpoint().port() };
        } catch (const boost::system::system_error &error) {
            throw NetworkError("cannot open UDP socket on " + address.ip + ":" + std::to_string(address.port) + ": " + error.what());
        }
    }

    void receive()
    {
        m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_sender, [this](const boost::system::error_code &error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            if (error) {
                // For example an ICMP port-unreachable error caused by a datagram sent earlier.
                scheduleReceive();
                return;
            }
            accept(std::string_view(m_buffer.data(), size));
            receive();
        });
    }

    void scheduleReceive()
    {
        m_retryTimer.expires_after(receiveRetryDelay);
        m_retryTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                receive();
            }
        });
    }

    void accept(std::string_view bytes)
    {
        ++m_received;
        try {
            DatagramReceived datagram{ { m_sender.address().to_string(), m_sender.port() }, decodeGossip(bytes) };
            if (!m_inbound.push(std::move(datagram))) {
                ++m_overflowed;
            }
        } catch (const MalformedMessage &) {
            ++m_malformed;
        }
    }

    void sendQueued()
    {
        m_outbound.drain([this](SendDatagram &&datagram) {
            boost::system::error_code error;
            const auto ip = boost::asio::ip::make_address(datagram.to.ip, error);
            if (!error) {
                m_socket.send_to(boost::asio::buffer(encodeGossip(datagram.message)), udp::endpoint(ip, datagram.to.port), 0, error);
            }
            ++(error ? m_notSent : m_sent);
        });
    }

    EventLoop m_loop;
    LoopSignal m_outboundSignal;
    BoundedRing<DatagramReceived> m_inbound;
    BoundedRing<SendDatagram, LoopSignal> m_outbound;
    udp::socket m_socket;
    boost::asio::steady_timer m_retryTimer;
    udp::endpoint m_sender;
    std::array<char, maxDatagramBytes> m_buffer{};
    NodeAddress m_address;
    std::atomic<std::uint64_t> m_received = 0;
    std::atomic<std::uint64_t> m_malformed = 0;
    std::atomic<std::uint64_t> m_overflowed = 0;
    std::atomic<std::uint64_t> m_sent = 0;
    std::atomic<std::uint64_t> m_notSent = 0;
};

GossipTransport::GossipTransport(const Options &options, WakeSignal &inboundSignal)
    : m_implementation(std::make_unique<Implementation>(options, inboundSignal))
{
}

GossipTransport::~GossipTransport() = default;

NodeAddress GossipTransport::address() const
{
    return m_implementation->address();
}

bool GossipTransport::send(SendDatagram &&datagram)
{
    return m_implementation->send(std::move(datagram));
}

BoundedRing<DatagramReceived> &GossipTransport::inbound()
{
    return m_implementation->inbound();
}

GossipTransportCounts GossipTransport::counts() const
{
    return m_implementation->counts();
}

} // namespace lagoonroute
