#include "record.h"

namespace review
{

Record::Record(const std::string &path)
    : m_file(path)
{
}

std::int64_t Record::millis() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_begin).count();
}

void Record::write(const std::string &text)
{
    m_file << millis() << " ms  " << text << std::endl;
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    write(text);
}

void Record::runStarted(const std::string &task, std::int64_t run, const std::string &upstream)
{
    const std::lock_guard lock(m_mutex);
    write(upstream + " starts " + task + " run " + std::to_string(run));
    m_starts.push_back(TaskStart{ task, millis() });
    std::set<std::string> &places = m_running[task];
    for (const std::string &other : places) {
        write("TWO RUNS of " + task + ": at " + other + " and " + upstream);
        m_overlaps.push_back(Overlap{ task, other, upstream, millis() });
    }
    places.insert(upstream);
}

void Record::runEnded(const std::string &task, std::int64_t run, const std::string &upstream, const std::string &how)
{
    const std::lock_guard lock(m_mutex);
    write(upstream + " ends " + task + " run " + std::to_string(run) + ": " + how);
    m_running[task].erase(upstream);
}

std::vector<Overlap> Record::overlaps() const
{
    const std::lock_guard lock(m_mutex);
    return m_overlaps;
}

std::vector<TaskStart> Record::starts() const
{
    const std::lock_guard lock(m_mutex);
    return m_starts;
}

} // namespace review
