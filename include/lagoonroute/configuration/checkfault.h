#pragma once

#include <lagoonroute/base/errors.h>

#include <compare>
#include <string>
#include <vector>

namespace lagoonroute
{

/** An invalid value in a configuration or settings document. */
struct CheckFault
{
    std::string place; /**< Document path: JSON pointer to the faulty field, for example "/services/booking/queueLimit". */
    std::string value; /**< The value found at the document path, as JSON, or a description of what was found. */
    std::string allowed; /**< The values allowed at the document path, for example "1 to 1000000". */

    /** Returns one line with the document path, the value found (cut after 200 bytes) and the allowed values. */
    [[nodiscard]] std::string toString() const;

    auto operator<=>(const CheckFault &) const = default;
};

/** Thrown for an invalid configuration. The message has one line for each fault. */
class InvalidConfiguration : public InvalidDocument
{
public:
    /** Creates the error from at least one fault. */
    explicit InvalidConfiguration(std::vector<CheckFault> faults);

    /** Returns every fault, in the order in which the checks found them. */
    [[nodiscard]] const std::vector<CheckFault> &faults() const noexcept
    {
        return m_faults;
    }

private:
    std::vector<CheckFault> m_faults;
};

} // namespace lagoonroute
