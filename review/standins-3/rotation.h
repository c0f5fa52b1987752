#pragma once

#include "deployment.h"

#include <atomic>
#include <cstdint>
#include <thread>

namespace standins
{

/** The platform's view of front-1: GET /api/ready once a second; out of rotation after two misses, in again after a 200. */
class Rotation
{
public:
    Rotation(const Deployment &deployment, std::int64_t firstCheck)
        : m_thread([this, &deployment, firstCheck] { check(deployment, firstCheck); })
    {
    }

    ~Rotation()
    {
        m_isOver = true;
        m_thread.join();
    }

    Rotation(const Rotation &) = delete;
    Rotation &operator=(const Rotation &) = delete;

    [[nodiscard]] bool isIn() const
    {
        return m_isIn;
    }

private:
    void check(const Deployment &deployment, std::int64_t firstCheck)
    {
        int misses = 0;
        for (std::int64_t due = firstCheck; !m_isOver; due += 1000) {
            sleepUntil(due);
            const bool isReady = deployment.isReady(0);
            misses = isReady ? 0 : misses + 1;
            m_isIn = isReady || (m_isIn && misses < 2);
        }
    }

    std::atomic<bool> m_isOver = false;
    std::atomic<bool> m_isIn = true;
    std::thread m_thread;
};

} // namespace standins
