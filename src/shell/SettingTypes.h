// SettingTypes.h - Kinds, bounds and values of process settings.

#ifndef FIGSAIL_SETTINGTYPES_H
#define FIGSAIL_SETTINGTYPES_H

#include "figsail/Types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figsail {

/// Format of the text of a setting.
enum class SettingKind : std::uint8_t {
  Number,        ///< Integer from Min to Max.
  Time,          ///< Integer with unit; Min and Max in microseconds.
  Name,          ///< Letters, digits, '-', '_' and '.'; not empty.
  Path,          ///< Starts with '/'.
  Choice,        ///< One of the words in Choices.
  Address,       ///< "ip:port".
  ListenAddress, ///< "ip:port" that other hosts can connect to.
  AddressList,   ///< List of "ip:port", separated by commas.
};

/// Value of a setting that was parsed and is within its bounds.
struct SettingValue {
  std::string Text;
  std::int64_t Number = 0; ///< Set for Number and Time (microseconds).

  Duration time() const { return Duration(Number); }
  std::size_t count() const { return static_cast<std::size_t>(Number); }
  /// Returns the elements of an AddressList.
  std::vector<std::string> list() const;
};

/// Row of a table of settings, without the field that a program stores it in.
struct SettingRow {
  std::string_view Name;
  std::string_view Default; ///< Empty if the setting is required or may be left
                            ///< out.
  SettingKind Kind;
  std::int64_t Min = 0;
  std::int64_t Max = 0;
  std::string_view Choices; ///< Of a Choice, separated by '|'.
  bool Required = false;
  std::string_view Help;
};

/// Returns the bounds or the format of a setting, for messages and help.
std::string describeAllowedValues(const SettingRow &Row);

/// Parses a value. Returns nothing if it is not allowed by its row.
std::optional<SettingValue> parseSetting(const SettingRow &Row,
                                         const std::string &Text);

} // namespace figsail

#endif // FIGSAIL_SETTINGTYPES_H
