#include <lagoonroute/store/markedswap.h>

#include <utility>

namespace lagoonroute
{

std::string makeWriteMark(std::string_view writer, std::uint64_t life, std::uint64_t sequence)
{
    return "@" + std::string(writer) + "/" + std::to_string(life) + "/" + std::to_string(sequence) + ".";
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
    m_state = m_mustRead ? handleRead(reply) : handleSwapped(reply);
    return m_state;
}

bool MarkedSwap::isMine(const StoreEntry &entry) const
{
    return entry.value.find(m_mark) != std::string::npos;
}

MarkedSwap::State MarkedSwap::handleSwapped(const StoreReply &reply)
{
    switch (reply.status) {
    case StoreStatus::Ok:
        m_current = reply.entry;
        return State::Applied;
    case StoreStatus::Conflict:
        m_current = reply.entry;
        return isMine(reply.entry) ? State::Applied : State::Conflict;
    case StoreStatus::Rejected:
        m_mustRead = m_mayBeInEffect;
        return m_mayBeInEffect ? State::Swapping : State::Rejected;
    default:
        m_mustRead = true;
        m_mayBeInEffect = true;
        return State::Swapping;
    }
}

MarkedSwap::State MarkedSwap::handleRead(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound) {
        return State::Swapping;
    }
    m_current = reply.entry;
    if (isMine(reply.entry)) {
        return State::Applied;
    }
    if (reply.entry.version != m_swap.expectedVersion) {
        return State::Conflict;
    }
    m_mustRead = false;
    return State::Swapping;
}

} // namespace lagoonroute
