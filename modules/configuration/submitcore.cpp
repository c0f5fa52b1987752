#include <lagoonroute/configuration/submitcore.h>

#include "submitmachine.h"

#include <utility>

namespace lagoonroute
{

class SubmitCore::Implementation
{
public:
    explicit Implementation(SubmitRequest request)
        : machine(SubmitStep(std::move(request)))
    {
        machine.start();
    }

    boost::msm::back::state_machine<SubmitMachine> machine;
    std::uint64_t callNumber = 1;
};

SubmitCore::SubmitCore(SubmitRequest request)
    : m_implementation(std::make_unique<Implementation>(std::move(request)))
{
}

SubmitCore::~SubmitCore() = default;

std::optional<StoreCall> SubmitCore::nextCall() const
{
    const SubmitStep &step = m_implementation->machine.step;
    if (step.result) {
        return std::nullopt;
    }
    return StoreCall{ m_implementation->callNumber, StorePurpose::Configuration, step.operation };
}

void SubmitCore::handle(const StoreReply &reply)
{
    if (result() || reply.number != m_implementation->callNumber) {
        return;
    }
    ++m_implementation->callNumber;
    if (reply.status == StoreStatus::Unknown || reply.status == StoreStatus::Rejected) {
        m_implementation->machine.process_event(CallFailed{ reply.status == StoreStatus::Unknown });
        return;
    }
    m_implementation->machine.process_event(CallAnswered{ reply });
}

const std::optional<SubmitResult> &SubmitCore::result() const
{
    return m_implementation->machine.step.result;
}

std::uint32_t SubmitCore::failedCalls() const
{
    return m_implementation->machine.step.failedCalls;
}

} // namespace lagoonroute
