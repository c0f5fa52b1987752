#pragma once

#include <lagoonroute/membership/membershipcore.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lagoonroute
{

/** Faults of the network between the processes of a Cell. */
struct NetworkFaults
{
    double loss = 0;
    double duplication = 0;
    Duration delay = std::chrono::milliseconds(1);
    Duration jitter = std::chrono::milliseconds(1); /**< Upper bound of a random addition to the delay of each datagram, which reorders datagrams. */
    std::function<bool(const NodeAddress &from, const NodeAddress &to)> isCut = [](const auto &, const auto &) { return false; };
};

/** Several MembershipCores in virtual time on a simulated network with faults. */
class Cell
{
public:
    struct Process
    {
        Member self;
        std::unique_ptr<MembershipCore> core;
        bool paused = false;
        std::map<NodeId, Member> reportedMembers; /**< Built from the reported actions. */
        std::vector<MembershipAction> reportedActions; /**< All actions except datagrams. */
    };

    explicit Cell(std::uint64_t seed)
        : m_random(seed)
    {
    }

    NetworkFaults faults;
    Duration detection{ 0 }; /**< Time within which every process declares a failed member dead. */

    static Member describe(std::size_t index, Incarnation incarnation = 1)
    {
        const std::string name = "agent-" + std::to_string(index);
        Member member{ .id = NodeId::fromName(name), .name = name, .incarnation = incarnation };
        member.address = { "10.0.0." + std::to_string(index), 4000 };
        member.zone = "zone-" + std::to_string(index % 3);
        member.rack = "rack-" + std::to_string(index / 3);
        member.offers.push_back({ "booking", 8, 64, {} });
        return member;
    }

    /** Starts a process with process 0 as its contact. */
    void start(const Member &self)
    {
        Process &process = m_processes[self.address];
        process = Process{ .self = self };
        const auto options = MembershipCore::Options().withSelf(self).withSeed(m_random());
        process.core = std::make_unique<MembershipCore>(options);
        inject(self.address, ContactsUpdated{ { describe(0).address } });
    }

    void startMany(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            start(describe(index));
        }
        detection = detectionBound(MembershipCore::Options(), count);
    }

    void kill(std::size_t index)
    {
        m_processes.erase(describe(index).address);
    }

    Process &process(std::size_t index)
    {
        return m_processes.at(describe(index).address);
    }

    std::map<NodeAddress, Process> &processes()
    {
        return m_processes;
    }

    void inject(const NodeAddress &address, const MembershipEvent &event)
    {
        std::vector<MembershipAction> actions;
        Process &process = m_processes.at(address);
        process.core->handle(event, m_now, actions);
        for (MembershipAction &action : actions) {
            perform(process, action);
        }
    }

    void run(Duration time)
    {
        const Instant end = m_now + time;
        for (;;) {
            const Instant next = nextInstant();
            if (next > end) {
                break;
            }
            m_now = std::max(m_now, next);
            step();
        }
        m_now = end;
    }

    /** Returns whether every other running process reports the member with the given status; an unknown member counts as Dead. */
    bool allAgree(NodeId id, MemberStatus status)
    {
        for (const auto &[address, process] : m_processes) {
            if (process.self.id == id || process.paused) {
                continue;
            }
            const auto known = process.reportedMembers.find(id);
            const MemberStatus reportedStatus = known == process.reportedMembers.end() ? MemberStatus::Dead : known->second.status;
            if (reportedStatus != status) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether no other process, paused or not, reports the member with the given status. */
    bool noneReports(NodeId id, MemberStatus status)
    {
        return std::none_of(m_processes.begin(), m_processes.end(), [&](const auto &entry) {
            const auto known = entry.second.reportedMembers.find(id);
            return entry.second.self.id != id && known != entry.second.reportedMembers.end() && known->second.status == status;
        });
    }

    /** Returns whether every process reports as many alive members as there are other processes. */
    bool isComplete()
    {
        for (const auto &[address, process] : m_processes) {
            std::size_t alive = 0;
            for (const auto &[id, member] : process.reportedMembers) {
                alive += member.status == MemberStatus::Alive ? 1 : 0;
            }
            if (alive != m_processes.size() - 1) {
                return false;
            }
        }
        return true;
    }

    [[nodiscard]] Instant now() const
    {
        return m_now;
    }

    std::uint64_t largestDatagram = 0;

    /** Hooks for further cores in each process: receive a report of MembershipCore, return the next wake time, do the due work. */
    std::function<void(const NodeAddress &, const MembershipAction &)> onReport = [](const auto &, const auto &) {};
    std::function<Instant()> nextOther = [] { return Instant::max(); };
    std::function<void()> stepOther = [] {};

private:
    struct InFlight
    {
        NodeAddress from;
        SendDatagram datagram;
    };

    double draw()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    void perform(Process &process, MembershipAction &action)
    {
        if (auto *datagram = std::get_if<SendDatagram>(&action)) {
            largestDatagram = std::max<std::uint64_t>(largestDatagram, encodedSize(datagram->message));
            post(process.self.address, std::move(*datagram));
            return;
        }
        if (const auto *changed = std::get_if<MemberChanged>(&action)) {
            process.reportedMembers[changed->member.id] = changed->member;
        }
        if (const auto *gone = std::get_if<MemberGone>(&action)) {
            process.reportedMembers.erase(gone->member.id);
        }
        onReport(process.self.address, action);
        process.reportedActions.push_back(std::move(action));
    }

    void post(const NodeAddress &from, SendDatagram &&datagram)
    {
        const int copies = draw() < faults.duplication ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (draw() < faults.loss || faults.isCut(from, datagram.to)) {
                continue;
            }
            const auto jitter = Duration(static_cast<Duration::rep>(draw() * static_cast<double>(faults.jitter.count())));
            m_network.emplace(m_now + faults.delay + jitter, InFlight{ from, datagram });
        }
    }

    Instant nextInstant()
    {
        Instant next = nextOther();
        if (!m_network.empty()) {
            next = m_network.begin()->first;
        }
        for (const auto &[address, process] : m_processes) {
            if (!process.paused) {
                next = std::min(next, process.core->nextWake().value_or(Instant::max()));
            }
        }
        return next;
    }

    void step()
    {
        while (!m_network.empty() && m_network.begin()->first <= m_now) {
            const InFlight arrived = std::move(m_network.begin()->second);
            m_network.erase(m_network.begin());
            const auto target = m_processes.find(arrived.datagram.to);
            if (target != m_processes.end() && !target->second.paused) {
                inject(target->first, DatagramReceived{ arrived.from, arrived.datagram.message });
            }
        }
        for (const auto &[address, process] : m_processes) {
            if (!process.paused && process.core->nextWake().value_or(Instant::max()) <= m_now) {
                inject(address, TimeElapsed{});
            }
        }
        stepOther();
    }

    std::mt19937_64 m_random;
    Instant m_now{ std::chrono::seconds(1000) };
    std::map<NodeAddress, Process> m_processes;
    std::multimap<Instant, InFlight> m_network;
};

} // namespace lagoonroute
