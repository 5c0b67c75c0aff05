#include "util/load_driver/load_options.h"

#include <charconv>

#include "auburnyard/error.h"

namespace auburnyard::util {

Weights ParseWeights(std::string_view text) {
  Weights weights;
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    double weight = 1.0;
    if (equals != std::string_view::npos) {
      const char* last = pair.data() + pair.size();
      const auto [end, error] =
          std::from_chars(pair.data() + equals + 1, last, weight);
      if (error != std::errc() || end != last || !(weight > 0)) {
        throw Error(ErrorKind::kBadSettings,
                    std::string(pair) + ": expected a weight above 0");
      }
    }
    weights.emplace_back(std::string(pair.substr(0, equals)), weight);
  }
  return weights;
}

}  // namespace auburnyard::util
