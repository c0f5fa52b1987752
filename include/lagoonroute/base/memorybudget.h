#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace lagoonroute
{

/**
 * Memory that a process grants to what clients make it hold: requests that are being read or handled, and open jobs.
 *
 * Used on one thread.
 */
class MemoryBudget
{
public:
    /** Creates a budget of `limit` bytes. */
    explicit MemoryBudget(std::size_t limit)
        : m_limit(limit)
    {
    }

    [[nodiscard]] std::size_t limit() const noexcept
    {
        return m_limit;
    }

    /** Number of reserved bytes. */
    [[nodiscard]] std::size_t used() const noexcept
    {
        return m_used;
    }

    /** Returns whether `bytes` more are free. */
    [[nodiscard]] bool hasRoom(std::size_t bytes) const noexcept
    {
        return m_used <= m_limit && bytes <= m_limit - m_used;
    }

private:
    friend class MemoryReservation;

    std::size_t m_limit;
    std::size_t m_used = 0;
};

/** Bytes of a budget, given back on destruction. Without a budget, every size is granted. */
class MemoryReservation
{
public:
    MemoryReservation() = default;

    explicit MemoryReservation(std::shared_ptr<MemoryBudget> budget)
        : m_budget(std::move(budget))
    {
    }

    MemoryReservation(MemoryReservation &&other) noexcept
        : m_budget(std::move(other.m_budget))
        , m_bytes(std::exchange(other.m_bytes, 0))
    {
    }

    MemoryReservation &operator=(MemoryReservation &&other) noexcept
    {
        if (this != &other) {
            take(0);
            m_budget = std::move(other.m_budget);
            m_bytes = std::exchange(other.m_bytes, 0);
        }
        return *this;
    }

    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;

    ~MemoryReservation()
    {
        take(0);
    }

    [[nodiscard]] std::size_t bytes() const noexcept
    {
        return m_bytes;
    }

    /** Changes the size. Returns false, without a change, if the budget has no room for the growth. */
    [[nodiscard]] bool resize(std::size_t bytes)
    {
        const bool isGranted = !m_budget || bytes <= m_bytes || m_budget->hasRoom(bytes - m_bytes);
        if (isGranted) {
            take(bytes);
        }
        return isGranted;
    }

    /** Changes the size also if that exceeds the budget, for what cannot be refused any more. */
    void take(std::size_t bytes) noexcept
    {
        if (m_budget) {
            m_budget->m_used = m_budget->m_used - m_bytes + bytes;
        }
        m_bytes = bytes;
    }

private:
    std::shared_ptr<MemoryBudget> m_budget;
    std::size_t m_bytes = 0;
};

} // namespace lagoonroute
