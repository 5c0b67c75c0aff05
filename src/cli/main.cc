#include <iostream>
#include <string>
#include <vector>

#include "src/cli/program.h"

int main(int argc, char** argv) {
  return auburnyard::cli::RunProgram(
      std::vector<std::string>(argv + 1, argv + argc), std::cout, std::cerr);
}
