#include "configurationpatch.h"

#include "auditjson.h"
#include "fieldprinter.h"

#include <lagoonroute/base/errors.h>
#include <lagoonroute/configuration/configurationjson.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace lagoonroute
{

namespace json = boost::json;

namespace
{

json::object mergePatch(const json::object &from, const json::object &to)
{
    json::object patch;
    for (const auto &entry : from) {
        if (!to.contains(entry.key())) {
            patch.emplace(entry.key(), nullptr);
        }
    }
    for (const auto &entry : to) {
        const json::value *old = from.if_contains(entry.key());
        if (old != nullptr && old->is_object() && entry.value().is_object()) {
            json::object nested = mergePatch(old->get_object(), entry.value().get_object());
            if (!nested.empty()) {
                patch.emplace(entry.key(), std::move(nested));
            }
        } else if (old == nullptr || *old != entry.value()) {
            patch.emplace(entry.key(), entry.value());
        }
    }
    return patch;
}

void merge(json::object &target, const json::object &patch)
{
    for (const auto &entry : patch) {
        if (entry.value().is_null()) {
            target.erase(entry.key());
            continue;
        }
        json::value &member = target[entry.key()];
        if (entry.value().is_object() && member.is_object()) {
            merge(member.get_object(), entry.value().get_object());
        } else {
            member = entry.value();
        }
    }
}

} // namespace

std::string makePatch(const StoredConfiguration &from, const StoredConfiguration &to)
{
    if (to.audit.from != from.revision()) {
        return {};
    }
    return json::serialize(json::object{ { "audit", auditToJson(to.audit) }, { "content", mergePatch(toJson(from.configuration), toJson(to.configuration)) } });
}

StoredConfiguration applyPatch(const StoredConfiguration &from, std::string_view patch)
{
    json::error_code error;
    const json::value value = json::parse(json::string_view(patch.data(), patch.size()), error);
    const json::object *object = error ? nullptr : value.if_object();
    if (object == nullptr || !object->contains("audit") || !object->contains("content") || !object->at("content").is_object()) {
        throw InvalidDocument("configuration patch: not a JSON object with the field audit and the object content");
    }
    const AuditRecord audit = auditFromJson(object->at("audit"));
    json::object content = toJson(from.configuration);
    merge(content, object->at("content").get_object());
    StoredConfiguration next{ audit, readConfiguration(json::serialize(content)), marksAfter(from) };
    if (audit.from != from.revision() || audit.to <= audit.from || digestOf(next.configuration) != audit.digest) {
        throw InvalidDocument("configuration patch: from revision " + std::to_string(audit.from) + " to " + std::to_string(audit.to)
                              + " does not apply to revision " + std::to_string(from.revision()) + " or its result does not match the digest");
    }
    return next;
}

} // namespace lagoonroute
