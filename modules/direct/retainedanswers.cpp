#include <lagoonroute/direct/retainedanswers.h>

#include <utility>

namespace lagoonroute
{

RetainedAnswers::RetainedAnswers(Options options)
    : m_options(options)
{
}

const RetainedAnswers::Answer *RetainedAnswers::find(const std::string &job, Instant now) const
{
    const auto kept = m_answers.find(job);
    return kept != m_answers.end() && now < kept->second.until ? &kept->second : nullptr;
}

void RetainedAnswers::retain(const std::string &job, std::optional<DirectAnswer> answer, Instant now)
{
    while (!m_order.empty()
           && (m_answers[m_order.front()].until <= now || m_order.size() >= m_options.maxCount || m_idBytes + job.size() > m_options.maxIdBytes)) {
        m_idBytes -= m_order.front().size();
        m_answers.erase(m_order.front());
        m_order.pop_front();
    }
    if (m_answers.insert_or_assign(job, Answer{ std::move(answer), now + m_options.retention }).second) {
        m_order.push_back(job);
        m_idBytes += job.size();
    }
}

} // namespace lagoonroute
