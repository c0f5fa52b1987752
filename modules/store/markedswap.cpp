#include <lagoonroute/store/markedswap.h>

#include <utility>

namespace lagoonroute
{

std::string makeWriteMark(std::string_view writer, std::uint64_t incarnation, std::uint64_t sequence)
{
    return "@" + std::string(writer) + "/" + std::to_string(incarnation) + "/" + std::to_string(sequence) + ".";
}

MarkedSwap::MarkedSwap(StoreSwap swap, std::string mark)
    : m_swap(std::move(swap))
    , m_mark(std::move(mark))
{
}

StoreOperation MarkedSwap::nextCall() const
{
    if (m_mustRead) {
        return StoreRead{ m_swap.key };
    }
    return m_swap;
}

MarkedSwap::State MarkedSwap::handle(const StoreReply &reply)
{
    if (m_state != State::Swapping) {
        return m_state;
    }
    m_state = m_mustRead ? handleReadReply(reply) : handleSwapReply(reply);
    return m_state;
}

bool MarkedSwap::containsMark(const StoreEntry &entry) const
{
    return entry.value.find(m_mark) != std::string::npos;
}

MarkedSwap::State MarkedSwap::handleSwapReply(const StoreReply &reply)
{
    switch (reply.status) {
    case StoreStatus::Ok:
        m_current = reply.entry;
        return State::Applied;
    case StoreStatus::Conflict:
        m_current = reply.entry;
        return containsMark(reply.entry) ? State::Applied : State::Conflict;
    case StoreStatus::Rejected:
        m_mustRead = m_mayBeApplied;
        return m_mayBeApplied ? State::Swapping : State::Rejected;
    default:
        m_mustRead = true;
        m_mayBeApplied = true;
        return State::Swapping;
    }
}

MarkedSwap::State MarkedSwap::handleReadReply(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound) {
        return State::Swapping;
    }
    m_current = reply.entry;
    if (containsMark(reply.entry)) {
        return State::Applied;
    }
    if (reply.entry.version != m_swap.expectedVersion) {
        return State::Conflict;
    }
    m_mustRead = false;
    return State::Swapping;
}

} // namespace lagoonroute
