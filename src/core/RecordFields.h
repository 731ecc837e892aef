// RecordFields.h - JSON of the values that log records and snapshots share.

#ifndef FIGSAIL_RECORDFIELDS_H
#define FIGSAIL_RECORDFIELDS_H

#include "figsail/LogRecords.h"

#include "JsonReader.h"

namespace figsail {

boost::json::object writeMember(const Member &Who);
Member readMember(const boost::json::value &Source, std::string &Error);

boost::json::object writeSettings(const SettingMap &Settings);
SettingMap readSettings(JsonReader &Reader, std::string_view Name);

/// Reads the name of a node kind from the field "kind".
NodeKind readKind(JsonReader &Reader);

} // namespace figsail

#endif // FIGSAIL_RECORDFIELDS_H
