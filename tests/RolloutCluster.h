// RolloutCluster.h - Simulation of a service's rollout in virtual time, with
// reducers, backend servers, clients and the store, without a network.

#ifndef FIGSAIL_TESTS_ROLLOUTCLUSTER_H
#define FIGSAIL_TESTS_ROLLOUTCLUSTER_H

#include "JsonRecordDecoder.h"
#include "Sidecar.h"
#include "SidecarTestSupport.h"
#include "TopicLogs.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace figsail::test {

/// Behavior of a version.
struct ServerBehavior {
  double FailFraction = 0; ///< Of the runs.
  double SlowFraction = 0; ///< Of the runs; they take 4 times as long.
  std::string OnlyRoute;   ///< Empty: on all routes.
  Duration GoodFor{0};     ///< From the order on.
};

/// Simulator with one service of two versions, a store and clients at hosts of
/// another service. Messages between hosts take 2 ms, store calls 10 ms.
class RolloutCluster {
public:
  static constexpr std::size_t ClientHosts = 4;
  static constexpr std::size_t OldHosts = 8;
  static constexpr std::size_t NewHosts = 8;
  static constexpr std::size_t HostCount = ClientHosts + OldHosts + NewHosts;

  explicit RolloutCluster(std::uint64_t Seed) : Random(Seed) {
    Topics.put(Topic::Operator, "config", ConfigText);
    for (std::size_t I = 0; I < HostCount; ++I)
      start(I);
    for (std::size_t I = 0; I < ClientHosts + OldHosts; ++I)
      startServer(I);
    run(3s);
  }

  ServerBehavior NewVersion;
  double RatePerSecond = 200;
  bool StoreAway = false;
  /// Hosts of different groups do not reach each other.
  std::array<unsigned, HostCount> Group{};
  std::array<bool, HostCount> Dead{};

  std::string Target = "v2";
  std::uint64_t Requests = 0; ///< That reached the service since the order.
  std::uint64_t Exposed = 0;  ///< Of them, to servers of version v2.
  std::uint64_t BadAnswers = 0;
  TimePoint FiftiethBad = TimePoint::max();
  TimePoint LastExposed{};
  std::map<unsigned, std::uint64_t> Answers; ///< To clients, by status.
  std::vector<RolloutStatus> Status;         ///< In the order of writing.
  TimePoint OrderedAt;
  TimePoint DecidedAt = TimePoint::max();
  std::map<std::string, std::uint64_t> RunsOfVersion; ///< Since the order.
  TimePoint Now = TestStart;

  void order(const std::string &Version = "v2", int Seconds = 12) {
    OrderedAt = Now;
    Answers.clear();
    DecidedAt = TimePoint::max();
    Topics.put(Topic::Operator, "rollout/stock",
               R"({"Service":"stock","TargetVersion":")" + Version +
                   R"(","DurationS":)" + std::to_string(Seconds) + "}");
  }
  void startNewServers(const std::string &Version = "v2") {
    Target = Version;
    for (std::size_t I = ClientHosts + OldHosts; I < HostCount; ++I)
      startServer(I);
  }
  void stopOldServers() {
    for (std::size_t I = ClientHosts; I < ClientHosts + OldHosts; ++I)
      Dead[I] = true;
  }
  void restart(std::size_t I) {
    start(I);
    Hosts[I].Runs.clear();
  }
  std::string finalState() const {
    return Status.empty() ? "none"
                          : std::string(rolloutStateName(Status.back().State));
  }
  /// The exposure that the settings allow.
  double exposureLimit() const {
    return 0.1 * static_cast<double>(Requests) + 50;
  }

  void run(Duration Time) {
    TimePoint End = Now + Time;
    while (Now < End) {
      for (std::size_t I = 0; I < HostCount; ++I)
        if (!Dead[I] && Hosts[I].Reducer->nextWake() <= Now)
          apply(I, TimerFired{});
      while (!Scheduled.empty() && Scheduled.begin()->first <= Now) {
        auto Action = std::move(Scheduled.begin()->second);
        Scheduled.erase(Scheduled.begin());
        Action();
      }
      Arrivals += RatePerSecond / 1000;
      for (; Arrivals >= 1; Arrivals -= 1)
        request();
      Now += 1ms;
    }
  }

private:
  static constexpr const char *ConfigText =
      R"({"Version":"00000001","Routes":[
      {"Name":"reads","Host":"h","PathPrefix":"/reads/","Kind":"idempotent",
       "TimeoutMs":2000,"TargetLatencyMs":500,"Priority":0,"Attempts":3,
       "Service":"stock"},
      {"Name":"writes","Host":"h","PathPrefix":"/writes/","Kind":"write",
       "TimeoutMs":2000,"TargetLatencyMs":500,"Priority":0,"Attempts":3,
       "Service":"stock"}],
      "Services":[
      {"Name":"stock","HealthPath":"/health","ConnectionLimit":200,
       "ColdPerS":1000},
      {"Name":"front","HealthPath":"/health","ConnectionLimit":200,
       "ColdPerS":1000}]})";

  struct Host {
    std::unique_ptr<Sidecar> Reducer;
    Incarnation Inc = 0;
    bool HasServer = false;
    std::uint64_t Sequence = 0;
    std::map<RunId, bool> Runs;
  };

  static bool isNew(std::size_t I) { return I >= ClientHosts + OldHosts; }
  bool happens(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
  }
  void schedule(Duration Time, std::function<void()> Action) {
    Scheduled.emplace(Now + Time, std::move(Action));
  }

  void start(std::size_t I) {
    SidecarSettings Settings = testSettings(hostName(I));
    Settings.FailureDomain = "d" + std::to_string(I % 4);
    Settings.Service = I < ClientHosts ? "front" : "stock";
    Settings.Inc = ++Hosts[I].Inc;
    Settings.Bounds.UsesRollouts = true;
    Hosts[I].Reducer = std::make_unique<Sidecar>(Settings, Decoder);
    ++Starts;
    apply(I, TimerFired{});
  }
  void startServer(std::size_t I) {
    Hosts[I].HasServer = true;
    sendHeartbeat(I);
  }
  void sendHeartbeat(std::size_t I) {
    if (Dead[I])
      return;
    ServerHeartbeat Own = heartbeat(++Hosts[I].Sequence, "i-" + hostName(I));
    Own.Service = I < ClientHosts ? "front" : "stock";
    Own.Version = isNew(I) ? Target : "v1";
    Own.Slots = 100;
    apply(I, Own);
    schedule(1s, [this, I] { sendHeartbeat(I); });
  }

  void request() {
    std::size_t At = Random() % ClientHosts;
    if (Dead[At])
      return;
    ClientRequest Arrived;
    Arrived.Caller = ++LastCaller;
    Arrived.Id = std::to_string(LastCaller);
    Arrived.Host = "h";
    Arrived.ClientTimeout = 1500ms;
    Arrived.Request.Method = "GET";
    Arrived.Request.Target =
        (LastCaller % 2 == 0 ? "/reads/" : "/writes/") + Arrived.Id;
    apply(At, std::move(Arrived));
  }

  void apply(std::size_t I, SidecarEventBody Body) {
    if (Dead[I])
      return;
    for (SidecarEffect &Effect :
         Hosts[I].Reducer->apply({Now, Random(), std::move(Body)}))
      perform(I, Effect);
  }

  void perform(std::size_t I, SidecarEffect &Effect) {
    if (auto *Sent = std::get_if<SendPeer>(&Effect))
      return deliver(I, hostIndex(Sent->Host), std::move(Sent->Message));
    if (auto *Run = std::get_if<StartRun>(&Effect))
      return arrive(I, *Run);
    if (auto *Reply = std::get_if<ReplyCaller>(&Effect)) {
      ++Answers[Reply->Response.Status];
      return;
    }
    if (std::holds_alternative<ProbeServer>(Effect))
      return later(I, 2ms,
                   ServerProbeResult{true, "i-" + hostName(I), {}, {}, {}});
    if (auto *Read = std::get_if<ReadTopicSnapshot>(&Effect))
      return snapshot(I, Read->Which);
    if (auto *Read = std::get_if<ReadTopic>(&Effect))
      return read(I, *Read, Now + Read->Wait);
    if (auto *Own = std::get_if<Announce>(&Effect))
      return append(I, Own->Content.Host, encodeAnnouncement(Own->Content));
    if (auto *Share = std::get_if<AppendRolloutShare>(&Effect))
      return append(I, "rollout/" + Share->Content.Service,
                    encodeRolloutShare(Share->Content));
    if (std::holds_alternative<ReadRolloutStatus>(Effect))
      return readStatus(I);
    if (auto *Write = std::get_if<WriteRolloutStatus>(&Effect))
      return writeStatus(I, *Write);
  }

  /// Applies an event at a later time, unless the daemon has restarted.
  void later(std::size_t I, Duration Time, SidecarEventBody Body) {
    schedule(Time, [this, I, Inc = Hosts[I].Inc, Body = std::move(Body)] {
      if (Hosts[I].Inc == Inc)
        apply(I, Body);
    });
  }

  void deliver(std::size_t From, std::size_t To, PeerMessage Message) {
    if (To >= HostCount || Group[From] != Group[To])
      return;
    schedule(
        From == To ? Duration(0) : Duration(2ms),
        [this, From, To, Inc = Hosts[From].Inc,
         Message = std::move(Message)]() mutable {
          apply(To, PeerReceived{{hostName(From), Inc}, std::move(Message)});
        });
  }

  // Backend servers.

  void arrive(std::size_t I, const StartRun &Run) {
    const std::string &Path = Run.Request.Target;
    std::string Route = Path.substr(1, Path.find('/', 1) - 1);
    bool Ordered = OrderedAt != TimePoint{};
    bool Counts = I >= ClientHosts && Ordered;
    Requests += Counts ? 1 : 0;
    Exposed += Counts && isNew(I) ? 1 : 0;
    if (Counts)
      ++RunsOfVersion[isNew(I) ? Target : "v1"];
    if (isNew(I))
      LastExposed = Now;
    double Millis = std::lognormal_distribution<double>(3.4, 0.2)(Random);
    bool Affected =
        isNew(I) && Now >= OrderedAt + NewVersion.GoodFor &&
        (NewVersion.OnlyRoute.empty() || NewVersion.OnlyRoute == Route);
    HttpResponse Response;
    Response.Status = 200;
    bool Fails = Affected && happens(NewVersion.FailFraction);
    bool Slow = Affected && happens(NewVersion.SlowFraction);
    if (Fails)
      Response.Status = 500;
    if (Slow)
      Millis *= 4;
    if ((Fails || Slow) && ++BadAnswers == 50)
      FiftiethBad = Now;
    later(I, Duration(static_cast<Duration::rep>(Millis * 1000)),
          ServerRunResult{Run.Run, Response, {}});
  }

  // The store.

  void snapshot(std::size_t I, Topic Which) {
    if (StoreAway)
      return later(I, 10ms, TopicReadFailed{Which, "away", 0, 0});
    later(I, 10ms, Topics.snapshot(Which));
  }
  void read(std::size_t I, const ReadTopic &Wanted, TimePoint Until) {
    if (StoreAway)
      return later(I, 10ms, TopicReadFailed{Wanted.Which, "away", 0, 0});
    if (Wanted.From < Topics.end(Wanted.Which) || Now >= Until)
      return later(I, 10ms, Topics.records(Wanted.Which, Wanted.From));
    schedule(20ms, [this, I, Wanted, Until, Inc = Hosts[I].Inc] {
      if (Hosts[I].Inc == Inc)
        read(I, Wanted, Until);
    });
  }
  void append(std::size_t I, const std::string &Key, const std::string &Value) {
    if (StoreAway)
      return later(I, 10ms, AnnouncementResult{false, "away", 0});
    schedule(5ms,
             [this, Key, Value] { Topics.put(Topic::Members, Key, Value); });
    later(I, 10ms, AnnouncementResult{true, "", 1});
  }
  void readStatus(std::size_t I) {
    if (StoreAway)
      return later(I, 10ms, RolloutStatusRead{});
    RolloutStatusRead Read{true, {}, static_cast<Offset>(Status.size())};
    if (!Status.empty())
      Read.Entries = {Status.back()};
    later(I, 10ms, std::move(Read));
  }
  void writeStatus(std::size_t I, const WriteRolloutStatus &Write) {
    using Outcome = RolloutStatusWritten::Outcome;
    if (StoreAway)
      return later(I, 10ms, RolloutStatusWritten{Outcome::Failed});
    schedule(5ms, [this, I, Write] {
      bool Fits = Write.End == static_cast<Offset>(Status.size());
      if (Fits) {
        Status.push_back(Write.Content);
        if (isFinal(Write.Content.State))
          DecidedAt = std::min(DecidedAt, Now);
      }
      later(I, 5ms,
            RolloutStatusWritten{Fits ? Outcome::Written : Outcome::Conflict});
    });
  }

  std::mt19937_64 Random;
  platform::JsonRecordDecoder Decoder;
  std::array<Host, HostCount> Hosts;
  TopicLogs Topics;
  std::multimap<TimePoint, std::function<void()>> Scheduled;
  CallerId LastCaller = 0;
  double Arrivals = 0;
  std::size_t Starts = 0;
};

} // namespace figsail::test

#endif // FIGSAIL_TESTS_ROLLOUTCLUSTER_H
