#include "configstore.h"

#include <utility>

namespace lagoonroute
{

namespace
{

constexpr std::uint32_t maxReadAttempts = 4;
constexpr Duration initialRetryDelay = std::chrono::milliseconds(200);

/** Blocks before a retry. The delay doubles with each failure. */
void delayRetry(std::uint32_t failures, const ConfigPorts &ports)
{
    ports.sleep(initialRetryDelay * (1U << failures));
}

} // namespace

ConfigRead readConfiguration(const std::string &key, const ConfigPorts &ports)
{
    for (std::uint32_t attempt = 0; attempt < maxReadAttempts; ++attempt) {
        const StoreReply reply = ports.store({ attempt + 1, StorePurpose::Configuration, StoreRead{ key } });
        if (reply.status == StoreStatus::NotFound) {
            return { true, std::nullopt };
        }
        if (reply.status == StoreStatus::Ok) {
            return { true, StoredConfiguration::fromText(reply.entry.value) };
        }
        if (attempt + 1 < maxReadAttempts) {
            delayRetry(attempt, ports);
        }
    }
    return {};
}

SubmitResult runSubmission(SubmitRequest request, const ConfigPorts &ports)
{
    SubmitCore core(std::move(request));
    std::uint32_t failures = 0;
    while (const std::optional<StoreCall> call = core.nextCall()) {
        core.handle(ports.store(*call));
        if (!core.result() && core.failedCalls() > failures) {
            delayRetry(failures, ports);
            failures = core.failedCalls();
        }
    }
    return *core.result();
}

} // namespace lagoonroute
