#pragma once

#include <lagoonroute/base/time.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <numeric>
#include <random>
#include <vector>

namespace lagoonroute
{

/**
 * Simulates one delivery through a tree with backup links, after T. Braun, V. Arya and T. Turletti, "Explicit Routing in
 * Multicast Overlay Networks", INRIA RR-5397, 2004, whose reduced tree leaves out a failed member and replaces its links.
 *
 * Every member has the whole tree, sends the document to its children and waits for their acknowledgments. When a child does
 * not acknowledge within the timeout, the member uses the backup links, which lead to that child's children.
 */
class DeliveryTree
{
public:
    static constexpr Duration latency = std::chrono::milliseconds(1);
    static constexpr Duration storeLatency = std::chrono::milliseconds(3);
    static constexpr Duration acknowledgmentTimeout = std::chrono::milliseconds(200);
    static constexpr std::size_t fanout = 4;

    /** Delivers to the given number of members, of which `failed` randomly chosen ones have failed undetected. */
    DeliveryTree(std::size_t members, std::size_t failed, std::uint64_t seed)
        : m_hasFailed(members, false)
    {
        std::vector<std::size_t> order(members);
        std::iota(order.begin(), order.end(), 0);
        std::shuffle(order.begin(), order.end(), std::mt19937_64(seed));
        for (std::size_t index = 0; index < failed; ++index) {
            m_hasFailed[order[index]] = true;
        }
        deliver(0, storeLatency);
    }

    /** Delays from the acceptance of the document to its arrival, for the members that have not failed. */
    [[nodiscard]] const std::vector<Duration> &delays() const noexcept
    {
        return m_delays;
    }

    /** Number of documents and acknowledgments sent. */
    [[nodiscard]] std::uint64_t messages() const noexcept
    {
        return m_messages;
    }

private:
    void deliver(std::size_t member, Duration time)
    {
        if (!m_hasFailed[member]) {
            m_delays.push_back(time);
            m_messages += member == 0 ? 0 : 1; // Acknowledgment.
        }
        const Duration recoveryDelay = m_hasFailed[member] ? acknowledgmentTimeout : Duration::zero();
        for (std::size_t child = member * fanout + 1; child <= member * fanout + fanout && child < m_hasFailed.size(); ++child) {
            ++m_messages;
            deliver(child, time + latency + recoveryDelay - (m_hasFailed[member] ? latency : Duration::zero()));
        }
    }

    std::vector<bool> m_hasFailed;
    std::vector<Duration> m_delays;
    std::uint64_t m_messages = 0;
};

} // namespace lagoonroute
