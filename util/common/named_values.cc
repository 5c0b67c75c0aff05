#include "util/common/named_values.h"

#include <algorithm>
#include <string>

#include <boost/json/parse.hpp>

#include "auburnyard/error.h"

namespace auburnyard::util {

namespace {

boost::json::value ParseScalar(std::string_view text) {
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(text, error);
  return error || value.is_object() ? boost::json::value(text) : value;
}

}  // namespace

boost::json::object ParseNamedValues(
    std::string_view text,
    std::initializer_list<std::string_view> string_names) {
  boost::json::object members;
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) {
      throw Error(ErrorKind::kBadSettings,
                  "expected NAME=VALUE, not \"" + std::string(pair) + "\"");
    }
    const std::string_view name = pair.substr(0, equals);
    const std::string_view value = pair.substr(equals + 1);
    const bool is_string = std::find(string_names.begin(), string_names.end(),
                                     name) != string_names.end();
    members[name] = is_string ? boost::json::value(value) : ParseScalar(value);
  }
  return members;
}

}  // namespace auburnyard::util
