// SidecarPlatform.h - What a sidecar needs of the platform it runs on. The
// implementations translate names, formats and calls; decisions are made by the
// reducer.

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

/// Header fields of requests and responses.
class RequestFields : public BackendFields {
public:
  /// Decodes a client's request, removes fields that only figsail may set, and
  /// names the calling service.
  virtual ClientRequest decodeRequest(CallerId Caller,
                                      HttpRequest Request) const = 0;
  /// Names the only backend server that may run the request.
  virtual void requireInstance(HttpRequest &Request,
                               const std::string &Instance) const = 0;
  /// Reads what a response says beside the response.
  virtual ServerNote readMetadata(const HttpResponse &Response) const = 0;
  /// Reads the fields of a health response.
  virtual ServerProbed readProbe(const ProbeDone &Probe) const = 0;
};

/// Why a request on the control interface was not understood.
struct InvalidReport {
  unsigned Status = 400;
  std::string Reason;
};
using Report = std::variant<ServerHeartbeat, ServerLeaves, InvalidReport>;

/// Requests and answers of the control interface.
class ReportCodec {
public:
  virtual ~ReportCodec() = default;
  virtual Report decode(std::string_view Method, std::string_view Target,
                        std::string_view Body) const = 0;
  /// Returns the type and the text of the answer to an accepted report.
  virtual std::pair<std::string, std::string> acknowledgement() const = 0;
  /// Returns whether the target asks for readiness.
  virtual bool isReadinessRequest(std::string_view Target) const = 0;
};

/// Receives the ends of calls to the store.
class StoreHandler {
public:
  virtual ~StoreHandler() = default;
  virtual void storeEvent(SidecarEventBody Event) = 0;
};

/// Calls to the store. At most one read of a topic and one append are under way
/// at any time; each ends in one event.
class TopicStore {
public:
  virtual ~TopicStore() = default;
  virtual void readSnapshot(Topic Which) = 0;
  virtual void read(const ReadTopic &Range) = 0;
  virtual void append(const Announcement &Content) = 0;
  /// Drops the announcement of a host; counts as an append.
  virtual void removeHost(const HostId &Host) = 0;
  /// The store has another address from the next call on.
  virtual void setAddress(const std::string &Address) = 0;
};

/// Where a sidecar listens and whom it calls.
struct SidecarAddresses {
  std::string Clients;
  std::string Readiness;
  std::string Control;
  std::string Metrics;
  std::string Server; ///< The backend server.
  std::string Store;
};

/// Everything a sidecar learns when it starts.
struct SidecarConfiguration {
  SidecarSettings Settings;
  SidecarAddresses Addresses;
  std::size_t MaxClientConnections = 250;
};

/// The settings as they are now, or what is wrong with them.
using SettingsReadResult = std::variant<SidecarConfiguration, std::string>;

/// The platform's side of one sidecar.
struct SidecarPlatform {
  std::shared_ptr<const RequestFields> Fields;
  std::unique_ptr<const RecordDecoder> Records;
  std::unique_ptr<ReportCodec> Reports;
  std::unique_ptr<TopicStore> Store;
  std::function<SettingsReadResult()> ReadSettings;
};

} // namespace figsail

#endif // FIGSAIL_SIDECARPLATFORM_H
