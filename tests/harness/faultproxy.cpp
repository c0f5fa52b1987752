#include "faultproxy.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <future>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <thread>
#include <utility>

namespace lagoonroute::harness
{

namespace
{

using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t chunkBytes = 64U << 10U;

/** Runs the function after the delay; immediately if the delay is zero. */
void runAfter(boost::asio::io_context &loop, Duration delay, std::function<void()> function)
{
    if (delay == Duration::zero()) {
        function();
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(loop, delay);
    timer->async_wait([timer, function = std::move(function)](const ErrorCode &) { function(); });
}

/** A TCP connection through the proxy. */
class Relay : public std::enable_shared_from_this<Relay>
{
public:
    Relay(boost::asio::io_context &loop, const Faults &faults, tcp::socket client)
        : m_loop(loop)
        , m_faults(faults)
        , m_client(std::move(client))
        , m_server(loop)
    {
    }

    void start(const tcp::endpoint &target)
    {
        m_server.async_connect(target, [self = shared_from_this()](const ErrorCode &error) {
            if (error) {
                self->close();
                return;
            }
            ErrorCode ignored;
            self->m_client.set_option(tcp::no_delay(true), ignored);
            self->m_server.set_option(tcp::no_delay(true), ignored);
            self->pump(self->m_client, self->m_server, self->m_toServer, false);
            self->pump(self->m_server, self->m_client, self->m_toClient, true);
        });
    }

    void close()
    {
        ErrorCode ignored;
        m_client.close(ignored);
        m_server.close(ignored);
    }

    void reset()
    {
        ErrorCode ignored;
        m_client.set_option(tcp::socket::linger(true, 0), ignored);
        close();
    }

private:
    using Buffer = std::array<char, chunkBytes>;

    void pump(tcp::socket &from, tcp::socket &to, Buffer &buffer, bool isAnswer)
    {
        from.async_read_some(boost::asio::buffer(buffer), [&, isAnswer, self = shared_from_this()](const ErrorCode &error, std::size_t size) {
            if (error) {
                close();
                return;
            }
            if (m_faults.halfOpen) {
                pump(from, to, buffer, isAnswer);
                return;
            }
            const bool loses = isAnswer && m_faults.answersLost;
            const std::size_t passed = loses ? std::min(size, m_faults.answerBytes) : size;
            runAfter(m_loop, m_faults.delay, [&, self, isAnswer, loses, passed] {
                boost::asio::async_write(to, boost::asio::buffer(buffer, passed), [&, self, isAnswer, loses](const ErrorCode &writeError, std::size_t) {
                    if (writeError || loses) {
                        close();
                        return;
                    }
                    pump(from, to, buffer, isAnswer);
                });
            });
        });
    }

    boost::asio::io_context &m_loop;
    const Faults &m_faults;
    tcp::socket m_client;
    tcp::socket m_server;
    Buffer m_toServer{};
    Buffer m_toClient{};
};

} // namespace

class FaultProxy::Implementation
{
public:
    Implementation(const std::string &ip, const NodeAddress &target, std::uint64_t seed, std::uint16_t port)
        : m_random(seed)
        , m_target(boost::asio::ip::make_address(target.ip), target.port)
        , m_acceptor(m_loop, tcp::endpoint(boost::asio::ip::make_address(ip), port))
        , m_endpoint(m_acceptor.local_endpoint())
        , m_datagrams(m_loop, udp::endpoint(m_endpoint.address(), m_endpoint.port()))
    {
        accept();
        receive();
        m_thread = std::thread([this] { m_loop.run(); });
    }

    ~Implementation()
    {
        m_loop.stop();
        m_thread.join();
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    [[nodiscard]] NodeAddress address() const
    {
        return { m_endpoint.address().to_string(), m_endpoint.port() };
    }

    void setFaults(const Faults &faults)
    {
        std::promise<void> done;
        boost::asio::post(m_loop, [&] {
            m_faults = faults;
            if (faults.cut || faults.refused) {
                for (const auto &relay : std::exchange(m_relays, {})) {
                    if (const auto open = relay.lock()) {
                        faults.refused ? open->reset() : open->close();
                    }
                }
            }
            if (faults.refused == m_acceptor.is_open()) {
                faults.refused ? m_acceptor.close() : listenAgain();
            }
            done.set_value();
        });
        done.get_future().wait();
    }

private:
    /** UDP session between one sender and the target. */
    struct Session
    {
        udp::socket socket;
        udp::endpoint sender;
        std::array<char, chunkBytes> buffer{};
    };

    struct Datagram
    {
        std::shared_ptr<Session> from;
        std::string content;
    };

    void listenAgain()
    {
        m_acceptor = tcp::acceptor(m_loop, m_endpoint, true);
        accept();
    }

    void accept()
    {
        m_acceptor.async_accept([this](const ErrorCode &error, tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            if (!error && !m_faults.cut) {
                const auto relay = std::make_shared<Relay>(m_loop, m_faults, std::move(socket));
                m_relays.insert(relay);
                relay->start(m_target);
            }
            accept();
        });
    }

    void receive()
    {
        m_datagrams.async_receive_from(boost::asio::buffer(m_buffer), m_sender, [this](const ErrorCode &error, std::size_t size) {
            if (!error) {
                pass(Datagram{ sessionOf(m_sender), std::string(m_buffer.data(), size) });
            }
            receive();
        });
    }

    /** Returns the session of the sender. Creates it, with its own socket for the target's replies, if there is none yet. */
    std::shared_ptr<Session> sessionOf(const udp::endpoint &sender)
    {
        std::shared_ptr<Session> &session = m_sessions[sender];
        if (!session) {
            session = std::make_shared<Session>(Session{ udp::socket(m_loop, udp::endpoint(m_datagrams.local_endpoint().address(), 0)), sender });
            receiveReply(session);
        }
        return session;
    }

    void receiveReply(const std::shared_ptr<Session> &session)
    {
        session->socket.async_receive(boost::asio::buffer(session->buffer), [this, session](const ErrorCode &error, std::size_t size) {
            if (!error && !m_faults.cut && !m_faults.halfOpen) {
                ErrorCode ignored;
                m_datagrams.send_to(boost::asio::buffer(session->buffer, size), session->sender, 0, ignored);
            }
            receiveReply(session);
        });
    }

    void pass(Datagram datagram)
    {
        const auto draw = [this] { return std::uniform_real_distribution<double>(0, 1)(m_random); };
        const NodeAddress sender{ datagram.from->sender.address().to_string(), datagram.from->sender.port() };
        const bool isBlocked = std::find(m_faults.blockedSenders.begin(), m_faults.blockedSenders.end(), sender) != m_faults.blockedSenders.end();
        if (isBlocked || m_faults.cut || m_faults.halfOpen || draw() < m_faults.datagramLoss) {
            return;
        }
        if (!m_held && draw() < m_faults.datagramReorder) {
            m_held = std::move(datagram);
            return;
        }
        forward(std::move(datagram));
        if (m_held) {
            forward(*std::exchange(m_held, std::nullopt));
        }
    }

    void forward(Datagram datagram)
    {
        runAfter(m_loop, m_faults.delay, [this, datagram = std::move(datagram)] {
            ErrorCode ignored;
            datagram.from->socket.send_to(boost::asio::buffer(datagram.content), udp::endpoint(m_target.address(), m_target.port()), 0, ignored);
        });
    }

    Faults m_faults;
    std::mt19937_64 m_random;
    tcp::endpoint m_target;
    boost::asio::io_context m_loop{ 1 };
    tcp::acceptor m_acceptor;
    tcp::endpoint m_endpoint;
    udp::socket m_datagrams;
    udp::endpoint m_sender;
    std::array<char, chunkBytes> m_buffer{};
    std::optional<Datagram> m_held;
    std::map<udp::endpoint, std::shared_ptr<Session>> m_sessions;
    std::set<std::weak_ptr<Relay>, std::owner_less<std::weak_ptr<Relay>>> m_relays;
    std::thread m_thread;
};

FaultProxy::FaultProxy(const std::string &ip, const NodeAddress &target, std::uint64_t seed, std::uint16_t port)
    : m_implementation(std::make_unique<Implementation>(ip, target, seed, port))
{
}

FaultProxy::~FaultProxy() = default;

NodeAddress FaultProxy::address() const
{
    return m_implementation->address();
}

void FaultProxy::setFaults(const Faults &faults)
{
    m_implementation->setFaults(faults);
}

} // namespace lagoonroute::harness
