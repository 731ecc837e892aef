// figsail-fuzz.cpp - Entry of libFuzzer. The variable FIGSAIL_FUZZ_TARGET names
// the target.

#include "FuzzTargets.h"

#include <cstdint>
#include <cstdlib>
#include <iostream>

using namespace figsail::fuzz;

static const FuzzTarget &chosenTarget() {
  const char *Name = std::getenv("FIGSAIL_FUZZ_TARGET");
  if (const FuzzTarget *Found = findFuzzTarget(Name ? Name : ""))
    return *Found;
  std::cerr << "FIGSAIL_FUZZ_TARGET must be one of:";
  for (const FuzzTarget &Each : fuzzTargets())
    std::cerr << ' ' << Each.Name;
  std::cerr << '\n';
  std::exit(2);
}

// libFuzzer prescribes the name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  static const FuzzTarget &Target = chosenTarget();
  Target.Decode({reinterpret_cast<const char *>(Data), Size});
  return 0;
}
