#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lagoonroute
{

/** Why an agent reports a run as lost. */
enum class LossEvidence : std::uint8_t {
    NewIncarnation, /**< The upstream has started again. */
    NotListed, /**< The upstream's list contains neither the run nor its end. */
    LeaseEnded, /**< Every lease that the upstream can hold for the run has ended. */
};

/** Number of values of LossEvidence. */
inline constexpr std::size_t lossEvidenceCount = 3;

/** Returns the name of the evidence in logs and metrics. */
constexpr std::string_view lossEvidenceName(LossEvidence evidence)
{
    switch (evidence) {
    case LossEvidence::NewIncarnation:
        return "new-incarnation";
    case LossEvidence::NotListed:
        return "not-listed";
    case LossEvidence::LeaseEnded:
        return "lease-ended";
    }
    return "unknown";
}

} // namespace lagoonroute
