#pragma once

#include <lagoonroute/http/httpmessage.h>
#include <lagoonroute/store/storeport.h>

#include <string>
#include <string_view>

namespace lagoonroute
{

/** Encodes a store call as an HTTP request; docs/design/platform-store.md describes the format. */
HttpRequest encodeStoreCall(const StoreOperation &operation);

/** Decodes the store call in an HTTP request. Throws MalformedMessage if the request is not a valid call. */
StoreOperation decodeStoreCall(const HttpRequest &request);

/** Encodes a store reply as an HTTP response. */
HttpResponse encodeStoreReply(const StoreReply &reply);

/**
 * Decodes the store reply in an HTTP response. Throws MalformedMessage if the response is not a valid reply.
 *
 * The response does not contain the number of the call, so the reply's `number` is not set.
 */
StoreReply decodeStoreReply(const HttpResponse &response);

} // namespace lagoonroute
