#include <lagoonroute/direct/routetable.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace lagoonroute
{

namespace
{

/** Orders by host, and within a host by decreasing length of the prefix. */
bool isBefore(const RouteRule &left, const RouteRule &right)
{
    return std::tuple(std::string_view(left.host), right.prefix.size(), std::string_view(left.prefix))
        < std::tuple(std::string_view(right.host), left.prefix.size(), std::string_view(right.prefix));
}

} // namespace

RouteTable::RouteTable(std::uint64_t version, std::vector<RouteRule> rules, const Limits &limits)
    : m_version(version)
    , m_rules(std::move(rules))
    , m_limits(limits)
{
    std::sort(m_rules.begin(), m_rules.end(), isBefore);
}

const RouteRule *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto first = std::lower_bound(m_rules.begin(), m_rules.end(), host, [](const RouteRule &rule, std::string_view text) { return rule.host < text; });
    for (auto rule = first; rule != m_rules.end() && rule->host == host; ++rule) {
        if (path.substr(0, rule->prefix.size()) == rule->prefix) {
            return &*rule;
        }
    }
    return nullptr;
}

} // namespace lagoonroute
