#include <lagoonroute/platform/platform.h>
