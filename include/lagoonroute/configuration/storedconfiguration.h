#pragma once

#include <lagoonroute/configuration/auditrecord.h>
#include <lagoonroute/configuration/configurationmodel.h>

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonroute
{

/** Key of the configuration in force in the platform's store. */
inline constexpr std::string_view configurationKey = "configuration/current";

/** Number of replaced configurations retained in the platform's store; each further one overwrites the oldest. */
inline constexpr Revision historyLength = 512;

/** Revision and the mark of the submission that produced it. */
struct RevisionMark
{
    Revision revision = 0;
    std::string mark;

    auto operator<=>(const RevisionMark &) const = default;
};

/** The configuration as one value of the platform's store, which processes also send to one another. */
struct StoredConfiguration
{
    /** Number of marks of earlier revisions that a value retains. */
    static constexpr std::size_t maxRecentMarks = 32;

    AuditRecord audit; /**< The change that produced this revision. */
    Configuration configuration;
    std::vector<RevisionMark> recentMarks; /**< Marks of the preceding revisions, newest first. */

    /** Revision of the configuration. */
    [[nodiscard]] Revision revision() const noexcept
    {
        return audit.to;
    }

    /** Returns the mark of a revision, or an empty string when the value does not contain it. */
    [[nodiscard]] std::string markOf(Revision revision) const;

    /** Returns the value as JSON. */
    [[nodiscard]] std::string toText() const;

    /** Parses a value. Throws InvalidDocument when it is malformed, its configuration fails a check, or its digest does not match. */
    static StoredConfiguration fromText(std::string_view text);

    auto operator<=>(const StoredConfiguration &) const = default;
};

/** Returns the digest of the compact JSON of a configuration. */
Digest digestOf(const Configuration &configuration);

/** Returns the recent marks of the value that follows `stored`. */
std::vector<RevisionMark> marksAfter(const StoredConfiguration &stored);

/** Returns the key of a replaced configuration in the platform's store. */
std::string historyKey(Revision revision);

/**
 * Returns the value that follows `current`, or the first one when `current` is null. The caller sets author, reason, time and
 * mark of `audit`; the other fields are computed.
 */
StoredConfiguration succeeding(const StoredConfiguration *current, Configuration configuration, AuditRecord audit);

} // namespace lagoonroute
