// FakeCluster.h - Simulation of several Node reducers with fake links, backend
// servers and log, in virtual time with a fixed seed.

#ifndef FIGSAIL_FAKECLUSTER_H
#define FIGSAIL_FAKECLUSTER_H

#include "figsail/Node.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace figsail::test {

/// Answer that a caller received, if any.
struct CallResult {
  std::string Identity;
  HostId Ingress;
  bool Answered = false;
  HttpResponse Response;
  /// Returns the value of Figsail-Run, or empty for an answer of a backend
  /// server.
  std::string run() const {
    return std::string(findHeader(Response.Headers, "Figsail-Run"));
  }
  bool ok() const { return Answered && Response.Status == 200; }
};

class FakeCluster {
public:
  explicit FakeCluster(std::uint64_t Seed) : Random(Seed) {}

  /// Adds and starts a host. Returns its name.
  HostId add(const std::string &Region, const std::string &Domain,
             const std::string &Service);
  /// Ends the process without a drain; peers lose their links.
  void kill(const HostId &Host);
  /// Starts a new incarnation on a killed host.
  void restart(const HostId &Host);
  /// Events wait until resume(); links stay open.
  void pause(const HostId &Host) { at(Host).Paused = true; }
  void resume(const HostId &Host);
  void stop(const HostId &Host) { deliver(Host, StopRequested{}); }

  /// Delivers a message that Tap dropped earlier.
  void inject(const PeerRef &From, const HostId &To, PeerMessage Message) {
    deliver(To, PeerReceived{From, std::move(Message)});
  }
  PeerRef ref(const HostId &Name) { return {Name, at(Name).Self.Inc}; }

  /// Sends a caller's request to an ingress. The index stays valid for
  /// result().
  std::size_t call(const HostId &Ingress, const std::string &Method,
                   const std::string &Target, const std::string &Identity);
  const CallResult &result(std::size_t Index) const { return Results[Index]; }
  const std::vector<CallResult> &results() const { return Results; }

  /// Appends a record to the log as an operator does.
  void append(const RecordBody &Body) {
    Log.push_back(encodeRecord(Body));
    serveReads();
  }
  void run(Duration For);

  std::uint64_t random(std::uint64_t Below) { return Random() % Below; }
  Node &node(const HostId &Host) { return *at(Host).Process; }
  bool up(const HostId &Host) const {
    return Hosts.at(Host).Process != nullptr;
  }
  bool exited(const HostId &Host) const { return Hosts.at(Host).Exited; }
  std::vector<HostId> hosts() const;

  bool LogDown = false;
  bool LoseAppendAnswers =
      false; ///< Appends take effect, but their outcome is unknown.
  Duration MinDelay{200};
  Duration MaxDelay{2000};
  Duration ServiceTime{5000};
  /// Returns whether messages between two hosts are dropped while their links
  /// stay open.
  std::function<bool(const HostId &, const HostId &)> Cut =
      [](const HostId &, const HostId &) { return false; };
  /// Called for each message when it is sent; may change it. Return false to
  /// drop it silently.
  std::function<bool(const HostId &, const HostId &, PeerMessage &)> Tap =
      [](const HostId &, const HostId &, PeerMessage &) { return true; };
  /// Returns whether a run crashes its backend server.
  std::function<bool(const HttpRequest &)> Crashes = [](const HttpRequest &) {
    return false;
  };

  /// Runs started on backend servers, by identity.
  std::map<std::string, std::vector<HostId>> RunsByIdentity;
  /// When and where runs were started.
  std::vector<std::pair<TimePoint, HostId>> RunTimes;
  TimePoint Now{std::chrono::hours(1)};
  std::vector<std::string> Log;

private:
  struct Host {
    Member Self;
    std::unique_ptr<Node> Process;
    Duration ClockOffset{0}; ///< Clocks of two hosts differ by hours.
    bool Paused = false;
    bool Exited = false;
    bool LinksReset = false; ///< Set by ResetAllPeers, until the next resume().
    std::deque<EventBody> PendingEvents; ///< While paused.
    std::uint64_t Generation = 0;        ///< Counts restarts.
    std::map<RunId, std::uint64_t>
        Runs; ///< Runs in flight; the value is unused.
    std::optional<std::pair<Offset, TimePoint>>
        Read; ///< Delayed read of the log.
    TimePoint TimerAt = TimePoint::max();
  };
  struct ScheduledAction {
    TimePoint At;
    std::uint64_t Order = 0;
    std::function<void()> Action;
    bool operator>(const ScheduledAction &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  Host &at(const HostId &Name) { return Hosts.at(Name); }
  void start(Host &Which);
  void schedule(Duration After, std::function<void()> Action);
  void deliver(const HostId &Name, EventBody Body);
  void performEffect(Host &From, Effect &Action);
  void send(Host &From, const HostId &To, PeerMessage Message);
  void startRun(Host &On, RunBackend &Run);
  void crashBackend(Host &On);
  void readLog(Host &Reader, const ReadLog &Read);
  void serveReads();
  Duration delay();

  std::mt19937_64 Random;
  std::map<HostId, Host> Hosts;
  std::vector<CallResult> Results;
  std::priority_queue<ScheduledAction, std::vector<ScheduledAction>,
                      std::greater<>>
      ScheduledActions;
  std::uint64_t NextOrder = 0;
  std::map<std::pair<HostId, HostId>, TimePoint>
      LinkFreeAt; ///< When a link can deliver its next message; keeps the
                  ///< order.
  std::map<std::pair<HostId, HostId>, std::uint64_t> LinkGeneration;
};

inline HostId FakeCluster::add(const std::string &Region,
                               const std::string &Domain,
                               const std::string &Service) {
  HostId Name = "10.0.0." + std::to_string(Hosts.size() + 1) + ":1";
  Host &New = Hosts[Name];
  New.Self = {Name, 0, Name, Name, Region, Domain, Service, 10};
  New.ClockOffset = std::chrono::minutes(random(600));
  start(New);
  return Name;
}

inline void FakeCluster::start(Host &Which) {
  Which.Self.Inc = Random() | 1;
  ++Which.Generation;
  Which.Exited = false;
  NodeSettings Settings;
  Settings.Self = Which.Self;
  for (const auto &[Name, Other] : Hosts)
    if (Name != Which.Self.Host)
      Settings.Seeds.push_back(Name);
  Settings.Seeds.resize(std::min<std::size_t>(Settings.Seeds.size(), 2));
  Settings.AdmissionControl.Region = Which.Self.Region;
  Settings.AdmissionControl.Slots = Which.Self.Slots;
  Which.Process = std::make_unique<Node>(std::move(Settings));
  deliver(Which.Self.Host, TimerFired{});
}

inline void FakeCluster::kill(const HostId &Name) {
  Host &Which = at(Name);
  Which.Process.reset();
  Which.Paused = false;
  Which.PendingEvents.clear();
  Which.Runs.clear();
  Which.Read.reset();
  ++Which.Generation;
  for (auto &[Peer, Other] : Hosts) {
    ++LinkGeneration[{Name, Peer}];
    ++LinkGeneration[{Peer, Name}];
    if (!Other.Process || Peer == Name || Cut(Name, Peer))
      continue;
    schedule(delay(), [this, Peer = Peer, Name] {
      deliver(Peer, PeerLost{Name, {}});
    });
  }
}

inline void FakeCluster::restart(const HostId &Name) {
  if (!up(Name))
    start(at(Name));
}

inline void FakeCluster::resume(const HostId &Name) {
  Host &Which = at(Name);
  Which.Paused = false;
  std::deque<EventBody> PendingEvents = std::move(Which.PendingEvents);
  Which.PendingEvents.clear();
  Which.LinksReset = false;
  for (EventBody &Body : PendingEvents) {
    // Messages not read yet were dropped with the links.
    if (Which.LinksReset && std::holds_alternative<PeerReceived>(Body))
      continue;
    deliver(Name, std::move(Body));
  }
}

inline std::vector<HostId> FakeCluster::hosts() const {
  std::vector<HostId> Names;
  for (const auto &[Name, Which] : Hosts)
    Names.push_back(Name);
  return Names;
}

inline Duration FakeCluster::delay() {
  return MinDelay + Duration(random((MaxDelay - MinDelay).count() + 1));
}

inline void FakeCluster::schedule(Duration After,
                                  std::function<void()> Action) {
  ScheduledActions.push({Now + After, NextOrder++, std::move(Action)});
}

inline void FakeCluster::run(Duration For) {
  TimePoint End = Now + For;
  while (!ScheduledActions.empty() && ScheduledActions.top().At <= End) {
    auto Action = ScheduledActions.top().Action;
    Now = std::max(Now, ScheduledActions.top().At);
    ScheduledActions.pop();
    Action();
  }
  Now = End;
}

inline void FakeCluster::deliver(const HostId &Name, EventBody Body) {
  Host &Which = at(Name);
  if (!Which.Process)
    return;
  if (Which.Paused) {
    Which.PendingEvents.push_back(std::move(Body));
    return;
  }
  EffectList Effects = Which.Process->apply(
      {Now + Which.ClockOffset, Random(), std::move(Body)});
  for (Effect &Action : Effects)
    performEffect(Which, Action);
  if (!Which.Process)
    return;
  TimePoint Wake = Which.Process->nextWake();
  if (Wake == TimePoint::max())
    return;
  Wake = std::max(Wake - Which.ClockOffset, Now + Duration(100));
  if (Wake >= Which.TimerAt && Which.TimerAt > Now)
    return;
  Which.TimerAt = Wake;
  schedule(Wake - Now, [this, Name, Generation = Which.Generation, Wake] {
    Host &Target = at(Name);
    if (Target.Generation != Generation || Target.TimerAt != Wake)
      return;
    Target.TimerAt = TimePoint::max();
    deliver(Name, TimerFired{});
  });
}

inline void FakeCluster::performEffect(Host &From, Effect &Action) {
  const HostId &Name = From.Self.Host;
  if (auto *Reply = std::get_if<ReplyCaller>(&Action)) {
    CallResult &Result = Results.at(Reply->Caller);
    Result.Answered = true;
    Result.Response = std::move(Reply->Response);
  } else if (auto *Send = std::get_if<SendPeer>(&Action)) {
    send(From, Send->Host, std::move(Send->Message));
  } else if (auto *Reset = std::get_if<ResetPeer>(&Action)) {
    ++LinkGeneration[{Name, Reset->Host}];
    ++LinkGeneration[{Reset->Host, Name}];
  } else if (std::holds_alternative<ResetAllPeers>(Action)) {
    From.LinksReset = true;
    for (const auto &[Peer, Other] : Hosts) {
      ++LinkGeneration[{Name, Peer}];
      ++LinkGeneration[{Peer, Name}];
    }
  } else if (auto *Run = std::get_if<RunBackend>(&Action)) {
    startRun(From, *Run);
  } else if (auto *Cancelled = std::get_if<CancelRun>(&Action)) {
    if (From.Runs.erase(Cancelled->Run))
      schedule(Duration(1), [this, Name, Run = Cancelled->Run] {
        deliver(Name, BackendDone{Run, BackendError::Cancelled});
      });
  } else if (std::holds_alternative<ProbeBackend>(Action)) {
    schedule(Duration(5000), [this, Name] {
      deliver(Name, ProbeDone{true, Duration(5000)});
    });
  } else if (auto *Read = std::get_if<ReadLog>(&Action)) {
    readLog(From, *Read);
  } else if (auto *Append = std::get_if<AppendLog>(&Action)) {
    bool Lost = LogDown || LoseAppendAnswers;
    if (!LogDown)
      Log.push_back(Append->Data);
    Offset Written = Lost ? NoOffset : static_cast<Offset>(Log.size()) - 1;
    schedule(delay(), [this, Name, Id = Append->Append, Written] {
      deliver(Name, AppendDone{Id, Written});
    });
    serveReads();
  } else if (std::holds_alternative<ExitProcess>(Action)) {
    schedule(Duration(0), [this, Name] {
      kill(Name);
      at(Name).Exited = true;
    });
  }
}

inline void FakeCluster::send(Host &From, const HostId &To,
                              PeerMessage Message) {
  const HostId &Name = From.Self.Host;
  PeerRef Sender{Name, From.Self.Inc};
  if (!Tap(Name, To, Message) || Cut(Name, To))
    return;
  bool Unreachable = !Hosts.contains(To) || !up(To);
  if (Unreachable) {
    schedule(delay(), [this, Name, To, Message = std::move(Message),
                       Generation = From.Generation] {
      if (at(Name).Generation == Generation)
        deliver(Name, PeerLost{To, {Message}});
    });
    return;
  }
  TimePoint &FreeAt = LinkFreeAt[{Name, To}];
  FreeAt = std::max(FreeAt, Now + delay());
  schedule(FreeAt - Now, [this, Sender, To, Message = std::move(Message),
                          Link = LinkGeneration[{Name, To}],
                          Receiver = at(To).Generation] {
    bool SameLink = LinkGeneration[{Sender.Host, To}] == Link;
    if (SameLink && at(To).Generation == Receiver && !Cut(Sender.Host, To))
      deliver(To, PeerReceived{Sender, Message});
  });
}

inline void FakeCluster::startRun(Host &On, RunBackend &Run) {
  const HostId &Name = On.Self.Host;
  std::string Identity(findHeader(Run.Request.Headers, "Booking-Id"));
  RunsByIdentity[Identity].push_back(Name);
  RunTimes.emplace_back(Now, Name);
  On.Runs[Run.Run] = 1;
  bool Crash = Crashes(Run.Request);
  Duration RunTime = ServiceTime / 2 + Duration(random(ServiceTime.count()));
  schedule(RunTime, [this, Name, Id = Run.Run, Crash, Identity,
                     Generation = On.Generation] {
    Host &RunHost = at(Name);
    if (RunHost.Generation != Generation || !RunHost.Runs.contains(Id))
      return;
    if (Crash)
      return crashBackend(RunHost);
    RunHost.Runs.erase(Id);
    HttpResponse Response;
    Response.Status = 200;
    Response.Body = Identity + " at " + Name;
    deliver(Name, BackendDone{Id, Response});
  });
}

inline void FakeCluster::crashBackend(Host &On) {
  std::map<RunId, std::uint64_t> Lost = std::move(On.Runs);
  On.Runs.clear();
  for (const auto &[Id, Unused] : Lost)
    deliver(On.Self.Host, BackendDone{Id, BackendError::Broken});
}

inline void FakeCluster::readLog(Host &Reader, const ReadLog &Read) {
  if (LogDown) {
    schedule(delay(),
             [this, Name = Reader.Self.Host, Generation = Reader.Generation] {
               if (at(Name).Generation == Generation)
                 deliver(Name, LogReadFailed{});
             });
    return;
  }
  TimePoint Until = Now + Read.Wait;
  Reader.Read = {Read.From, Until};
  schedule(Read.Wait + Duration(1), [this] { serveReads(); });
  schedule(Duration(1), [this] { serveReads(); });
}

inline void FakeCluster::serveReads() {
  for (auto &[Name, Which] : Hosts) {
    if (!Which.Read)
      continue;
    auto [From, Until] = *Which.Read;
    auto Next = static_cast<Offset>(Log.size());
    if (From >= Next && Now < Until && !LogDown)
      continue;
    Which.Read.reset();
    LogRead Result;
    Result.Next = Next;
    for (Offset At = std::max<Offset>(From, 0); At < Next; ++At)
      Result.Batch.push_back({At, Log[At]});
    bool Failed = LogDown;
    schedule(delay(), [this, Name = Name, Result, Failed,
                       Generation = Which.Generation] {
      if (at(Name).Generation != Generation)
        return;
      if (Failed)
        deliver(Name, LogReadFailed{});
      else
        deliver(Name, Result);
    });
  }
}

inline std::size_t FakeCluster::call(const HostId &Ingress,
                                     const std::string &Method,
                                     const std::string &Target,
                                     const std::string &Identity) {
  std::size_t Index = Results.size();
  CallResult Result;
  Result.Identity = Identity;
  Result.Ingress = Ingress;
  Results.push_back(std::move(Result));
  HttpRequest Request;
  Request.Method = Method;
  Request.Target = Target;
  Request.Headers = {{"Booking-Id", Identity}};
  deliver(Ingress, CallerRequest{Index, std::move(Request)});
  return Index;
}

} // namespace figsail::test

#endif // FIGSAIL_FAKECLUSTER_H
