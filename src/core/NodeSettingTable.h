// NodeSettingTable.h - Parsers of setting values and properties of settings.

#ifndef FIGSAIL_NODESETTINGTABLE_H
#define FIGSAIL_NODESETTINGTABLE_H

#include "figsail/Configuration.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figsail {

/// Parses "250ms", "2s", "10min": a whole number and one of us, ms, s, min, h.
std::optional<Duration> parseDuration(std::string_view Text);
/// Parses a number of bytes: a whole number, optionally with KiB or MiB.
std::optional<std::uint64_t> parseBytes(std::string_view Text);
/// Parses a whole number of at most twelve digits.
std::optional<std::uint64_t> parseNumber(std::string_view Text);
/// Parses a comma-separated list and removes the blanks around its items.
std::vector<std::string> parseList(std::string_view Text);
/// Parses "none", "header:NAME" or "body".
std::optional<IdentityRule> parseIdentity(std::string_view Text);

/// Returns whether a name is allowed in a node path or in a list.
bool isNodeName(std::string_view Name);

/// Returns whether nodes of this kind may declare the setting.
bool isSettingOf(NodeKind Kind, std::string_view Name);
/// Returns whether child nodes inherit the setting.
bool isInherited(std::string_view Name);
/// Returns the default of a setting, or an empty text for an unknown one.
std::string_view settingDefault(std::string_view Name);

} // namespace figsail

#endif // FIGSAIL_NODESETTINGTABLE_H
