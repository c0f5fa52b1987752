#include "submitstep.h"

#include <lagoonroute/base/errors.h>

#include <utility>

namespace lagoonroute
{

namespace
{

std::optional<StoredConfiguration> parse(const std::string &value)
{
    try {
        return StoredConfiguration::fromText(value);
    } catch (const InvalidDocument &) {
        return std::nullopt;
    }
}

} // namespace

SubmitStep::SubmitStep(SubmitRequest request)
    : m_request(std::move(request))
{
    readCurrent();
}

bool SubmitStep::updateCurrent(const StoreReply &reply)
{
    m_version = reply.entry.version;
    m_current.reset();
    if (reply.status == StoreStatus::NotFound || reply.entry.version == 0) {
        return true;
    }
    m_current = parse(reply.entry.value);
    return m_current.has_value();
}

bool SubmitStep::isReviewedCurrent() const
{
    return (m_current ? m_current->revision() : 0) == m_request.reviewed;
}

bool SubmitStep::isAccepted() const
{
    return m_current && m_current->markOf(m_request.reviewed + 1) == m_request.mark;
}

bool SubmitStep::isOutcomeUnknown() const
{
    return m_current && m_current->revision() > m_request.reviewed && m_current->markOf(m_request.reviewed + 1).empty();
}

bool SubmitStep::isPredecessorStored(const StoreReply &reply) const
{
    const std::optional<StoredConfiguration> stored = parse(reply.entry.value);
    return stored && stored->revision() >= m_current->revision();
}

void SubmitStep::updateReviewed(const StoreReply &reply)
{
    m_reviewed = parse(reply.entry.value);
    if (m_reviewed && m_reviewed->revision() != m_request.reviewed) {
        m_reviewed.reset();
    }
}

void SubmitStep::readCurrent()
{
    operation = StoreRead{ std::string(configurationKey) };
}

void SubmitStep::readReviewed()
{
    operation = StoreRead{ historyKey(m_request.reviewed) };
}

void SubmitStep::storePredecessor(StoreVersion expected)
{
    operation = StoreSwap{ historyKey(m_current->revision()), m_current->toText(), expected };
}

void SubmitStep::swap()
{
    const AuditRecord audit{ .author = m_request.author, .reason = m_request.reason, .time = m_request.time, .mark = m_request.mark };
    const StoredConfiguration next = succeeding(m_current ? &*m_current : nullptr, m_request.configuration, audit);
    std::string value = next.toText();
    if (value.size() > maxStoreValueBytes) {
        finish(SubmitOutcome::TooLarge);
        return;
    }
    operation = StoreSwap{ std::string(configurationKey), std::move(value), m_version };
}

void SubmitStep::finish(SubmitOutcome outcome)
{
    result = SubmitResult{ outcome, outcome == SubmitOutcome::Accepted ? m_request.reviewed + 1 : 0, m_current, m_reviewed };
}

} // namespace lagoonroute
