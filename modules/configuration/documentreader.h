#pragma once

#include "fieldchecker.h"
#include "fieldreader.h"

#include <lagoonroute/configuration/checkfault.h>

#include <boost/json/value.hpp>

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

namespace lagoonroute
{

/** Result of reading a document: the value, and every fault in the document. The value is valid only without faults. */
template <typename T>
struct ReadDocument
{
    T value{};
    std::vector<CheckFault> faults;
};

/**
 * Parses a text that contains one JSON object; comments and trailing commas are allowed.
 *
 * Sets `faults` if the text is not a JSON object or repeats a field; the returned value must not be used in that case.
 */
boost::json::value parseObject(std::string_view text, std::vector<CheckFault> &faults);

/** Reads and checks a value whose fields are listed by FieldsOf<T>. Unknown and repeated fields are faults. */
template <typename T>
ReadDocument<T> readDocument(std::string_view text)
{
    ReadDocument<T> result;
    const boost::json::value document = parseObject(text, result.faults);
    if (!result.faults.empty()) {
        return result;
    }
    FieldReader reader(document.get_object(), "", result.faults);
    FieldsOf<T>::visit(result.value, reader);
    reader.finish();
    // The reader and the checker may report the same document path and allowed values, for example for an unreadable field whose
    // default is invalid. Only the fault of the reader is reported then.
    std::vector<CheckFault> checked;
    checkValue("", result.value, checked);
    for (CheckFault &fault : checked) {
        const bool isAlreadyReported = std::any_of(result.faults.begin(), result.faults.end(), [&](const CheckFault &reported) {
            return reported.place == fault.place && reported.allowed == fault.allowed;
        });
        if (!isAlreadyReported) {
            result.faults.push_back(std::move(fault));
        }
    }
    return result;
}

} // namespace lagoonroute
