// CrashCluster.h - Simulation of one service while a request that crashes its
// servers is sent again and again, and daemons, links and the store fail.

#ifndef FIGSAIL_TESTS_CRASHCLUSTER_H
#define FIGSAIL_TESTS_CRASHCLUSTER_H

#include "JsonRecordDecoder.h"
#include "Sidecar.h"
#include "SidecarTestSupport.h"
#include "TopicLogs.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace figsail::test {

/// Simulator in virtual time: daemons, each beside a backend server, links
/// between them, the store and clients. A link opens on the first message and
/// breaks with either process; over a cut path, messages are lost without
/// notice until the link breaks.
class CrashCluster {
public:
  static constexpr Duration ContactTime = 4s;

  CrashCluster(std::size_t HostCount, std::uint64_t Seed)
      : Hosts(HostCount), Random(Seed) {
    StoreTime = between(5ms, 150ms);
    OpenTime = between(1ms, 300ms);
    Topics.put(Topic::Operator, "config", DeskConfigText);
    for (std::size_t I = 0; I < HostCount; ++I) {
      start(I);
      startServer(I);
    }
    sendRequests();
  }

  /// Fraction of the reports on suspects that are lost on their way.
  double LostReports = 0;
  /// The request that crashes servers is sent only while all hosts are in
  /// touch, so that each arrival counts.
  bool OnlyInTouch = true;
  bool StoreAway = false;

  /// Requests that crash servers, by their number, that reached one later than
  /// the contact time after the third crash, from and to hosts in touch.
  std::set<std::uint64_t> LateAttempts;
  std::size_t Crashes = 0;
  std::size_t Attempts = 0; ///< Requests that crash servers, of clients.
  std::size_t Tickets = 0;  ///< Other requests that were answered with 200.
  std::string Trace;        ///< Disturbances, crashes and late attempts.

  std::size_t size() const { return Hosts.size(); }

  void run(Duration Time) {
    TimePoint End = Now + Time;
    while (Now < End) {
      TimePoint Next = End;
      if (!Scheduled.empty())
        Next = std::min(Next, Scheduled.begin()->first);
      for (const Host &Each : Hosts)
        if (Each.Reducer)
          Next = std::min(Next, Each.Reducer->nextWake());
      Now = std::max(Now, Next);
      for (std::size_t I = 0; I < Hosts.size(); ++I)
        if (Hosts[I].Reducer && Hosts[I].Reducer->nextWake() <= Now)
          apply(I, TimerFired{});
      while (!Scheduled.empty() && Scheduled.begin()->first <= Now) {
        auto Action = std::move(Scheduled.begin()->second);
        Scheduled.erase(Scheduled.begin());
        Action();
      }
      // A reducer whose timer stays due must not stop the time.
      Now += 100us;
    }
  }

  // Disturbances.

  void kill(std::size_t I, Duration BackAfter) {
    note("kill", I);
    end(I, BackAfter);
  }
  void stop(std::size_t I) {
    if (!Hosts[I].Reducer || Hosts[I].Stopping)
      return;
    note("stop", I);
    disturb(I);
    Hosts[I].Stopping = true;
    apply(I, StopRequested{});
    schedule(6s, [this, I, Inc = Hosts[I].Inc] {
      if (Hosts[I].Reducer && Hosts[I].Inc == Inc)
        end(I, 300ms);
    });
  }
  /// Cuts the paths between a host and all others.
  void cut(std::size_t I, Duration Time) {
    note("cut", I);
    Cut.insert(I);
    for (std::size_t J = 0; J < Hosts.size(); ++J)
      disturb(J);
    schedule(Time, [this, I] {
      note("heal", I);
      Cut.erase(I);
      for (std::size_t J = 0; J < Hosts.size(); ++J)
        disturb(J);
    });
  }
  void loseStore(Duration Time) {
    note("store-away", 0);
    StoreAway = true;
    schedule(Time, [this] {
      note("store-back", 0);
      StoreAway = false;
      StoreStableFrom = Now + ContactTime;
    });
  }
  Duration between(Duration Low, Duration High) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        Low.count(), High.count())(Random));
  }
  std::size_t pick(std::size_t Count) { return Random() % Count; }

private:
  static constexpr const char *Poison = "/x/poison";

  struct Server {
    bool Up = false;
    std::uint64_t Start = 0; ///< Number of the incarnation.
    std::uint64_t Sequence = 0;
    std::map<RunId, std::string> Runs; ///< Targets.
  };
  struct Host {
    std::unique_ptr<Sidecar> Reducer; ///< Null while no process runs.
    Incarnation Inc = 0;
    bool Stopping = false;
    TimePoint DisturbedAt; ///< The last time.
    Server Backend;
  };
  enum class LinkState : std::uint8_t { Closed, Opening, Open };
  struct Link {
    LinkState State = LinkState::Closed;
    std::uint64_t Number = 0; ///< Of the link between the two.
    std::vector<std::pair<std::size_t, PeerMessage>> Queue; ///< While opening.
    bool Breaking = false; ///< Over a cut path.
  };

  static bool isPoison(const std::string &Target) {
    return Target.starts_with(Poison);
  }
  void note(const std::string &What, std::size_t I) {
    auto Millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(Now - TestStart);
    Trace += std::to_string(Millis.count()) + " " + What + " " +
             std::to_string(I) + "\n";
  }
  void schedule(Duration Time, std::function<void()> Action) {
    Scheduled.emplace(Now + Time, std::move(Action));
  }
  void disturb(std::size_t I) { Hosts[I].DisturbedAt = Now; }
  bool isInTouch(std::size_t I) const {
    return Hosts[I].Reducer && !StoreAway && Now >= StoreStableFrom &&
           Cut.empty() && Now - Hosts[I].DisturbedAt >= ContactTime;
  }

  bool areAllInTouch() const {
    for (std::size_t I = 0; I < Hosts.size(); ++I)
      if (!isInTouch(I) || Hosts[I].Stopping)
        return false;
    return true;
  }

  // Processes.

  void start(std::size_t I) {
    Host &Self = Hosts[I];
    SidecarSettings Settings = testSettings(hostName(I));
    Settings.FailureDomain = "d" + std::to_string(I % 2);
    Settings.Service = "desk";
    Settings.Inc = ++Self.Inc * 1000 + I;
    Self.Stopping = false;
    Self.Reducer = std::make_unique<Sidecar>(Settings, Decoder);
    disturb(I);
    apply(I, TimerFired{});
  }
  void end(std::size_t I, Duration BackAfter) {
    disturb(I);
    if (!Hosts[I].Reducer)
      return;
    Hosts[I].Reducer.reset();
    Hosts[I].Backend.Runs.clear();
    for (std::size_t J = 0; J < Hosts.size(); ++J)
      if (J != I)
        breakLink(I, J);
    schedule(BackAfter, [this, I] { start(I); });
  }
  void apply(std::size_t I, SidecarEventBody Body) {
    if (!Hosts[I].Reducer)
      return;
    for (SidecarEffect &Effect :
         Hosts[I].Reducer->apply({Now, Random(), std::move(Body)})) {
      perform(I, Effect);
      if (!Hosts[I].Reducer)
        return;
    }
  }
  /// Applies an event at a later time, unless the process has ended.
  void later(std::size_t I, Duration Time, SidecarEventBody Body) {
    schedule(Time, [this, I, Inc = Hosts[I].Inc, Body = std::move(Body)] {
      if (Hosts[I].Inc == Inc)
        apply(I, Body);
    });
  }

  void perform(std::size_t I, SidecarEffect &Effect) {
    if (auto *Sent = std::get_if<SendPeer>(&Effect))
      return send(I, hostIndex(Sent->Host), std::move(Sent->Message));
    if (auto *Reset = std::get_if<ResetPeer>(&Effect))
      return breakLink(I, hostIndex(Reset->Host));
    if (auto *Run = std::get_if<StartRun>(&Effect))
      return arrive(I, *Run);
    if (auto *Cancelled = std::get_if<CancelRun>(&Effect))
      return endRun(I, Cancelled->Run, BackendError::Cancelled);
    if (auto *Reply = std::get_if<ReplyCaller>(&Effect)) {
      Tickets += Reply->Response.Status == 200 ? 1 : 0;
      return;
    }
    if (std::holds_alternative<ProbeServer>(Effect))
      return answerProbe(I);
    if (std::holds_alternative<CloseClients>(Effect))
      return later(I, 10ms, ClientsDrained{});
    if (std::holds_alternative<ExitProcess>(Effect))
      return end(I, 300ms);
    performAtStore(I, Effect);
  }
  void performAtStore(std::size_t I, SidecarEffect &Effect) {
    if (auto *Read = std::get_if<ReadTopicSnapshot>(&Effect))
      return snapshot(I, Read->Which);
    if (auto *Read = std::get_if<ReadTopic>(&Effect))
      return read(I, *Read, Now + Read->Wait);
    if (auto *Own = std::get_if<Announce>(&Effect))
      return append(I, Own->Content.Host, encodeAnnouncement(Own->Content));
    if (auto *Blocked = std::get_if<AppendBlockedRequest>(&Effect)) {
      const BlockedRequest &Record = Blocked->Content;
      return append(I, Record.Key,
                    Record.Active ? std::optional(encodeBlockedRequest(Record))
                                  : std::nullopt);
    }
    if (auto *Dropped = std::get_if<RemoveHost>(&Effect))
      return append(I, Dropped->Host, std::nullopt);
  }

  // Links.

  Link &link(std::size_t I, std::size_t J) {
    return Links[{std::min(I, J), std::max(I, J)}];
  }
  bool isCut(std::size_t I, std::size_t J) const {
    return Cut.contains(I) || Cut.contains(J);
  }
  void send(std::size_t From, std::size_t To, PeerMessage Message) {
    if (To >= Hosts.size())
      return;
    if (From == To)
      return deliver(From, To, 0us, std::move(Message));
    Link &Path = link(From, To);
    if (Path.State == LinkState::Open && !isCut(From, To))
      return deliver(From, To, 2ms, std::move(Message));
    if (Path.State == LinkState::Open)
      return breakLater(From, To);
    Path.Queue.emplace_back(From, std::move(Message));
    if (Path.State == LinkState::Closed)
      open(From, To);
  }
  void deliver(std::size_t From, std::size_t To, Duration Time,
               PeerMessage Message) {
    bool Lost =
        std::holds_alternative<SuspectReport>(Message) &&
        std::uniform_real_distribution<double>(0, 1)(Random) < LostReports;
    if (Lost && From != To)
      return;
    PeerRef Sender{hostName(From), Hosts[From].Inc * 1000 + From};
    schedule(Time, [this, To, Sender, Inc = Hosts[To].Inc,
                    Message = std::move(Message)]() mutable {
      if (Hosts[To].Inc == Inc)
        apply(To, PeerReceived{Sender, std::move(Message)});
    });
  }
  void open(std::size_t From, std::size_t To) {
    Link &Path = link(From, To);
    Path.State = LinkState::Opening;
    std::uint64_t Number = ++Path.Number;
    schedule(between(1ms, OpenTime), [this, From, To, Number] {
      if (link(From, To).Number == Number)
        opened(From, To);
    });
  }
  void opened(std::size_t From, std::size_t To) {
    Link &Path = link(From, To);
    if (isCut(From, To) || !Hosts[To].Reducer || !Hosts[From].Reducer)
      return breakLink(From, To);
    Path.State = LinkState::Open;
    auto Queue = std::exchange(Path.Queue, {});
    for (auto [I, J] : {std::pair(From, To), std::pair(To, From)})
      apply(I, PeerConnected{{hostName(J), Hosts[J].Inc * 1000 + J}});
    for (auto &[Sender, Message] : Queue)
      deliver(Sender, Sender == From ? To : From, 2ms, std::move(Message));
  }
  void breakLater(std::size_t I, std::size_t J) {
    Link &Path = link(I, J);
    if (std::exchange(Path.Breaking, true))
      return;
    schedule(1500ms, [this, I, J, Number = Path.Number] {
      if (link(I, J).Number == Number && link(I, J).Breaking)
        breakLink(I, J);
    });
  }
  void breakLink(std::size_t I, std::size_t J) {
    Link &Path = link(I, J);
    if (Path.State == LinkState::Closed)
      return;
    auto Queue = std::exchange(Path.Queue, {});
    Path.State = LinkState::Closed;
    Path.Breaking = false;
    ++Path.Number;
    for (auto [Own, Other] : {std::pair(I, J), std::pair(J, I)}) {
      PeerLost Lost{hostName(Other), {}};
      for (auto &[Sender, Message] : Queue)
        if (Sender == Own)
          Lost.Unsent.push_back(Message);
      later(Own, 1ms, std::move(Lost));
    }
  }

  // Backend servers.

  std::string instance(std::size_t I) const {
    return "i-" + std::to_string(I) + "-" +
           std::to_string(Hosts[I].Backend.Start);
  }
  void startServer(std::size_t I) {
    Server &Backend = Hosts[I].Backend;
    Backend.Up = true;
    ++Backend.Start;
    Backend.Sequence = 0;
    sendHeartbeat(I, Backend.Start);
  }
  void sendHeartbeat(std::size_t I, std::uint64_t Start) {
    Server &Backend = Hosts[I].Backend;
    if (!Backend.Up || Backend.Start != Start)
      return;
    ServerHeartbeat Own = heartbeat(++Backend.Sequence, instance(I),
                                    static_cast<std::int64_t>(Start) * 1000);
    Own.Service = "desk";
    apply(I, Own);
    schedule(1500ms, [this, I, Start] { sendHeartbeat(I, Start); });
  }
  void answerProbe(std::size_t I) {
    ServerProbeResult Result;
    if (Hosts[I].Backend.Up) {
      Result.Healthy = true;
      Result.Instance = instance(I);
    }
    later(I, 2ms, std::move(Result));
  }
  void endRun(std::size_t I, RunId Run,
              std::variant<HttpResponse, BackendError> Outcome) {
    if (Hosts[I].Backend.Runs.erase(Run) > 0)
      later(I, 1ms, ServerRunResult{Run, std::move(Outcome), {}});
  }
  void arrive(std::size_t I, const StartRun &Run) {
    Server &Backend = Hosts[I].Backend;
    const std::string &Target = Run.Request.Target;
    if (!Backend.Up)
      return later(I, 1ms, ServerRunResult{Run.Run, BackendError::NotSent, {}});
    Backend.Runs[Run.Run] = Target;
    if (isPoison(Target))
      countArrival(I, std::stoull(std::string(
                          findHeader(Run.Request.Headers, "Attempt"))));
    schedule(20ms, [this, I, Start = Backend.Start, Inc = Hosts[I].Inc,
                    Run = Run.Run, Target] {
      if (Hosts[I].Backend.Start != Start || !Hosts[I].Backend.Up)
        return;
      if (isPoison(Target))
        return crash(I);
      if (Hosts[I].Inc == Inc)
        endRun(I, Run, HttpResponse{200, {}, "ticket"});
    });
  }
  void countArrival(std::size_t I, std::uint64_t Attempt) {
    bool Late = Crashes >= 3 && Now > ThirdCrash + ContactTime;
    if (!Late || !isInTouch(I) || !isInTouch(SenderOf.at(Attempt)))
      return;
    LateAttempts.insert(Attempt);
    note("late-attempt", I);
  }
  void crash(std::size_t I) {
    note("crash", I);
    if (++Crashes == 3)
      ThirdCrash = Now;
    Server &Backend = Hosts[I].Backend;
    Backend.Up = false;
    auto Broken = std::exchange(Backend.Runs, {});
    for (const auto &[Run, Target] : Broken)
      later(I, 1ms, ServerRunResult{Run, BackendError::Broken, {}});
    schedule(2s, [this, I] { startServer(I); });
  }

  // Clients.

  void sendRequests() {
    schedule(200ms, [this] { sendRequests(); });
    request("/x/ticket" + std::to_string(pick(1000)));
    bool AnyTime = !OnlyInTouch || areAllInTouch();
    if (Now - TestStart > 6s && AnyTime && pick(2) == 0)
      request(Poison);
  }
  void request(const std::string &Target) {
    std::size_t I = pick(Hosts.size());
    if (!Hosts[I].Reducer || Hosts[I].Stopping)
      return;
    ClientRequest Arrived;
    Arrived.Caller = ++LastCaller;
    Arrived.Id = std::to_string(LastCaller);
    Arrived.Host = "h";
    Arrived.ClientTimeout = 2s;
    Arrived.Request.Method = "GET";
    Arrived.Request.Target = Target;
    Arrived.Request.Headers.emplace_back("Attempt", Arrived.Id);
    SenderOf[LastCaller] = I;
    Attempts += isPoison(Target) ? 1 : 0;
    apply(I, std::move(Arrived));
  }

  // The store.

  void snapshot(std::size_t I, Topic Which) {
    if (StoreAway)
      return later(I, StoreTime, TopicReadFailed{Which, "away", 0, 0});
    later(I, StoreTime, Topics.snapshot(Which));
  }
  void read(std::size_t I, const ReadTopic &Wanted, TimePoint Until) {
    if (StoreAway)
      return later(I, StoreTime, TopicReadFailed{Wanted.Which, "away", 0, 0});
    if (Wanted.From < Topics.end(Wanted.Which) || Now >= Until)
      return later(I, StoreTime, Topics.records(Wanted.Which, Wanted.From));
    schedule(20ms, [this, I, Wanted, Until, Inc = Hosts[I].Inc] {
      if (Hosts[I].Inc == Inc)
        read(I, Wanted, Until);
    });
  }
  void append(std::size_t I, const std::string &Key,
              const std::optional<std::string> &Value) {
    if (StoreAway)
      return later(I, StoreTime, AnnouncementResult{false, "away", 0});
    schedule(StoreTime / 2,
             [this, Key, Value] { Topics.put(Topic::Members, Key, Value); });
    later(I, StoreTime, AnnouncementResult{true, "", 1});
  }

  std::vector<Host> Hosts;
  std::mt19937_64 Random;
  platform::JsonRecordDecoder Decoder;
  TopicLogs Topics;
  std::map<std::pair<std::size_t, std::size_t>, Link> Links;
  std::set<std::size_t> Cut;
  std::multimap<TimePoint, std::function<void()>> Scheduled;
  std::map<std::uint64_t, std::size_t> SenderOf; ///< By request.
  TimePoint Now = TestStart;
  TimePoint ThirdCrash;
  TimePoint StoreStableFrom;
  Duration StoreTime{0};
  Duration OpenTime{0}; ///< Longest.
  CallerId LastCaller = 0;
};

} // namespace figsail::test

#endif // FIGSAIL_TESTS_CRASHCLUSTER_H
