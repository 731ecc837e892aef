// SidecarPlatform.h - Interfaces between a sidecar and the platform it runs on.
//
// Implementations translate names, formats and calls. The reducer makes all
// decisions.

#ifndef FIGSAIL_SIDECARPLATFORM_H
#define FIGSAIL_SIDECARPLATFORM_H

#include "BackendFields.h"
#include "SidecarEvents.h"
#include "SidecarSettings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace figsail {

/// Codec for the platform's header fields of requests and responses.
class RequestFields : public BackendFields {
public:
  /// Decodes a client's request. Removes fields that only figsail may set, and
  /// sets the field with the name of the calling service.
  virtual ClientRequest decodeRequest(CallerId Caller,
                                      HttpRequest Request) const = 0;
  /// Adds a field with the only instance of a backend server that may run the
  /// request.
  virtual void requireInstance(HttpRequest &Request,
                               const std::string &Instance) const = 0;
  /// Sets the field with the name of the client's workspace; removes it if the
  /// name is empty.
  virtual void setWorkspace(HttpRequest &Request,
                            const std::string &Workspace) const = 0;
  /// Reads the fields that a backend server adds to a response for figsail.
  virtual ResponseMetadata readMetadata(const HttpResponse &Response) const = 0;
  /// Reads the fields of a health response.
  virtual ServerProbeResult readProbe(const ProbeDone &Probe) const = 0;
};

/// HTTP status and reason for a malformed request on the control interface.
struct InvalidReport {
  unsigned Status = 400;
  std::string Reason;
};
using Report = std::variant<ServerHeartbeat, ServerLeave, InvalidReport>;

/// Codec for requests and responses of the control interface.
class ReportCodec {
public:
  virtual ~ReportCodec() = default;
  virtual Report decode(std::string_view Method, std::string_view Target,
                        std::string_view Body) const = 0;
  /// Returns the content type and the body of the response to an accepted
  /// report.
  virtual std::pair<std::string, std::string> acknowledgement() const = 0;
  /// Returns whether the target is that of a readiness request.
  virtual bool isReadinessRequest(std::string_view Target) const = 0;
};

/// Receiver of the results of requests to the store.
class StoreHandler {
public:
  virtual ~StoreHandler() = default;
  virtual void storeEvent(SidecarEventBody Event) = 0;
};

/// Client of the platform's store. At most one read of a topic, one hedged read
/// of it and one append are in flight at any time. Each ends with one event,
/// unless it is abandoned.
class TopicStore {
public:
  virtual ~TopicStore() = default;
  virtual void readSnapshot(const ReadTopicSnapshot &Wanted) = 0;
  virtual void read(const ReadTopic &Range) = 0;
  virtual void append(const Announcement &Content) = 0;
  /// Gives up the reads of a topic that are in flight.
  virtual void abandonReads(Topic Which) = 0;
  /// Sets the timeout of the next calls, except hedged reads.
  virtual void setTimeout(Duration Timeout) = 0;
  /// Removes the announcement of a host. Counts as an append.
  virtual void removeHost(const HostId &Host) = 0;
  /// Appends the share record of a rollout. Counts as an append.
  virtual void appendShare(const RolloutShare &Share) = 0;
  /// Appends or removes the record of a blocked request. Counts as an append.
  virtual void appendBlocked(const BlockedRequest &Record) = 0;
  /// Reads the rollout status of all services. At most one read or write of the
  /// status is in flight at any time.
  virtual void readRolloutStatus() = 0;
  /// Writes a rollout status if the status topic ends at End.
  virtual void writeRolloutStatus(const RolloutStatus &Status, Offset End) = 0;
  /// Changes the address of the store, from the next request on.
  virtual void setAddress(const std::string &Address) = 0;
};

/// Addresses at which a sidecar listens, and of the processes it connects to.
struct SidecarAddresses {
  std::string Clients;
  std::string Readiness;
  std::string Control;
  std::string Metrics;
  std::string Server; ///< The backend server.
  std::string Store;
};

/// Complete configuration of a sidecar at its start.
struct SidecarConfiguration {
  SidecarSettings Settings;
  SidecarAddresses Addresses;
  std::size_t MaxClientConnections = 250;
};

/// The current settings, or a description of the fault in them.
using SettingsReadResult = std::variant<SidecarConfiguration, std::string>;

/// The platform's implementations of the interfaces, for one sidecar.
struct SidecarPlatform {
  std::shared_ptr<const RequestFields> Fields;
  std::unique_ptr<const RecordDecoder> Records;
  std::unique_ptr<ReportCodec> Reports;
  std::unique_ptr<TopicStore> Store;
  std::function<SettingsReadResult()> ReadSettings;
};

} // namespace figsail

#endif // FIGSAIL_SIDECARPLATFORM_H
