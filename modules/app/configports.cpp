#include "configports.h"

#include <thread>

namespace lagoonroute
{

void ConfigPorts::sleepThread(Duration time)
{
    std::this_thread::sleep_for(time);
}

WallTime ConfigPorts::systemTime()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace lagoonroute
