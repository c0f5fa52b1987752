#include <lagoonroute/app/settings.h>

#include "filetext.h"
#include "settingsfields.h"

namespace lagoonroute
{

ShardView ViewSetting::view() const
{
    return ShardView{ .key = { service, 0 }, .epoch = 1, .home = NodeId::fromName(home), .mirror = mirror.empty() ? NodeId{} : NodeId::fromName(mirror) };
}

Settings Settings::fromFile(const std::string &path)
{
    return fromText(readFile(path), path);
}

Settings Settings::fromText(const std::string &text, const std::string &source)
{
    return settingsFromText<Settings>(text, source);
}

} // namespace lagoonroute
