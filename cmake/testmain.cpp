#define BOOST_TEST_MODULE lagoonroute
#include <boost/test/unit_test.hpp>
