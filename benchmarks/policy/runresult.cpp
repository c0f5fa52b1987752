#include "runresult.h"

#include <algorithm>

namespace lagoonroute::bench
{

Percentiles Percentiles::of(std::vector<Duration> values)
{
    if (values.empty()) {
        return {};
    }
    std::sort(values.begin(), values.end());
    const auto at
        = [&values](double share) { return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))]; };
    return { at(0.5), at(0.99), at(0.999) };
}

} // namespace lagoonroute::bench
