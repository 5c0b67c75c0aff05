#include <cstddef>
#include <cstdint>

#include "util/fuzz_common/fuzz_inputs.h"
#include "util/fuzz_common/fuzz_main.h"

// Entry point of libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  auburnyard::FuzzTrace({reinterpret_cast<const char*>(data), size});
  return 0;
}

#ifndef AUBURNYARD_FUZZER
int main(int argc, char** argv) {
  return auburnyard::RunFuzzFiles(argc, argv, auburnyard::FuzzTrace);
}
#endif
