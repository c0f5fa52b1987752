#pragma once

#include "fieldkinds.h"

#include <lagoonroute/configuration/servicerules.h>

namespace lagoonroute
{

inline constexpr ChoiceNames<RoutingPreference, 2> routingPreferenceNames{ {
    { RoutingPreference::ResponseTime, "response-time" },
    { RoutingPreference::WastedMessages, "wasted-messages" },
} };

inline constexpr ChoiceNames<KeySource, 4> keySourceNames{ {
    { KeySource::IdempotencyKey, "idempotency-key" },
    { KeySource::Header, "header" },
    { KeySource::BodyPointer, "body-pointer" },
    { KeySource::BodyDigest, "body-digest" },
} };

/** Largest number of key rules of a service. */
inline constexpr std::size_t maxKeyRules = 8;

/** Largest number of caller weights, and of availability zones in a list, of a service. */
inline constexpr std::size_t maxListEntries = 1000;

/*
 * FieldsOf<T>::visit() passes every field of a T to a visitor, together with its name in JSON and its allowed values. The
 * visitors FieldChecker, FieldPrinter and FieldReader check, print and parse values, so that each field is described only once.
 */

template <>
struct FieldsOf<KeyRule>
{
    template <typename Rule, typename Visitor>
    static void visit(Rule &rule, Visitor &visitor)
    {
        visitor.choice("source", rule.source, keySourceNames);
        visitor.text("name", rule.name, TextForm::KeyName);
    }
};

template <>
struct FieldsOf<EjectionRules>
{
    template <typename Rules, typename Visitor>
    static void visit(Rules &rules, Visitor &visitor)
    {
        using namespace std::chrono_literals;
        visitor.number("failurePercentAboveFleet", rules.failurePercentAboveFleet, { 1, 100 });
        visitor.number("largestEjectedPercent", rules.largestEjectedPercent, { 0, 100 });
        visitor.number("minimumSamples", rules.minimumSamples, { 1, 10'000 });
        visitor.duration("probeIntervalMs", rules.probeInterval, { 10ms, 1h });
        visitor.number("probesToReadmit", rules.probesToReadmit, { 1, 100 });
    }
};

template <>
struct FieldsOf<StragglerRules>
{
    template <typename Rules, typename Visitor>
    static void visit(Rules &rules, Visitor &visitor)
    {
        visitor.number("minimumSamples", rules.minimumSamples, { 1, 10'000 });
        visitor.number("slowdownPercent", rules.slowdownPercent, { 110, 10'000 });
    }
};

template <>
struct FieldsOf<ServiceRules>
{
    /** Returns the default rules for the service of the given name. */
    static ServiceRules defaultEntry(std::string name)
    {
        ServiceRules rules;
        rules.m_name = std::move(name);
        return rules;
    }

    template <typename Rules, typename Visitor>
    static void visit(Rules &rules, Visitor &visitor)
    {
        using namespace std::chrono_literals;
        visitor.weights("callerWeights", rules.m_callerWeights, { 1, 1'000 });
        visitor.number("defaultCallerWeight", rules.m_defaultCallerWeight, { 1, 1'000 });
        visitor.duration("defaultDeadlineMs", rules.m_defaultDeadline, { 1ms, 24h });
        visitor.duration("drainLimitMs", rules.m_drainLimit, { 0ms, 1h });
        visitor.section("ejection", rules.m_ejection);
        visitor.number("executorQueueDepth", rules.m_executorQueueDepth, { 0, 64 });
        visitor.list("keyRules", rules.m_keyRules, maxKeyRules);
        visitor.number("largestBodyBytes", rules.m_largestBodyBytes, { 1, 16'777'216 });
        visitor.duration("largestDeadlineMs", rules.m_largestDeadline, { 1ms, 24h });
        visitor.number("largestTaskCount", rules.m_largestTaskCount, { 1, maxTasksPerJob });
        visitor.flag("nonIdempotentByDefault", rules.m_nonIdempotentByDefault);
        visitor.choice("preference", rules.m_preference, routingPreferenceNames);
        visitor.number("queueLimit", rules.m_queueLimit, { 1, 1'000'000 });
        visitor.duration("retentionMs", rules.m_retention, { 1ms, 24h });
        visitor.number("retryBudgetPercent", rules.m_retryBudgetPercent, { 0, 100 });
        visitor.section("straggler", rules.m_straggler);
        visitor.text("upstreamPath", rules.m_upstreamPath, TextForm::Path);
        visitor.names("zones", rules.m_zones, maxListEntries);
    }
};

} // namespace lagoonroute
