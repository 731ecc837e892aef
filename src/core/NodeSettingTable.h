// NodeSettingTable.h - Values of node settings.

#ifndef FIGSAIL_NODESETTINGTABLE_H
#define FIGSAIL_NODESETTINGTABLE_H

#include "figsail/Configuration.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figsail {

/// Reads "250ms", "2s", "10min": a whole number and one of us, ms, s, min, h.
std::optional<Duration> parseDuration(std::string_view Text);
/// Reads bytes: a whole number, optionally with KiB or MiB.
std::optional<std::uint64_t> parseBytes(std::string_view Text);
/// Reads a whole number of at most twelve digits.
std::optional<std::uint64_t> parseNumber(std::string_view Text);
/// Reads a comma list, without the blanks around its items.
std::vector<std::string> parseList(std::string_view Text);
/// Reads "none", "header:NAME" or "body".
std::optional<IdentityRule> parseIdentity(std::string_view Text);

/// Returns whether a name may stand in a node path or in a list.
bool isNodeName(std::string_view Name);

/// Returns whether nodes of this kind may declare the setting.
bool isSettingOf(NodeKind Kind, std::string_view Name);
/// Returns whether children inherit the setting.
bool isInherited(std::string_view Name);
/// Returns the default of a setting, or an empty text for an unknown one.
std::string_view settingDefault(std::string_view Name);

} // namespace figsail

#endif // FIGSAIL_NODESETTINGTABLE_H
