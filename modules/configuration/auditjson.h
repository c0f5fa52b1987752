#pragma once

#include <lagoonroute/configuration/auditrecord.h>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

namespace lagoonroute
{

/** Returns the record as a JSON object. */
boost::json::object auditToJson(const AuditRecord &record);

/** Converts JSON to a record. Throws InvalidDocument when the value is not an audit record. */
AuditRecord auditFromJson(const boost::json::value &value);

} // namespace lagoonroute
