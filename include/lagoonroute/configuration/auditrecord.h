#pragma once

#include <lagoonroute/base/identifiers.h>
#include <lagoonroute/base/time.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonroute
{

/** Describes one accepted change of the configuration: author, time, reason, revisions and differences. */
struct AuditRecord
{
    Revision from = 0; /**< Revision that the author reviewed and replaced. */
    Revision to = 0; /**< Revision that the change produced. */
    std::string author;
    std::string reason;
    WallTime time{}; /**< When the author submitted it, by the author's clock. */
    std::string mark; /**< Identifies the submission; unique among all submissions. */
    Digest digest; /**< Digest of the compact JSON of the new content. */
    std::vector<std::string> changes; /**< One line for each difference, ordered by document path. */
    std::uint32_t omittedChanges = 0; /**< Differences left out of `changes` because there are too many. */

    /** Returns the record as one line of JSON, without a line break. */
    [[nodiscard]] std::string toJsonLine() const;

    /** Parses one line of JSON. Throws InvalidDocument when it is not an audit record. */
    static AuditRecord fromJsonLine(std::string_view line);

    auto operator<=>(const AuditRecord &) const = default;
};

/** Destination of audit records, for example a log, a file or a list in a test. */
template <typename T>
concept AuditWriter = requires(T &writer, const AuditRecord &record)
{
    writer.write(record);
};

/** Formats the time as in RFC 3339, in UTC with milliseconds, for example "2026-12-04T05:30:00.000Z". */
std::string toString(WallTime time);

} // namespace lagoonroute
