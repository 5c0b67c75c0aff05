#ifndef AUBURNYARD_TEST_SCRIPT_H_
#define AUBURNYARD_TEST_SCRIPT_H_

#include <algorithm>
#include <functional>
#include <sstream>
#include <string>

#include <boost/algorithm/string/trim.hpp>
#include <boost/test/unit_test.hpp>

namespace auburnyard::test {

/// Runs events of the form "<ms> <verb> [<arguments>] [-> <expected actions>]",
/// separated by semicolons or line breaks. `perform` reads the arguments of the
/// event and returns the resulting actions as text.
inline void RunScript(
    const std::string& script,
    const std::function<std::string(std::int64_t ms,
                                    const std::string& verb,
                                    std::istream& arguments)>& perform) {
  std::string separated = script;
  std::replace(separated.begin(), separated.end(), ';', '\n');
  std::istringstream lines(separated);
  for (std::string line; std::getline(lines, line);) {
    boost::algorithm::trim(line);
    if (line.empty()) {
      continue;
    }
    const std::size_t arrow = line.find("->");
    std::istringstream event(line.substr(0, arrow));
    std::string expected =
        arrow == std::string::npos ? "" : line.substr(arrow + 2);
    boost::algorithm::trim(expected);
    std::int64_t ms = 0;
    std::string verb;
    event >> ms >> verb;
    BOOST_TEST_CONTEXT(line) {
      BOOST_TEST(perform(ms, verb, event) == expected);
    }
  }
}

}  // namespace auburnyard::test

#endif  // AUBURNYARD_TEST_SCRIPT_H_
