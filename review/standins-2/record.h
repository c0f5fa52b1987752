#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review
{

using Clock = std::chrono::steady_clock;

/** Log of what was sent, answered and run. Each line begins with the milliseconds since the record was opened. */
class Record
{
public:
    explicit Record(const std::string &path);

    /** Appends a line. Callable from any thread. */
    void write(const std::string &line);

    /** Milliseconds since the record was opened. */
    [[nodiscard]] std::int64_t now() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_begin = Clock::now();
};

} // namespace review
