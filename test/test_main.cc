#define BOOST_TEST_MODULE auburnyard
#include <boost/test/unit_test.hpp>
