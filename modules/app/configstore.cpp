#include "configstore.h"

#include <utility>

namespace lagoonroute
{

namespace
{

constexpr std::uint32_t maxReads = 4;
constexpr Duration firstPause = std::chrono::milliseconds(200);

/** Waits twice as long after each further failure. */
void pauseAfter(std::uint32_t failures, const ConfigPorts &ports)
{
    ports.pause(firstPause * (1U << failures));
}

} // namespace

ConfigRead readStored(const std::string &key, const ConfigPorts &ports)
{
    for (std::uint32_t attempt = 0; attempt < maxReads; ++attempt) {
        const StoreReply reply = ports.store({ attempt + 1, StorePurpose::Configuration, StoreRead{ key } });
        if (reply.status == StoreStatus::NotFound) {
            return { true, std::nullopt };
        }
        if (reply.status == StoreStatus::Ok) {
            return { true, StoredConfiguration::fromText(reply.entry.value) };
        }
        if (attempt + 1 < maxReads) {
            pauseAfter(attempt, ports);
        }
    }
    return {};
}

SubmitResult carryOut(SubmitRequest request, const ConfigPorts &ports)
{
    SubmitCore core(std::move(request));
    std::uint32_t failures = 0;
    while (const std::optional<StoreCall> call = core.nextCall()) {
        core.handle(ports.store(*call));
        if (!core.result() && core.failedCalls() > failures) {
            pauseAfter(failures, ports);
            failures = core.failedCalls();
        }
    }
    return *core.result();
}

} // namespace lagoonroute
