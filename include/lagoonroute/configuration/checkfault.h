#pragma once

#include <lagoonroute/base/errors.h>

#include <compare>
#include <string>
#include <vector>

namespace lagoonroute
{

/** One fault of a configuration. */
struct CheckFault
{
    std::string place; /**< JSON pointer, for example "/services/booking/queueLimit". */
    std::string value; /**< The value found there, as JSON. */
    std::string allowed; /**< What is allowed there, for example "1 to 1000000". */

    /** Returns one line: place, value and what is allowed. */
    [[nodiscard]] std::string toString() const;

    auto operator<=>(const CheckFault &) const = default;
};

/** A configuration has faults; the message has one line for each. */
class InvalidConfiguration : public InvalidDocument
{
public:
    /** Creates the error from at least one fault. */
    explicit InvalidConfiguration(std::vector<CheckFault> faults);

    /** Every fault that was found, in the order of the document. */
    [[nodiscard]] const std::vector<CheckFault> &faults() const noexcept
    {
        return m_faults;
    }

private:
    std::vector<CheckFault> m_faults;
};

} // namespace lagoonroute
