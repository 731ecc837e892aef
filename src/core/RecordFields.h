// RecordFields.h - JSON encoding of values used in both log records and
// snapshots.

#ifndef FIGSAIL_RECORDFIELDS_H
#define FIGSAIL_RECORDFIELDS_H

#include "figsail/LogRecords.h"

#include "JsonReader.h"

namespace figsail {

boost::json::object writeMember(const Member &Listed);
Member readMember(const boost::json::value &Source, std::string &Error);

boost::json::object writeSettings(const SettingMap &Settings);
SettingMap readSettings(JsonReader &Reader, std::string_view Name);

/// Reads the name of a node kind from the field "kind".
NodeKind readKind(JsonReader &Reader);

} // namespace figsail

#endif // FIGSAIL_RECORDFIELDS_H
