#pragma once

#include <lagoonroute/base/shardview.h>
