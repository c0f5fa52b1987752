#pragma once

#include "configports.h"

#include <lagoonroute/http/httpclient.h>

namespace lagoonroute
{

/** Asks processes for their revision over HTTP at /v1/status. */
class HttpRevisionReader
{
public:
    /** Time after which a process counts as not reached. */
    static constexpr Duration timeout = std::chrono::seconds(2);

    /** Returns what the process at the address says; nothing when it cannot be reached. */
    std::optional<NodeRevision> revisionAt(const NodeAddress &address);

private:
    HttpClient m_client;
};

static_assert(RevisionReader<HttpRevisionReader>);

} // namespace lagoonroute
