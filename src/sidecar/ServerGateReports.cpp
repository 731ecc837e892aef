// ServerGateReports.cpp - What the backend server says of itself: in
// heartbeats, to probes, in responses, and through ingresses that remember it.

#include "ServerGate.h"

#include <utility>

namespace figsail {

using namespace std::chrono_literals;

/// How long a server counts as cold after its failure domain returns to
/// service, unless it reports otherwise. Longer than the time between two
/// heartbeats.
static constexpr Duration ReturnColdTime = 3s;
/// How long a server that a predecessor announced is probed: until its next
/// heartbeat, which may be one interval late.
static constexpr Duration ExpectDuration = 3s;

// Heartbeats, leaves and probes.

/// The first heartbeat after the start may have been sent before a leave that a
/// predecessor of this daemon has acknowledged. The store need not know of that
/// leave, but the server does.
ReportVerdict ServerGate::heartbeat(GateStep &Step,
                                    const ServerHeartbeat &Report) {
  if (Server.mustConfirm(Step.Now, Report))
    return awaitConfirmation(Step.Now, Report);
  return acceptHeartbeat(Step, Report);
}

ReportVerdict ServerGate::awaitConfirmation(TimePoint Now,
                                            const ServerHeartbeat &Report) {
  bool Older = FirstReport && Report.StartMillis < FirstReport->StartMillis;
  if (!Older)
    FirstReport = Report;
  ExpectedUntil = Now + ExpectDuration;
  if (!Probing)
    LastProbeAt = TimePoint{};
  return ReportVerdict::Unconfirmed;
}

ReportVerdict ServerGate::acceptHeartbeat(GateStep &Step,
                                          const ServerHeartbeat &Report) {
  std::string PreviousInstance = Server.instance();
  std::int64_t PreviousStart = Server.startMillis();
  bool WasCold = Server.cold(Step.Now);
  ReportVerdict Verdict = Server.heartbeat(Step.Now, Report);
  ExpectedServer.reset();
  FirstReport.reset();
  bool OtherInstance = Server.instance() != PreviousInstance;
  bool OtherStart = PreviousStart != 0 && Server.startMillis() != PreviousStart;
  if (OtherInstance || OtherStart) {
    RateLimit.reset();
    StartsSinceProbe = 0;
  }
  chargeStartsWhileCold(Step.Now, WasCold);
  if (!PreviousInstance.empty() && PreviousStart != 0 &&
      (OtherInstance || OtherStart))
    Crashes.serverLost(Step.Now);
  if (Verdict == ReportVerdict::Changed || Verdict == ReportVerdict::Unchanged)
    Unreachable = false;
  if (Server.state() != InstanceState::Ready)
    refuseWaiting(Step, ErrorKind::Draining);
  startWaiting(Step);
  return Verdict;
}

ReportVerdict ServerGate::leave(GateStep &Step, const ServerLeave &Report) {
  ReportVerdict Verdict = Server.leave(Report);
  if (Server.state() != InstanceState::Ready)
    refuseWaiting(Step, ErrorKind::Draining);
  return Verdict;
}

void ServerGate::evacuate(GateStep &Step, bool Out) {
  if (Out == Evacuated)
    return;
  Evacuated = Out;
  if (Out)
    return refuseWaiting(Step, ErrorKind::Draining);
  Server.setCold(Step.Now, ReturnColdTime);
  LastProbeAt = TimePoint{};
}

void ServerGate::expectServer(TimePoint Now, AnnouncedServer Announced) {
  if (!Server.instance().empty())
    return;
  ExpectedServer = std::move(Announced);
  ExpectedUntil = Now + ExpectDuration;
  LastProbeAt = TimePoint{};
}

void ServerGate::rememberLeft(GateStep &Step, const ServerIncarnation &Gone) {
  Server.rememberLeft(Gone);
  if (Server.state() == InstanceState::Draining)
    refuseWaiting(Step, ErrorKind::Draining);
}

/// Returns the start of the server of an instance, if a heartbeat or the
/// predecessor's announcement names it, or 0.
static std::int64_t startOf(const std::string &Instance,
                            const std::optional<ServerHeartbeat> &Reported,
                            const std::optional<AnnouncedServer> &Announced) {
  if (Reported && Reported->Instance == Instance)
    return Reported->StartMillis;
  if (Announced && Announced->Instance == Instance)
    return Announced->StartMillis;
  return 0;
}

/// Uses the server of the first heartbeat, or else of the predecessor's
/// announcement, if the probe found it healthy. A server that is leaving does
/// not report itself as healthy.
void ServerGate::confirmServer(GateStep &Step, const ServerProbeResult &Probe) {
  if (!expectsServer() || Probe.Instance.empty())
    return;
  auto Announced = std::exchange(ExpectedServer, std::nullopt);
  auto Reported = std::exchange(FirstReport, std::nullopt);
  if (Probe.Terms.Leaving)
    Server.rememberLeft(
        {Probe.Instance, startOf(Probe.Instance, Reported, Announced)});
  else if (Probe.Healthy && Reported && Reported->Instance == Probe.Instance)
    acceptHeartbeat(Step, *Reported);
  else if (Probe.Healthy && Announced && Announced->Instance == Probe.Instance)
    Server.recover(Step.Now, *Announced);
  if (Server.state() != InstanceState::Absent)
    return;
  Decision Line{LogLevel::Warning, "server-unconfirmed", {}};
  Line.Fields = {{"reported", Reported ? Reported->Instance : ""},
                 {"announced", Announced ? Announced->Instance : ""},
                 {"instance", Probe.Instance},
                 {"healthy", Probe.Healthy ? "yes" : "no"},
                 {"leaving", Probe.Terms.Leaving ? "yes" : "no"}};
  Step.Out.emplace_back(std::move(Line));
}

void ServerGate::probeEnded(GateStep &Step, const ServerProbeResult &Probe) {
  Probing = false;
  confirmServer(Step, Probe);
  if (Probe.Load)
    updateLoad(Step.Now, *Probe.Load);
  bool SameInstance =
      !Probe.Instance.empty() && Probe.Instance == Server.instance();
  if (SameInstance)
    Unreachable = false;
  bool WasCold = Server.cold(Step.Now);
  if (SameInstance && Probe.Cold)
    Server.setCold(Step.Now, *Probe.Cold);
  chargeStartsWhileCold(Step.Now, WasCold);
  if (SameInstance)
    StartsSinceProbe = 0;
  if (SameInstance)
    applyTerms(Step, Step.Now, Probe.Terms, TermsSource::Probe);
  startWaiting(Step);
}

// Terms of the server.

std::optional<ServerNotice> ServerGate::notice(TimePoint Now) const {
  if (!RateLimit.perSecond() && !Server.leaving())
    return std::nullopt;
  ServerNotice Newest;
  Newest.Leaving = Server.leaving();
  Newest.Instance = Server.instance();
  Newest.StartMillis = Server.startMillis();
  Newest.RateLimit = RateLimit.perSecond();
  Newest.Age = Now - RateLimit.saidAt();
  return Newest;
}

/// Applies what an ingress knows of the server. It matters to a daemon that has
/// just started.
void ServerGate::applyNotice(GateStep &Step, const ServerNotice &Notice) {
  if (!Notice.incarnation().maybeSameAs(Server.incarnation()))
    return;
  ServerTerms Terms;
  Terms.RateLimit = Notice.RateLimit;
  Terms.Leaving = Notice.Leaving;
  applyTerms(Step, Step.Now - Notice.Age, Terms, TermsSource::Peer);
}

/// Applies what the server, in its present instance, says of the requests that
/// it takes.
void ServerGate::applyTerms(GateStep &Step, TimePoint SaidAt,
                            const ServerTerms &Terms, TermsSource Source) {
  if (Terms.Leaving && Server.setLeaving()) {
    Decision Line{LogLevel::Warning, "server-leaving", {}};
    Line.Fields = {{"instance", Server.instance()},
                   {"source", std::string(termsSourceName(Source))}};
    Step.Out.emplace_back(std::move(Line));
    refuseWaiting(Step, ErrorKind::Draining);
  }
  logUnusableLimit(Step, Terms);
  std::optional<double> Before = RateLimit.perSecond();
  if (!RateLimit.apply(Step.Now, SaidAt, Terms, Source))
    return;
  auto Text = [](const std::optional<double> &Limit) {
    return Limit ? std::to_string(*Limit) : std::string("none");
  };
  Decision Line{LogLevel::Warning, "server-limit", {}};
  Line.Fields = {{"instance", Server.instance()},
                 {"per_second", Text(RateLimit.perSecond())},
                 {"before", Text(Before)},
                 {"source", std::string(termsSourceName(Source))}};
  Step.Out.emplace_back(std::move(Line));
}

/// Logs once that the server names a limit that is no number. The limit from
/// before stays in force.
void ServerGate::logUnusableLimit(GateStep &Step, const ServerTerms &Terms) {
  if (std::exchange(LimitUnusable, Terms.RateLimitUnusable) ||
      !Terms.RateLimitUnusable)
    return;
  Decision Line{LogLevel::Warning, "server-limit-unusable", {}};
  Line.Fields = {{"instance", Server.instance()}};
  Step.Out.emplace_back(std::move(Line));
}

} // namespace figsail
