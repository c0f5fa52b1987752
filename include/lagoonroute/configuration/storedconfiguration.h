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

/** Number of replaced configurations that the platform's store keeps; after that the oldest makes room. */
inline constexpr Revision historyLength = 512;

/** Mark of an earlier submission. */
struct RevisionMark
{
    Revision revision = 0;
    std::string mark;

    auto operator<=>(const RevisionMark &) const = default;
};

/** The configuration as one value of the platform's store, and as processes send it to one another. */
struct StoredConfiguration
{
    /** Number of earlier marks that a value keeps. */
    static constexpr std::size_t maxRecentMarks = 32;

    AuditRecord audit; /**< The change that made it. */
    Configuration configuration;
    std::vector<RevisionMark> recentMarks; /**< Of the revisions before it, the newest first. */

    /** Revision of the configuration. */
    [[nodiscard]] Revision revision() const noexcept
    {
        return audit.to;
    }

    /** Returns the mark of a revision, or an empty text when the value does not keep it. */
    [[nodiscard]] std::string markOf(Revision revision) const;

    /** Returns the value as JSON. */
    [[nodiscard]] std::string toText() const;

    /** Reads a value. Throws InvalidDocument when it is malformed, has a faulty configuration, or another digest. */
    static StoredConfiguration fromText(std::string_view text);

    auto operator<=>(const StoredConfiguration &) const = default;
};

/** Returns the digest of the compact JSON of a content. */
Digest digestOf(const Configuration &configuration);

/** Returns the recent marks of the value that follows `stored`. */
std::vector<RevisionMark> marksAfter(const StoredConfiguration &stored);

/** Returns the key under which a replaced configuration is kept. */
std::string historyKey(Revision revision);

/** Returns the value that follows `current`, or the first one when there is none; `audit` needs author, reason, time and mark. */
StoredConfiguration succeeding(const StoredConfiguration *current, Configuration configuration, AuditRecord audit);

} // namespace lagoonroute
