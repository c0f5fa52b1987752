#include "record.h"

namespace review
{

Record::Record(const std::string &path)
    : m_file(path)
{
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    m_file << now() << " ms  " << line << std::endl;
}

std::int64_t Record::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_begin).count();
}

} // namespace review
