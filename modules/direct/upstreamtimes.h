#pragma once

#include <lagoonroute/base/time.h>

#include <cstdint>

namespace lagoonroute
{

/** Delay between two attempts to reach an upstream that does not answer. */
inline constexpr Duration queryRetry = std::chrono::milliseconds(200);

/** Status queries in a row that may stay without an answer before the upstream counts as unresponsive: single answers may be lost. */
inline constexpr std::uint32_t tolerableFailedQueries = 2;

} // namespace lagoonroute
