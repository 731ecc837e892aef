// PacedCluster.h - Simulation of many hosts' reducers over links of limited
// bandwidth, with a store of keyed records, in virtual time.

#ifndef FIGSAIL_TESTS_PACEDCLUSTER_H
#define FIGSAIL_TESTS_PACEDCLUSTER_H

#include "BulkPacer.h"
#include "JsonRecordDecoder.h"
#include "PeerCodec.h"
#include "PeerSendQueue.h"
#include "Sidecar.h"
#include "SidecarTestSupport.h"
#include "StoreClient.h"
#include "VirtualTime.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace figsail::test {

/// Bytes a second that a host sends, and that it receives: 10 Mbit/s.
inline constexpr double HostLinkBytes = 10e6 / 8;
/// Largest unit in which the flows of a host share its link.
inline constexpr std::size_t SegmentBytes = std::size_t{4} * 1024;
/// One-way delays between hosts.
inline constexpr Duration DomainDelay = 900us;
inline constexpr Duration RegionDelay = 30ms;
/// Time that the store takes for an answer, without the transfer.
inline constexpr Duration StoreDelay = 4ms;
/// Bytes of an answer of the store that one host has under way at most: the
/// window of its connection.
inline constexpr std::size_t StoreWindowBytes = std::size_t{64} * 1024;
/// Smallest time between two TimerFired events of one reducer.
inline constexpr Duration TimerResolution = 1ms;
inline constexpr Duration ServerRunTime = 20ms;
inline constexpr std::size_t AnswerBodyBytes = 400;

/// One direction of a host's network interface. Its flows, one for each other
/// side, take turns; the segments of one flow stay in order.
class PacedPort {
public:
  PacedPort(VirtualTime &Time, double BytesPerSecond)
      : Time(Time), BytesPerSecond(BytesPerSecond) {}

  /// Queues a segment. OnPassed runs when its last byte has passed.
  void enqueue(std::size_t Flow, std::size_t Bytes,
               VirtualTime::Action OnPassed) {
    Flows[Flow].push_back({Bytes, std::move(OnPassed)});
    if (!Busy)
      passNext();
  }
  /// Drops the queued segments of a flow, but not the one under way.
  void clear(std::size_t Flow) { Flows.erase(Flow); }

private:
  struct Segment {
    std::size_t Bytes;
    VirtualTime::Action OnPassed;
  };

  void passNext() {
    auto Next = Flows.upper_bound(LastFlow);
    if (Next == Flows.end())
      Next = Flows.begin();
    Busy = Next != Flows.end();
    if (!Busy)
      return;
    LastFlow = Next->first;
    Segment Passing = std::move(Next->second.front());
    Next->second.pop_front();
    if (Next->second.empty())
      Flows.erase(Next);
    Duration Taken(static_cast<Duration::rep>(
        static_cast<double>(Passing.Bytes) * 1e6 / BytesPerSecond));
    Time.schedule(Taken, [this, OnPassed = std::move(Passing.OnPassed)] {
      OnPassed();
      passNext();
    });
  }

  VirtualTime &Time;
  double BytesPerSecond;
  std::map<std::size_t, std::deque<Segment>> Flows; ///< None is empty.
  std::size_t LastFlow = 0;
  bool Busy = false;
};

/// A message that PeerLink writes, with its size on the wire.
struct WrittenMessage {
  PeerMessage Message;
  std::size_t Bytes = 0;
  bool Begun = false; ///< A byte of it has left the host.
};
using WrittenPtr = std::shared_ptr<WrittenMessage>;

/// Takes the messages of the next write, as PeerLink does. Nothing overtakes a
/// message that has been taken.
inline std::vector<WrittenPtr> takeWrite(PeerSendQueue &Queue,
                                         bool AnswersAllowed = true) {
  std::vector<WrittenPtr> Write;
  std::size_t Total = 0;
  std::string Frame;
  Queue.startWrite(AnswersAllowed);
  while (std::optional<PeerMessage> Next = Queue.next(Total)) {
    Frame.clear();
    appendFrame(Frame, 1, *Next);
    Write.push_back(std::make_shared<WrittenMessage>(
        WrittenMessage{std::move(*Next), Frame.size()}));
    Total += Frame.size();
  }
  return Write;
}

/// A host of the cluster.
struct PacedHost {
  HostId Name;
  std::string Region;
  std::string FailureDomain;
  std::string Service;
};

/// A request of a client.
struct PacedRequest {
  TimePoint SentAt;
  HostId Host;
  std::string Prefix;        ///< Of its path.
  unsigned Status = 0;       ///< Of the answer; 0: none yet.
  std::size_t BodyBytes = 0; ///< Of the answer.
  TimePoint AnsweredAt{};
};

/// A version of the configuration that the store has accepted.
struct SentVersion {
  std::uint64_t Version = 0;
  std::size_t Bytes = 0; ///< Of its text.
  TimePoint AcknowledgedAt;
};

/// Simulator of reducers, their backend servers, their clients, the store and
/// the links of limited bandwidth between them. Links between regions are not
/// compressed here.
class PacedCluster {
public:
  /// LinkBytes: rate of each host's link as in its settings; 0: not known, and
  /// pieces of answers are not paced.
  PacedCluster(const std::vector<PacedHost> &List, std::string StoreRegion,
               std::uint64_t Seed, double LinkBytes = 0)
      : LinkBytes(LinkBytes), StoreRegion(std::move(StoreRegion)),
        Random(Seed) {
    for (const PacedHost &Described : List)
      RegionOfDomain[Described.FailureDomain] = Described.Region;
    for (const PacedHost &Described : List) {
      IndexOf[Described.Name] = Hosts.size();
      Hosts.push_back(std::make_unique<Host>(Time, Described, LinkBytes));
    }
    for (std::size_t Self = 0; Self < Hosts.size(); ++Self)
      start(Self);
    for (auto &Self : Hosts)
      Self->Pacer.setTimer([this, Owner = Self.get()](TimePoint Due) {
        Owner->PacerDue = Due;
        Time.schedule(Due - Time.now(), [this, Owner, Due] {
          if (Owner->PacerDue == Due)
            Owner->Pacer.resume(Time.now());
        });
      });
  }
  PacedCluster(const PacedCluster &) = delete;
  PacedCluster &operator=(const PacedCluster &) = delete;

  TimePoint now() const { return Time.now(); }
  void run(Duration Length) { Time.run(Length); }
  std::size_t hostCount() const { return Hosts.size(); }
  const HostId &hostName(std::size_t Self) const {
    return Hosts[Self]->Described.Name;
  }

  /// Limits each direction of the link between the regions, for calls and for
  /// the store's answers together. Unlimited before.
  void limitRegionLink(double BytesPerSecond) {
    for (const auto &[Domain, Region] : RegionOfDomain)
      RegionPorts.try_emplace(
          Region, std::make_unique<PacedPort>(Time, BytesPerSecond));
  }
  /// Sets the size of the answers' bodies by the target of the request.
  void setAnswerSize(std::function<std::size_t(const std::string &)> Size) {
    AnswerSize = std::move(Size);
  }
  /// Lets the store refuse all reads of a topic, or serve them again.
  void refuseReads(Topic Which, bool Refused) {
    ReadsRefused[static_cast<std::size_t>(Which)] = Refused;
  }
  /// Cuts a host off without a word, or connects it again: from the store, and
  /// from all other daemons if Peers is set.
  void cutOff(std::size_t Self, bool Cut, bool Peers) {
    Hosts[Self]->CutFromStore = Cut;
    Hosts[Self]->CutFromPeers = Cut && Peers;
  }
  /// Returns the hosts that have asked the store to read a topic since the last
  /// resetCounts().
  std::size_t readerCount() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        Hosts, [](const auto &Self) { return Self->StoreReads > 0; }));
  }
  /// Returns the bytes of the store's answers that were given up since the last
  /// resetCounts().
  std::size_t abandonedBytes() const { return AbandonedBytes; }

  /// Sends a configuration to the store, as the operator does.
  void sendConfig(std::uint64_t Version, const std::string &Text) {
    append(Topic::Operator, "config", Text);
    Versions.push_back({Version, Text.size(), Time.now() + StoreDelay});
  }

  /// Sends a client's request to a host. No two requests are equal, since equal
  /// ones would share a run.
  void request(std::size_t Self, const std::string &Prefix) {
    ClientRequest Arrived;
    Arrived.Caller = Requests.size();
    Arrived.Id = std::to_string(Arrived.Caller);
    Arrived.Host = "desk.example";
    Arrived.ClientTimeout = ClientTimeout;
    Arrived.Request.Method = "GET";
    Arrived.Request.Target = Prefix + Arrived.Id;
    Requests.push_back({Time.now(), hostName(Self), Prefix});
    apply(Self, std::move(Arrived));
  }
  /// Calls Send for each host, Interval apart, from a random moment on.
  void requestRegularly(Duration Interval,
                        const std::function<void(std::size_t)> &Send) {
    for (std::size_t Self = 0; Self < Hosts.size(); ++Self)
      Time.schedule(randomTime(Interval), [this, Self, Interval, Send] {
        repeat(Interval, [Self, Send] { Send(Self); });
      });
  }
  std::uint64_t random() { return Random(); }

  /// Starts the counts of bytes and decisions anew.
  void resetCounts() {
    Decisions.clear();
    AbandonedBytes = 0;
    for (auto &Self : Hosts) {
      Self->TopicBytes = 0;
      Self->StoreReads = 0;
    }
  }
  /// Returns the bytes of topics that a host has received from daemons and from
  /// the store since the last resetCounts().
  std::size_t topicBytes(std::size_t Self) const {
    return Hosts[Self]->TopicBytes;
  }
  /// Returns when a host had this version or a later one in force; max() if it
  /// never had.
  TimePoint inForceAt(std::size_t Self, std::uint64_t Version) const {
    auto Found = Hosts[Self]->InForce.lower_bound(Version);
    TimePoint First = TimePoint::max();
    for (; Found != Hosts[Self]->InForce.end(); ++Found)
      First = std::min(First, Found->second);
    return First;
  }

  Duration ClientTimeout = 1500ms; ///< Of the next requests.
  std::vector<PacedRequest> Requests;
  std::vector<SentVersion> Versions;
  std::map<std::string, unsigned> Decisions; ///< Number by kind.

private:
  /// An answer of the store to one read.
  struct StoreRead {
    std::size_t Left = 0;     ///< Bytes that the store has not sent.
    std::size_t UnderWay = 0; ///< Sent, not received.
    std::size_t Received = 0;
    TimePoint BegunAt;    ///< Of the first byte.
    TimePoint ReceivedAt; ///< Of the last byte.
    bool Ended = false;   ///< Whole, or given up.
    bool Hedged = false;
    Duration Timeout{0};
    VirtualTime::Action OnWhole;
  };
  using StoreReadPtr = std::shared_ptr<StoreRead>;

  struct Host {
    Host(VirtualTime &Time, PacedHost Described, double LinkBytes)
        : Described(std::move(Described)), Sending(Time, HostLinkBytes),
          Receiving(Time, HostLinkBytes), Pacer(LinkBytes) {}
    PacedHost Described;
    std::unique_ptr<Sidecar> Reducer;
    PacedPort Sending;
    PacedPort Receiving;
    BulkPacer Pacer;
    TimePoint PacerDue; ///< Time of its only timer.
    TimePoint WakeAt = TimePoint::max();
    std::set<RunId> Runs;                       ///< In progress.
    std::map<std::uint64_t, TimePoint> InForce; ///< By version.
    std::size_t TopicBytes = 0;
    std::size_t StoreReads = 0;
    std::array<std::vector<std::weak_ptr<StoreRead>>, TopicCount> Reads;
    bool CutFromStore = false;
    bool CutFromPeers = false;
  };

  /// Writes what a link has queued when the pacer allows it.
  struct PacedSender : BulkSender {
    std::function<void()> Write;
    void resumeBulk() override { Write(); }
  };

  /// What one side of a link writes.
  struct LinkSide {
    std::shared_ptr<PacedSender> Sender = std::make_shared<PacedSender>();
    PeerSendQueue Queue;
    std::vector<WrittenPtr> Write; ///< Messages of the current write.
  };
  struct Link {
    enum class State : std::uint8_t { Closed, Opening, Open };
    State Phase = State::Closed;
    unsigned Number = 0; ///< Of the connection; increases with each reset.
    std::map<std::size_t, LinkSide> Sides; ///< By sender.
  };

  // Hosts.

  /// Returns the identity of a daemon. Incarnations differ, since they are the
  /// part of a call's id that names its ingress.
  PeerRef peer(std::size_t Self) const { return {hostName(Self), Self + 1}; }

  void start(std::size_t Self) {
    Host &Started = *Hosts[Self];
    SidecarSettings Settings =
        testSettings(Started.Described.Name, Started.Described.FailureDomain,
                     Started.Described.Region);
    Settings.Service = Started.Described.Service;
    Settings.RegionOfDomain = RegionOfDomain;
    Settings.Inc = peer(Self).Inc;
    Settings.LinkBytes = LinkBytes;
    Started.Reducer = std::make_unique<Sidecar>(Settings, Decoder);
    Time.schedule(randomTime(500ms), [this, Self] {
      apply(Self, TimerFired{});
      sendHeartbeat(Self, 1);
    });
  }

  void sendHeartbeat(std::size_t Self, std::uint64_t Sequence) {
    const PacedHost &Described = Hosts[Self]->Described;
    ServerHeartbeat Own = heartbeat(Sequence, "i-" + Described.Name);
    Own.Service = Described.Service;
    Own.Slots = 100;
    apply(Self, Own);
    Time.schedule(
        1s, [this, Self, Sequence] { sendHeartbeat(Self, Sequence + 1); });
  }

  void apply(std::size_t Self, SidecarEventBody Body) {
    Sidecar &Reducer = *Hosts[Self]->Reducer;
    for (SidecarEffect &Effect :
         Reducer.apply({Time.now(), Random(), std::move(Body)}))
      perform(Self, Effect);
    armTimer(Self);
  }

  void armTimer(std::size_t Self) {
    Host &Owner = *Hosts[Self];
    TimePoint Due = Owner.Reducer->nextWake();
    if (Due == TimePoint::max())
      return;
    Due = std::max(Due, Time.now() + TimerResolution);
    if (Due >= Owner.WakeAt)
      return;
    Owner.WakeAt = Due;
    Time.schedule(Due - Time.now(), [this, Self, Due] {
      if (Hosts[Self]->WakeAt != Due)
        return;
      Hosts[Self]->WakeAt = TimePoint::max();
      apply(Self, TimerFired{});
    });
  }

  void perform(std::size_t Self, SidecarEffect &Effect) {
    if (auto *Sent = std::get_if<SendPeer>(&Effect))
      send(Self, IndexOf.at(Sent->Host), std::move(Sent->Message));
    else if (auto *Reset = std::get_if<ResetPeer>(&Effect))
      resetLink(Self, IndexOf.at(Reset->Host));
    else if (auto *Run = std::get_if<StartRun>(&Effect))
      startRun(Self, Run->Run, Run->Request.Target);
    else if (auto *Cancelled = std::get_if<CancelRun>(&Effect))
      endRun(Self, Cancelled->Run, BackendError::Cancelled, 0us);
    else if (auto *Reply = std::get_if<ReplyCaller>(&Effect))
      noteReply(Requests[Reply->Caller], Reply->Response);
    else if (std::holds_alternative<ProbeServer>(Effect))
      answerProbe(Self);
    else if (auto *Logged = std::get_if<Decision>(&Effect))
      note(Self, *Logged);
    else
      performAtStore(Self, Effect);
  }

  void note(std::size_t Self, const Decision &Logged) {
    ++Decisions[std::string(Logged.Kind)];
    if (Logged.Kind != "config-in-force")
      return;
    for (const auto &[Field, Value] : Logged.Fields)
      if (Field == "version")
        Hosts[Self]->InForce.emplace(std::stoull(Value), Time.now());
  }

  void noteReply(PacedRequest &Answered, const HttpResponse &Response) {
    Answered.Status = Response.Status;
    Answered.BodyBytes = Response.Body.size();
    Answered.AnsweredAt = Time.now();
  }

  void startRun(std::size_t Self, RunId Run, const std::string &Target) {
    Hosts[Self]->Runs.insert(Run);
    HttpResponse Response;
    Response.Status = 200;
    Response.Body.assign(AnswerSize ? AnswerSize(Target) : AnswerBodyBytes,
                         'a');
    endRun(Self, Run, Response, ServerRunTime);
  }
  void endRun(std::size_t Self, RunId Run,
              const std::variant<HttpResponse, BackendError> &Result,
              Duration After) {
    Time.schedule(After, [this, Self, Run, Result] {
      if (Hosts[Self]->Runs.erase(Run) > 0)
        apply(Self, ServerRunResult{Run, Result, {}});
    });
  }
  void answerProbe(std::size_t Self) {
    Time.schedule(1ms, [this, Self] {
      apply(Self, ServerProbeResult{
                      true, "i-" + hostName(Self), std::nullopt, {}, {}});
    });
  }

  // Peer links.

  Duration delayBetween(const std::string &One, const std::string &Other) {
    return One == Other ? DomainDelay : RegionDelay;
  }
  Duration delay(std::size_t From, std::size_t To) {
    return delayBetween(Hosts[From]->Described.Region,
                        Hosts[To]->Described.Region);
  }
  /// Runs OnPassed when a segment has arrived in the other region, or at once
  /// after the delay within one.
  void passRegions(const std::string &From, const std::string &To,
                   std::size_t Flow, std::size_t Bytes,
                   const VirtualTime::Action &OnPassed) {
    Duration Delay = delayBetween(From, To);
    auto Port = RegionPorts.find(To);
    if (From == To || Port == RegionPorts.end())
      return Time.schedule(Delay, OnPassed);
    Port->second->enqueue(Flow, Bytes, [this, Delay, OnPassed] {
      Time.schedule(Delay, OnPassed);
    });
  }
  Link &link(std::size_t One, std::size_t Other) {
    return Links[std::minmax(One, Other)];
  }

  void send(std::size_t From, std::size_t To, PeerMessage Message) {
    if (From == To)
      return Time.schedule(0us, [this, To, Message = std::move(Message)] {
        apply(To, PeerReceived{peer(To), Message});
      });
    Link &Used = link(From, To);
    Used.Sides[From].Queue.push(std::move(Message));
    if (Used.Phase == Link::State::Closed)
      openLink(From, To);
    else if (Used.Phase == Link::State::Open)
      scheduleWrite(From, To);
  }

  /// Opens a link: the handshake of the connection, then the exchange of Hello.
  void openLink(std::size_t From, std::size_t To) {
    Link &Opened = link(From, To);
    Opened.Phase = Link::State::Opening;
    Time.schedule(4 * delay(From, To),
                  [this, From, To, Number = Opened.Number] {
                    Link &Opening = link(From, To);
                    if (Opening.Number != Number)
                      return;
                    if (Hosts[From]->CutFromPeers || Hosts[To]->CutFromPeers)
                      return resetLink(From, To);
                    Opening.Phase = Link::State::Open;
                    apply(From, PeerConnected{peer(To)});
                    apply(To, PeerConnected{peer(From)});
                    scheduleWrite(From, To);
                    scheduleWrite(To, From);
                  });
  }

  /// Defers the write so that all messages of one event share it.
  void scheduleWrite(std::size_t From, std::size_t To) {
    Time.schedule(0us, [this, From, To] { write(From, To); });
  }

  void write(std::size_t From, std::size_t To) {
    Link &Used = link(From, To);
    LinkSide &Side = Used.Sides[From];
    if (Used.Phase != Link::State::Open || !Side.Write.empty())
      return;
    Side.Sender->Write = [this, From, To] { write(From, To); };
    BulkPacer &Pacer = Hosts[From]->Pacer;
    bool Allowed =
        !Side.Queue.hasAnswers() || Pacer.request(Time.now(), Side.Sender);
    Side.Write = takeWrite(Side.Queue, Allowed);
    for (const WrittenPtr &Written : Side.Write)
      if (std::holds_alternative<AnswerPiece>(Written->Message))
        Pacer.spend(Time.now(), Written->Bytes);
    for (const WrittenPtr &Written : Side.Write)
      transmit(From, To, Used.Number, Written);
  }

  void transmit(std::size_t From, std::size_t To, unsigned Number,
                const WrittenPtr &Written) {
    for (std::size_t Left = Written->Bytes; Left > 0;) {
      std::size_t Bytes = std::min(Left, SegmentBytes);
      Left -= Bytes;
      bool Last = Left == 0;
      Hosts[From]->Sending.enqueue(
          To, Bytes, [this, From, To, Number, Written, Bytes, Last] {
            Written->Begun = true;
            passRegions(Hosts[From]->Described.Region,
                        Hosts[To]->Described.Region, From, Bytes, [=, this] {
                          receive(From, To, Number, Written, Bytes, Last);
                        });
            if (Last)
              messageLeft(From, To, Number, Written);
          });
    }
  }

  void messageLeft(std::size_t From, std::size_t To, unsigned Number,
                   const WrittenPtr &Written) {
    Link &Used = link(From, To);
    LinkSide &Side = Used.Sides[From];
    if (Used.Number != Number || Side.Write.back() != Written)
      return;
    Side.Write.clear();
    write(From, To);
  }

  void receive(std::size_t From, std::size_t To, unsigned Number,
               const WrittenPtr &Written, std::size_t Bytes, bool Last) {
    if (Hosts[From]->CutFromPeers || Hosts[To]->CutFromPeers)
      return;
    Hosts[To]->Receiving.enqueue(
        From, Bytes, [this, From, To, Number, Written, Bytes, Last] {
          if (messageName(Written->Message).starts_with("Topic"))
            Hosts[To]->TopicBytes += Bytes;
          if (Last && link(From, To).Number == Number)
            apply(To, PeerReceived{peer(From), std::move(Written->Message)});
        });
  }

  /// Breaks a link. What is under way is lost; each side is told which of its
  /// messages never left.
  void resetLink(std::size_t Self, std::size_t Peer) {
    Link &Broken = link(Self, Peer);
    if (Broken.Phase == Link::State::Closed)
      return;
    Broken.Phase = Link::State::Closed;
    ++Broken.Number;
    std::vector<PeerMessage> Own = takeUnsent(Self, Peer);
    std::vector<PeerMessage> Others = takeUnsent(Peer, Self);
    if (!Own.empty())
      reportLost(Self, Peer, std::move(Own), 0us);
    reportLost(Peer, Self, std::move(Others), delay(Self, Peer));
  }

  std::vector<PeerMessage> takeUnsent(std::size_t From, std::size_t To) {
    Hosts[From]->Sending.clear(To);
    LinkSide Side = std::exchange(link(From, To).Sides[From], {});
    std::vector<PeerMessage> Unsent;
    for (const WrittenPtr &Written : Side.Write)
      if (!Written->Begun)
        Unsent.push_back(std::move(Written->Message));
    std::ranges::move(Side.Queue.takeAll(), std::back_inserter(Unsent));
    return Unsent;
  }
  void reportLost(std::size_t Self, std::size_t Peer,
                  std::vector<PeerMessage> Unsent, Duration After) {
    Time.schedule(After, [this, Self, Peer, Unsent = std::move(Unsent)] {
      apply(Self, PeerLost{hostName(Peer), Unsent});
    });
  }

  // The store.

  static constexpr StoreHistory History = 1;
  static constexpr std::size_t RefusalBytes = 100;
  /// Bytes of records in an answer; the first record is always sent.
  static constexpr std::size_t PageBytes =
      platform::ReadPageKilobytes * std::size_t{1024};

  std::vector<KeyedRecord> &log(Topic Which) {
    return Logs[static_cast<std::size_t>(Which)];
  }
  /// The flow of the store's answers on a host's link.
  std::size_t storeFlow() const { return Hosts.size(); }
  /// Time for a request to arrive at the store and to be handled.
  Duration storeDelay(std::size_t Self) {
    const std::string &Region = Hosts[Self]->Described.Region;
    return StoreDelay + (Region == StoreRegion ? 0us : RegionDelay);
  }

  void performAtStore(std::size_t Self, SidecarEffect &Effect) {
    if (auto *Wanted = std::get_if<ReadTopicSnapshot>(&Effect))
      readSnapshot(Self, *Wanted);
    else if (auto *Wanted = std::get_if<ReadTopic>(&Effect))
      readRecords(Self, *Wanted);
    else if (auto *Abandoned = std::get_if<AbandonReads>(&Effect))
      abandonReads(Self, Abandoned->Which);
    else if (auto *Own = std::get_if<Announce>(&Effect))
      appendAnnouncement(Self, Own->Content.Host,
                         encodeAnnouncement(Own->Content));
    else if (auto *Removed = std::get_if<RemoveHost>(&Effect))
      appendAnnouncement(Self, Removed->Host, std::nullopt);
  }

  void append(Topic Which, const std::string &Key,
              std::optional<std::string> Value) {
    auto At = static_cast<Offset>(log(Which).size());
    log(Which).push_back({Key, std::move(Value), At});
    auto Ended = std::exchange(Waiting[static_cast<std::size_t>(Which)], {});
    for (auto &EndRead : Ended)
      EndRead();
  }
  void appendAnnouncement(std::size_t Self, const HostId &Key,
                          const std::optional<std::string> &Value) {
    if (Hosts[Self]->CutFromStore)
      return Time.schedule(MinStoreTimeout, [this, Self] {
        apply(Self, AnnouncementResult{false, "no answer", 0});
      });
    Time.schedule(storeDelay(Self), [this, Self, Key, Value] {
      append(Topic::Members, Key, Value);
      answer(Self, 100, [this, Self] {
        apply(Self, AnnouncementResult{true, "", History});
      });
    });
  }

  /// Sends an answer of the store over the link of a host.
  void answer(std::size_t Self, std::size_t Bytes,
              const VirtualTime::Action &OnReceived) {
    Duration Delay = storeDelay(Self) - StoreDelay;
    Time.schedule(Delay, [this, Self, Bytes, OnReceived] {
      for (std::size_t Left = Bytes; Left > 0;) {
        std::size_t Part = std::min(Left, SegmentBytes);
        Left -= Part;
        bool Last = Left == 0;
        Hosts[Self]->Receiving.enqueue(storeFlow(), Part,
                                       [this, Self, Part, Last, OnReceived] {
                                         Hosts[Self]->TopicBytes += Part;
                                         if (Last)
                                           OnReceived();
                                       });
      }
    });
  }

  /// Starts a read. Ask runs when the request has arrived, unless the store
  /// refuses it; the read is given up when it takes too long.
  void startRead(std::size_t Self, Topic Which, Duration Wait,
                 Duration HedgeTimeout,
                 std::function<void(const StoreReadPtr &)> Ask) {
    ++Hosts[Self]->StoreReads;
    auto Read = std::make_shared<StoreRead>();
    Read->Hedged = HedgeTimeout > 0us;
    Read->Timeout = Read->Hedged ? HedgeTimeout : MinStoreTimeout;
    Hosts[Self]->Reads[static_cast<std::size_t>(Which)].push_back(Read);
    giveUpLater(Self, Which, Read, Wait + Read->Timeout);
    Time.schedule(storeDelay(Self), [this, Self, Which, Read,
                                     Ask = std::move(Ask)] {
      if (!ReadsRefused[static_cast<std::size_t>(Which)])
        return Ask(Read);
      Read->OnWhole = [this, Self, Which, Hedged = Read->Hedged] {
        apply(Self, TopicReadFailed{Which, "status 503", History, 0, Hedged});
      };
      sendAnswer(Self, Read, RefusalBytes);
    });
  }

  void giveUpLater(std::size_t Self, Topic Which, const StoreReadPtr &Read,
                   Duration After) {
    Time.schedule(After, [this, Self, Which, Read] {
      if (Read->Ended)
        return;
      TimePoint Due = std::min(Read->ReceivedAt + Read->Timeout,
                               Read->BegunAt + platform::MaxTransferTime);
      if (Read->Received > 0 && Time.now() < Due)
        return giveUpLater(Self, Which, Read, Due - Time.now());
      Read->Ended = true;
      AbandonedBytes += Read->Received;
      apply(Self, TopicReadFailed{Which, "no answer", 0, Read->Received,
                                  Read->Hedged});
    });
  }
  void abandonReads(std::size_t Self, Topic Which) {
    auto &Reads = Hosts[Self]->Reads[static_cast<std::size_t>(Which)];
    for (const auto &Each : std::exchange(Reads, {})) {
      StoreReadPtr Read = Each.lock();
      if (!Read || std::exchange(Read->Ended, true))
        continue;
      AbandonedBytes += Read->Received;
    }
  }

  void sendAnswer(std::size_t Self, const StoreReadPtr &Read,
                  std::size_t Bytes) {
    if (Hosts[Self]->CutFromStore)
      return;
    Read->Left = Bytes;
    continueAnswer(Self, Read);
  }

  /// Sends what the window allows. An answer that was given up is not sent on.
  void continueAnswer(std::size_t Self, const StoreReadPtr &Read) {
    while (!Read->Ended && Read->Left > 0 &&
           Read->UnderWay < StoreWindowBytes) {
      std::size_t Part = std::min(Read->Left, SegmentBytes);
      Read->Left -= Part;
      Read->UnderWay += Part;
      passRegions(StoreRegion, Hosts[Self]->Described.Region,
                  storeFlow() + Self, Part, [this, Self, Read, Part] {
                    Hosts[Self]->Receiving.enqueue(
                        storeFlow(), Part,
                        [=, this] { answerReceived(Self, Read, Part); });
                  });
    }
  }

  void answerReceived(std::size_t Self, const StoreReadPtr &Read,
                      std::size_t Part) {
    Hosts[Self]->TopicBytes += Part;
    Read->UnderWay -= Part;
    if (Read->Received == 0)
      Read->BegunAt = Time.now();
    Read->ReceivedAt = Time.now();
    Read->Received += Part;
    if (Read->Ended)
      return;
    if (Read->Left > 0 || Read->UnderWay > 0)
      return continueAnswer(Self, Read);
    Read->Ended = true;
    Read->OnWhole();
  }

  void readSnapshot(std::size_t Self, const ReadTopicSnapshot &Wanted) {
    Topic Which = Wanted.Which;
    startRead(Self, Which, 0us, Wanted.HedgeTimeout,
              [this, Self, Which](const StoreReadPtr &Read) {
                std::map<std::string, KeyedRecord> Newest;
                for (const KeyedRecord &Record : log(Which))
                  Newest[Record.Key] = Record;
                std::size_t Bytes = 100;
                auto Page = std::make_shared<TopicSnapshot>(
                    TopicSnapshot{Which, {}, 0, History});
                Page->Next = static_cast<Offset>(log(Which).size());
                Page->Hedged = Read->Hedged;
                for (auto &[Key, Record] : Newest) {
                  if (!Record.Value)
                    continue;
                  // The page holds values in base64.
                  Bytes += 50 + Key.size() + Record.Value->size() * 4 / 3;
                  Page->Records.push_back(Record);
                }
                Read->OnWhole = [this, Self, Page] {
                  apply(Self, std::move(*Page));
                };
                sendAnswer(Self, Read, Bytes);
              });
  }

  void readRecords(std::size_t Self, const ReadTopic &Wanted) {
    startRead(Self, Wanted.Which, Wanted.Wait, Wanted.HedgeTimeout,
              [this, Self, Wanted](const StoreReadPtr &Read) {
                if (static_cast<std::size_t>(Wanted.From) <
                    log(Wanted.Which).size())
                  return answerRecords(Self, Wanted, Read);
                awaitRecords(Self, Wanted, Read);
              });
  }

  void awaitRecords(std::size_t Self, const ReadTopic &Wanted,
                    const StoreReadPtr &Read) {
    auto Answered = std::make_shared<bool>(false);
    auto EndRead = [this, Self, Wanted, Read, Answered] {
      if (!std::exchange(*Answered, true))
        answerRecords(Self, Wanted, Read);
    };
    Waiting[static_cast<std::size_t>(Wanted.Which)].emplace_back(EndRead);
    Time.schedule(Wanted.Wait, EndRead);
  }

  void answerRecords(std::size_t Self, const ReadTopic &Wanted,
                     const StoreReadPtr &Read) {
    const std::vector<KeyedRecord> &Log = log(Wanted.Which);
    auto Page = std::make_shared<TopicRecords>();
    Page->Which = Wanted.Which;
    Page->History = History;
    Page->Hedged = Read->Hedged;
    std::size_t Bytes = 100;
    auto At = static_cast<std::size_t>(Wanted.From);
    for (; At < Log.size(); ++At) {
      std::size_t Record =
          5 + Log[At].Key.size() + (Log[At].Value ? Log[At].Value->size() : 0);
      if (!Page->Records.empty() && Bytes + Record > PageBytes)
        break;
      Bytes += Record;
      Page->Records.push_back(Log[At]);
    }
    Page->Next = static_cast<Offset>(At);
    Page->End = static_cast<Offset>(Log.size());
    Read->OnWhole = [this, Self, Page] { apply(Self, std::move(*Page)); };
    sendAnswer(Self, Read, Bytes);
  }

  // Tools.

  Duration randomTime(Duration Below) {
    return Duration(static_cast<Duration::rep>(
        Random() % static_cast<std::uint64_t>(Below.count())));
  }
  void repeat(Duration Interval, const VirtualTime::Action &What) {
    What();
    Time.schedule(Interval, [this, Interval, What] { repeat(Interval, What); });
  }

  VirtualTime Time;
  double LinkBytes; ///< In the settings of each host.
  std::function<std::size_t(const std::string &)> AnswerSize;
  std::string StoreRegion;
  std::mt19937_64 Random;
  platform::JsonRecordDecoder Decoder;
  std::map<std::string, std::string> RegionOfDomain;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::map<HostId, std::size_t> IndexOf;
  std::map<std::pair<std::size_t, std::size_t>, Link> Links;
  std::array<std::vector<KeyedRecord>, TopicCount> Logs;
  std::array<std::vector<VirtualTime::Action>, TopicCount> Waiting;
  std::array<bool, TopicCount> ReadsRefused{};
  /// By the region that receives.
  std::map<std::string, std::unique_ptr<PacedPort>> RegionPorts;
  std::size_t AbandonedBytes = 0;
};

} // namespace figsail::test

#endif // FIGSAIL_TESTS_PACEDCLUSTER_H
