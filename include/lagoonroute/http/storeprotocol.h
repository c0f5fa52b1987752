#pragma once

#include <lagoonroute/http/httpmessage.h>
#include <lagoonroute/store/storeport.h>

#include <string>
#include <string_view>

namespace lagoonroute
{

/** Returns the HTTP request of a call, as docs/design/platform-store.md describes it. */
HttpRequest encodeStoreCall(const StoreOperation &operation);

/** Returns the call in a request. Throws MalformedMessage when there is none. */
StoreOperation decodeStoreCall(const HttpRequest &request);

/** Returns the HTTP response of an answer. */
HttpResponse encodeStoreReply(const StoreReply &reply);

/** Returns the answer in a response, without a number. Throws MalformedMessage when there is none. */
StoreReply decodeStoreReply(const HttpResponse &response);

} // namespace lagoonroute
