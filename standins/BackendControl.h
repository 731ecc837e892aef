// BackendControl.h - Faults that the backend server simulator plays, as set by
// its operator.

#ifndef FIGSAIL_BACKENDCONTROL_H
#define FIGSAIL_BACKENDCONTROL_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace figsail {

/// State that the health endpoint reports.
enum class HealthMode : std::uint8_t {
  Current,       ///< The current state.
  Delayed,       ///< The state HealthLag ago.
  AlwaysHealthy, ///< Healthy, whatever the state.
};

/// Returns the mode of a name ("ok", "lag", "lie"), or nothing.
std::optional<HealthMode> parseHealthMode(const std::string &Name);

/// What the operator of a backend server simulator has set.
struct BackendControl {
  double SlowFactor = 1; ///< Factor of the service time.
  bool FailFast = false; ///< Requests get 500 and do not run.
  bool Draining = false; ///< Requests are refused.
  bool NamesLeaving = false;
  std::string NamedLimit; ///< Empty: none.
  HealthMode Health = HealthMode::Current;
  std::optional<std::chrono::milliseconds>
      RepeatRefusalAfter; ///< Each refusal is written once more.
  std::optional<std::size_t>
      CutHeadAfter; ///< Bytes of a response's head that are written.
  bool ErrorPageBehindCut = false;
};

/// Returns the control after the arguments of a /_control request, or an error
/// text if one is unknown or has a bad value. The argument "cold" is checked
/// only, since it sets no state.
std::variant<BackendControl, std::string>
changedControl(BackendControl Current,
               const std::map<std::string, std::string> &Arguments);

} // namespace figsail

#endif // FIGSAIL_BACKENDCONTROL_H
