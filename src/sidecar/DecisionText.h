// DecisionText.h - Formatting of values in log lines.

#ifndef FIGSAIL_SIDECAR_DECISIONTEXT_H
#define FIGSAIL_SIDECAR_DECISIONTEXT_H

#include "figsail/Types.h"

#include <string>

namespace figsail {

/// Returns the duration in whole milliseconds, truncated.
inline std::string millisText(Duration Time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

} // namespace figsail

#endif // FIGSAIL_SIDECAR_DECISIONTEXT_H
