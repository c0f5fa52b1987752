#include <lagoonroute/membership/membership.h>
