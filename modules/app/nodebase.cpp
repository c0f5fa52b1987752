#include "nodebase.h"

#include <chrono>

namespace lagoonroute
{

NodeBase::NodeBase(const std::string &node)
    : m_incarnation(static_cast<Incarnation>(std::chrono::system_clock::now().time_since_epoch().count()))
    , m_status(node)
    , m_pages(m_metrics, m_status)
{
}

WallTime wallNow()
{
    return std::chrono::time_point_cast<WallTime::duration>(std::chrono::system_clock::now());
}

} // namespace lagoonroute
