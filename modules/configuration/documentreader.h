#pragma once

#include "fieldchecker.h"
#include "fieldreader.h"

#include <lagoonroute/configuration/checkfault.h>

#include <boost/json/value.hpp>

#include <string_view>
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
    checkValue("", result.value, result.faults);
    return result;
}

} // namespace lagoonroute
