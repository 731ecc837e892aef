// FuzzTargets.h - The decoders of bytes that others write, as fuzz targets.

#ifndef FIGSAIL_FUZZ_FUZZTARGETS_H
#define FIGSAIL_FUZZ_FUZZTARGETS_H

#include <span>
#include <string_view>

namespace figsail::fuzz {

/// A decoder that must accept any bytes. It aborts the process when what it
/// decoded breaks a promise.
struct FuzzTarget {
  std::string_view Name; ///< Also the folder of its corpus.
  void (*Decode)(std::string_view Input);
};

/// Returns all targets.
std::span<const FuzzTarget> fuzzTargets();
/// Returns the target with that name, or null.
const FuzzTarget *findFuzzTarget(std::string_view Name);

} // namespace figsail::fuzz

#endif // FIGSAIL_FUZZ_FUZZTARGETS_H
