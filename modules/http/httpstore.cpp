#include <lagoonroute/http/httpstore.h>

#include <lagoonroute/base/errors.h>
#include <lagoonroute/http/storeprotocol.h>

#include <utility>

namespace lagoonroute
{

namespace
{

StoreReply replyFrom(const HttpResult &result)
{
    if (!result.response) {
        return StoreReply{ .status = StoreStatus::Unknown };
    }
    try {
        return decodeStoreReply(*result.response);
    } catch (const MalformedMessage &) {
        return StoreReply{ .status = StoreStatus::Unknown };
    }
}

} // namespace

HttpStore::Options HttpStore::Options::withServer(NodeAddress address) const
{
    Options changed = *this;
    changed.server = std::move(address);
    return changed;
}

HttpStore::Options HttpStore::Options::withTimeout(Duration responseTimeout) const
{
    Options changed = *this;
    changed.timeout = responseTimeout;
    return changed;
}

HttpStore::HttpStore(const Options &options, WakeSignal &signal)
    : m_options(options)
    , m_replies(options.maxOpenCalls, signal)
{
}

bool HttpStore::submit(StoreCall &&call)
{
    if (m_openCalls >= m_options.maxOpenCalls) {
        return false;
    }
    ++m_openCalls;
    const auto *watch = std::get_if<StoreWatch>(&call.operation);
    const Duration timeout = m_options.timeout + (watch == nullptr ? Duration{ 0 } : watch->wait);
    m_client.call(m_options.server, encodeStoreCall(call.operation), timeout, [this, number = call.number](const HttpResult &result) {
        StoreReply reply = replyFrom(result);
        reply.number = number;
        m_replies.push(std::move(reply));
    });
    return true;
}

} // namespace lagoonroute
