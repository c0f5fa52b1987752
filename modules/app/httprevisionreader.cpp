#include "httprevisionreader.h"

#include "configstatus.h"

namespace lagoonroute
{

std::optional<NodeRevision> HttpRevisionReader::revisionAt(const NodeAddress &address)
{
    constexpr unsigned statusOk = 200;
    const HttpResult result = m_client.callAndWait(address, { .method = "GET", .target = "/v1/status" }, timeout);
    if (!result.response || result.response->status != statusOk) {
        return std::nullopt;
    }
    return parseNodeRevision(result.response->body);
}

} // namespace lagoonroute
