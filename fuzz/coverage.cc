// The checks as a target of clang's libFuzzer, which chooses inputs by the code
// that they reach.
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

#include "fuzz/checks.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view input(reinterpret_cast<const char*>(data), size);
  try {
    bamboomount::fuzz::CheckInput(input);
  } catch (const bamboomount::fuzz::Violation& violation) {
    std::fprintf(stderr, "%s\n", violation.what());
    std::abort();
  }
  return 0;
}
