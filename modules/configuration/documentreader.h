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

/** A value read from a document, or every fault of the document. */
template <typename T>
struct ReadDocument
{
    T value{};
    std::vector<CheckFault> faults;
};

/** Returns the JSON object in the text, comments allowed; with `faults` where it is none or repeats a field. */
boost::json::value parseObject(std::string_view text, std::vector<CheckFault> &faults);

/** Reads and checks a value whose fields FieldsOf<T> lists. Unknown and repeated fields are faults. */
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
    // A field that could not be read keeps its default, which is no fault of its own.
    std::vector<CheckFault> checked;
    checkValue("", result.value, checked);
    for (CheckFault &fault : checked) {
        const bool isKnown = std::any_of(
            result.faults.begin(), result.faults.end(), [&](const CheckFault &known) { return known.place == fault.place && known.allowed == fault.allowed; });
        if (!isKnown) {
            result.faults.push_back(std::move(fault));
        }
    }
    return result;
}

} // namespace lagoonroute
