#ifndef AUBURNYARD_TEST_PROPERTY_H_
#define AUBURNYARD_TEST_PROPERTY_H_

#include <cstdint>
#include <string>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace auburnyard::test {

/// Checks a property with a fixed seed. Returns an empty string if it holds,
/// and the counterexample otherwise.
template <typename Property>
std::string CounterExample(std::uint64_t seed, const Property& property) {
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = 300;
  const rc::detail::TestResult result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  if (result.template is<rc::detail::SuccessResult>()) {
    return "";
  }
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  return text.str();
}

}  // namespace auburnyard::test

#endif  // AUBURNYARD_TEST_PROPERTY_H_
