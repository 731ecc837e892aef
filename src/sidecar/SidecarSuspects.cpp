// SidecarSuspects.cpp - Requests that crash backend servers: what daemons tell
// each other, and the records of those that are blocked.

#include "Sidecar.h"

#include <utility>

namespace figsail {

/// Reports requests that may crash servers to the daemons of the service's
/// other servers. When such a request is resent, any of them may receive it.
void Sidecar::reportSuspects(Step &S) {
  for (const SuspectReport &Report : Gate.takeSuspicionReports()) {
    Decision Line{LogLevel::Warning,
                  Report.Crashes > 0 ? "request-suspected" : "request-cleared",
                  {}};
    Line.Fields = {{"fingerprint", std::to_string(Report.Fingerprint)},
                   {"crashes", std::to_string(Report.Crashes)},
                   {"instance", Gate.server().instance()}};
    S.Out.emplace_back(std::move(Line));
    S.Out.emplace_back(Count{Counter::Suspects});
    blockIfCrashing(S, Report, true);
    for (const auto &[Host, Announced] : Directory.all())
      if (Host != Settings.Host &&
          Announced.Service == Gate.server().service() &&
          Announced.State != InstanceState::Absent)
        S.Out.emplace_back(SendPeer{Host, Report});
  }
}

/// A daemon that counts fewer crashes than this one has missed reports.
void Sidecar::handleSuspicion(Step &S, const PeerRef &From,
                              const SuspectReport &Message) {
  if (auto Known = Gate.mergeSuspicion(S.Now, Message))
    S.Out.emplace_back(SendPeer{From.Host, *Known});
  blockIfCrashing(S, Message, false);
}

/// Blocks a request for good if the crashes that this daemon knows of suffice.
void Sidecar::blockIfCrashing(Step &S, const SuspectReport &Report,
                              bool Counted) {
  const std::string &Service = Gate.server().service();
  if (Report.Crashes == 0 ||
      !Gate.isBlockedByCrashes(S.Now, Report.Fingerprint))
    return;
  BlockedRequests &Blocked = Gate.blockedRequests();
  if (!Blocked.contains(S.Now, Service, Report.Fingerprint)) {
    Decision Line{LogLevel::Warning, "request-blocked", {}};
    Line.Fields = {{"fingerprint", std::to_string(Report.Fingerprint)},
                   {"service", Service},
                   {"from", Counted ? "crashes" : "report"}};
    S.Out.emplace_back(std::move(Line));
  }
  Blocked.block(S.Now, Report.Fingerprint, Duration(Report.AgeMicros), Counted);
}

/// Sends what is known of requests that crash servers to a daemon that may have
/// started since it was reported.
void Sidecar::sendKnownSuspects(Step &S, const HostId &Host) {
  const Announcement *Peer = Directory.find(Host);
  // A daemon that has just started does not know its server yet.
  bool MayServe = Peer && (Peer->Service.empty() ||
                           Peer->Service == Gate.server().service());
  if (!MayServe || Host == Settings.Host)
    return;
  for (const SuspectReport &Report : Gate.knownSuspicions(S.Now))
    S.Out.emplace_back(SendPeer{Host, Report});
}

/// Returns whether an announcement is the first one that names a server of the
/// own service: the daemon has started, or its server has come back. Reports
/// that were sent before did not go there.
bool Sidecar::joinsOwnService(const Announcement *Before,
                              const Announcement &Body) const {
  bool Serves = Body.State != InstanceState::Absent &&
                Body.Service == Gate.server().service();
  bool Served = Before && Before->State != InstanceState::Absent &&
                Before->Service == Body.Service &&
                Before->Order.Inc == Body.Order.Inc;
  return Serves && !Served;
}

void Sidecar::applyRecord(Step &S, const RecordOrigin &Origin,
                          BlockedRequest &Body) {
  Decision Line{LogLevel::Info,
                Body.Active ? "request-blocked" : "request-unblocked",
                {}};
  Line.Fields = {{"fingerprint", std::to_string(Body.Fingerprint)},
                 {"service", Body.Service},
                 {"key", Body.Key},
                 {"from", Origin.From}};
  S.Out.emplace_back(std::move(Line));
  Gate.blockedRequests().apply(S.Now, Body);
}

} // namespace figsail
