// OperatorJson.h - JSON results of the methods of the operator interface.

#ifndef FIGSAIL_OPERATORJSON_H
#define FIGSAIL_OPERATORJSON_H

#include "OperatorServer.h"

#include <jsonrpccpp/common/jsonparser.h>

namespace figsail {

Json::Value statusJson(const OperatorView &View);
Json::Value countersJson(const Metrics &DaemonMetrics);
/// Times in microseconds.
Json::Value latenciesJson(const Metrics &DaemonMetrics);
Json::Value membersJson(const ReplicatedState &State);
Json::Value configurationJson(const ReplicatedState &State);
Json::Value verdictJson(const ReplicatedState &State,
                        const std::string &ChangeId);
Json::Value timelineJson(const OperatorView &View, std::uint64_t AfterLamport);

} // namespace figsail

#endif // FIGSAIL_OPERATORJSON_H
