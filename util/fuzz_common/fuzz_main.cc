#include "util/fuzz_common/fuzz_main.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace auburnyard {

int RunFuzzFiles(int argc,
                 char** argv,
                 const std::function<void(std::string_view)>& run) {
  for (int i = 1; i < argc; ++i) {
    std::ifstream file(argv[i], std::ios::binary);
    if (!file) {
      std::cerr << argv[i] << ": the file cannot be read\n";
      return 1;
    }
    std::ostringstream text;
    text << file.rdbuf();
    run(text.str());
  }
  return 0;
}

}  // namespace auburnyard
