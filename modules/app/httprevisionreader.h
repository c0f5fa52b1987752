#pragma once

#include "configports.h"

#include <lagoonroute/http/httpclient.h>

namespace lagoonroute
{

/** Reads the revision of a process over HTTP at /v1/status. */
class HttpRevisionReader
{
public:
    /** Time limit for the response; a process that exceeds it counts as unreachable. */
    static constexpr Duration timeout = std::chrono::seconds(2);

    /** Returns the status of the process at the address, or nothing when it is unreachable or its response is invalid. */
    std::optional<NodeRevision> revisionAt(const NodeAddress &address);

private:
    HttpClient m_client;
};

static_assert(RevisionReader<HttpRevisionReader>);

} // namespace lagoonroute
