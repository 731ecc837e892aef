// SettingTypes.h - Rows of a table of process settings, and their values.

#ifndef FIGSAIL_SETTINGTYPES_H
#define FIGSAIL_SETTINGTYPES_H

#include "figsail/Types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figsail {

/// How the text of a setting is read.
enum class SettingKind : std::uint8_t {
  Number,        ///< Integer from Min to Max.
  Time,          ///< Integer with unit; Min and Max in microseconds.
  Name,          ///< Letters, digits, '-', '_' and '.'; not empty.
  Path,          ///< Starts with '/'.
  Choice,        ///< One of the words in Words.
  Address,       ///< "ip:port".
  ListenAddress, ///< "ip:port" that other hosts can connect to.
  AddressList,   ///< "ip:port" separated by commas.
};

/// A value that is within its bounds.
struct SettingValue {
  std::string Text;
  std::int64_t Number = 0; ///< Set for Number and Time (microseconds).

  Duration time() const { return Duration(Number); }
  std::size_t count() const { return static_cast<std::size_t>(Number); }
  /// Returns the elements of a list.
  std::vector<std::string> list() const;
};

/// One row of a table; the part that does not depend on the program.
struct SettingRow {
  std::string_view Name;
  std::string_view Default; ///< Empty: none; the setting may be left out unless
                            ///< it is required.
  SettingKind Kind;
  std::int64_t Min = 0;
  std::int64_t Max = 0;
  std::string_view Choices; ///< Of a choice, separated by '|'.
  bool Required = false;
  std::string_view Help;
};

/// Returns the bounds of a row for people.
std::string describeAllowedValues(const SettingRow &Row);

/// Reads a value. Returns nothing when it is out of the bounds of its row.
std::optional<SettingValue> parseSetting(const SettingRow &Row,
                                         const std::string &Text);

} // namespace figsail

#endif // FIGSAIL_SETTINGTYPES_H
