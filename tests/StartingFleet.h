// StartingFleet.h - Simulation of daemons that all start at once beside a store
// that answers slowly, loses answers or refuses calls, in virtual time.

#ifndef FIGSAIL_TESTS_STARTINGFLEET_H
#define FIGSAIL_TESTS_STARTINGFLEET_H

#include "JsonRecordDecoder.h"
#include "Sidecar.h"
#include "TopicLogs.h"
#include "VirtualTime.h"

#include <algorithm>
#include <array>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace figsail::test {

/// How the store behaves.
struct SlowStore {
  Duration AnswerTime{0};      ///< From a call to its answer.
  double LostAnswers = 0;      ///< Fraction.
  unsigned ReadsPerSecond = 0; ///< Further reads are refused; 0: no bound.
};

/// What the store was asked for.
struct StoreCost {
  std::size_t Reads = 0;
  std::size_t Refused = 0; ///< Reads beyond the bound.
  std::size_t Appends = 0;
  std::size_t Bytes = 0; ///< Of the records in answers.
};

/// Simulator of daemons that return from a loss of power of all hosts: the
/// store holds the configuration and the announcements of their predecessors.
class StartingFleet {
public:
  StartingFleet(std::size_t Count, const SlowStore &Behavior,
                std::uint64_t Seed)
      : Store(Behavior), Random(Seed), Hosts(Count) {
    Topics.put(Topic::Operator, "config", DeskConfigText);
    for (std::size_t I = 0; I < Count; ++I)
      Topics.put(
          Topic::Members, hostName(I),
          encodeAnnouncement(announcement(hostName(I), "desk", domain(I))));
    for (std::size_t I = 0; I < Count; ++I)
      Time.schedule(randomTime(StartSpread), [this, I] { start(I); });
  }
  StartingFleet(const StartingFleet &) = delete;
  StartingFleet &operator=(const StartingFleet &) = delete;

  void run(Duration Length) { Time.run(Length); }
  /// Runs until all daemons are ready, Limit at most.
  void runUntilReady(Duration Limit) {
    TimePoint End = Time.now() + Limit;
    while (Time.now() < End && readyCount() < Hosts.size())
      Time.run(std::min<Duration>(100ms, End - Time.now()));
  }
  void setStore(const SlowStore &Changed) { Store = Changed; }

  /// Returns the time from the first start until the last daemon was ready;
  /// max() if one is not.
  Duration timeToReady() const {
    Duration Longest{0};
    for (const Host &Each : Hosts)
      Longest = std::max(Longest, Each.Ready ? Each.ReadyAt - TestStart
                                             : Duration::max());
    return Longest;
  }
  std::size_t readyCount() const {
    return static_cast<std::size_t>(std::ranges::count_if(Hosts, &Host::Ready));
  }
  /// Returns the number of hosts whose newest announcement in the store is that
  /// of the present daemon.
  std::size_t announcedCount() const {
    std::size_t Count = 0;
    for (const KeyedRecord &Record : Topics.snapshot(Topic::Members).Records) {
      TopicContent Content = Decoder.decode(Topic::Members, Record);
      const auto *Own = std::get_if<Announcement>(&Content);
      if (Own && Own->Order.Inc == incarnation(hostIndex(Own->Host)))
        ++Count;
    }
    return Count;
  }
  const StoreCost &cost() const { return Cost; }

private:
  static constexpr Duration StartSpread = 300ms;
  static constexpr Duration PeerDelay = 1ms;
  static constexpr Duration TimerResolution = 1ms;
  static constexpr std::size_t DomainCount = 4;

  struct Host {
    std::unique_ptr<Sidecar> Reducer;
    TimePoint WakeAt = TimePoint::max();
    bool Ready = false;
    TimePoint ReadyAt;
    Duration StoreTimeout = MinStoreTimeout;
    /// Reads in flight; true: ended.
    std::array<std::vector<std::weak_ptr<bool>>, TopicCount> Reads;
  };

  static std::string domain(std::size_t I) {
    return "d" + std::to_string(I % DomainCount);
  }
  static Incarnation incarnation(std::size_t I) { return 1000 + I; }
  Duration randomTime(Duration Below) {
    return Duration(static_cast<Duration::rep>(
        Random() % static_cast<std::uint64_t>(Below.count())));
  }
  bool happens(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
  }

  // Daemons.

  void start(std::size_t I) {
    SidecarSettings Settings = testSettings(hostName(I), domain(I));
    Settings.Service = "desk";
    Settings.Inc = incarnation(I);
    Hosts[I].Reducer = std::make_unique<Sidecar>(Settings, Decoder);
    apply(I, TimerFired{});
    sendHeartbeat(I, 1);
  }
  void sendHeartbeat(std::size_t I, std::uint64_t Sequence) {
    ServerHeartbeat Own = heartbeat(Sequence, "i-" + hostName(I));
    Own.Service = "desk";
    apply(I, Own);
    Time.schedule(1500ms,
                  [this, I, Sequence] { sendHeartbeat(I, Sequence + 1); });
  }
  void apply(std::size_t I, SidecarEventBody Body) {
    for (SidecarEffect &Effect :
         Hosts[I].Reducer->apply({Time.now(), Random(), std::move(Body)}))
      perform(I, Effect);
    armTimer(I);
  }
  void armTimer(std::size_t I) {
    TimePoint Due =
        std::max(Hosts[I].Reducer->nextWake(), Time.now() + TimerResolution);
    if (Due >= Hosts[I].WakeAt)
      return;
    Hosts[I].WakeAt = Due;
    Time.schedule(Due - Time.now(), [this, I, Due] {
      if (Hosts[I].WakeAt != Due)
        return;
      Hosts[I].WakeAt = TimePoint::max();
      apply(I, TimerFired{});
    });
  }
  void perform(std::size_t I, SidecarEffect &Effect) {
    if (auto *Sent = std::get_if<SendPeer>(&Effect))
      return send(I, hostIndex(Sent->Host), std::move(Sent->Message));
    if (auto *Changed = std::get_if<SetReadiness>(&Effect)) {
      Hosts[I].Ready = Changed->Ready;
      Hosts[I].ReadyAt = Time.now();
      return;
    }
    if (std::holds_alternative<ProbeServer>(Effect))
      return Time.schedule(1ms, [this, I] {
        apply(I, ServerProbeResult{
                     true, "i-" + hostName(I), std::nullopt, {}, {}});
      });
    performAtStore(I, Effect);
  }
  void send(std::size_t From, std::size_t To, PeerMessage Message) {
    Time.schedule(From == To ? 0us : PeerDelay,
                  [this, From, To, Message = std::move(Message)]() mutable {
                    if (!Hosts[To].Reducer)
                      return;
                    connect(From, To);
                    apply(To, PeerReceived{{hostName(From), incarnation(From)},
                                           std::move(Message)});
                  });
  }
  void connect(std::size_t From, std::size_t To) {
    if (From == To || !Links.insert(std::minmax(From, To)).second)
      return;
    apply(From, PeerConnected{{hostName(To), incarnation(To)}});
    apply(To, PeerConnected{{hostName(From), incarnation(From)}});
  }

  // The store.

  void performAtStore(std::size_t I, SidecarEffect &Effect) {
    if (auto *Read = std::get_if<ReadTopicSnapshot>(&Effect))
      return callStore(
          I, Read->Which, 0us, Read->HedgeTimeout,
          [this, Which = Read->Which] { return Topics.snapshot(Which); });
    if (auto *Read = std::get_if<ReadTopic>(&Effect)) {
      bool Held = Read->From >= Topics.end(Read->Which);
      return callStore(I, Read->Which, Held ? Read->Wait : 0us,
                       Read->HedgeTimeout, [this, Wanted = *Read] {
                         return Topics.records(Wanted.Which, Wanted.From);
                       });
    }
    if (auto *Abandoned = std::get_if<AbandonReads>(&Effect))
      return abandon(I, Abandoned->Which);
    if (auto *Changed = std::get_if<SetStoreTimeout>(&Effect))
      Hosts[I].StoreTimeout = Changed->Timeout;
    if (auto *Own = std::get_if<Announce>(&Effect))
      append(I, Own->Content);
  }

  bool isRefused() {
    if (Time.now() >= CountedFrom + 1s) {
      CountedFrom = Time.now();
      ReadsCounted = 0;
    }
    return Store.ReadsPerSecond > 0 && ++ReadsCounted > Store.ReadsPerSecond;
  }

  void abandon(std::size_t I, Topic Which) {
    auto &Reads = Hosts[I].Reads[static_cast<std::size_t>(Which)];
    for (const auto &Read : std::exchange(Reads, {}))
      if (auto Ended = Read.lock())
        *Ended = true;
  }

  /// Calls the store, which makes the answer when it is due. A call ends with
  /// its first event.
  template <class Maker>
  void callStore(std::size_t I, Topic Which, Duration Wait,
                 Duration HedgeTimeout, Maker Answer) {
    ++Cost.Reads;
    bool Hedged = HedgeTimeout > 0us;
    auto Ended = std::make_shared<bool>(false);
    Hosts[I].Reads[static_cast<std::size_t>(Which)].push_back(Ended);
    auto End = [this, I, Ended](SidecarEventBody Body) {
      if (!std::exchange(*Ended, true))
        apply(I, std::move(Body));
    };
    Duration Timeout = Hedged ? HedgeTimeout : Wait + Hosts[I].StoreTimeout;
    Time.schedule(Timeout, [End, Which, Hedged] {
      End(TopicReadFailed{Which, "no answer", 0, 0, Hedged});
    });
    if (isRefused()) {
      ++Cost.Refused;
      return Time.schedule(Store.AnswerTime, [End, Which, Hedged] {
        End(TopicReadFailed{Which, "status 429", 1, 0, Hedged});
      });
    }
    if (happens(Store.LostAnswers))
      return;
    Time.schedule(Wait + Store.AnswerTime, [this, End, Answer, Hedged] {
      auto Made = Answer();
      Made.Hedged = Hedged;
      Cost.Bytes += recordBytes(Made.Records);
      End(std::move(Made));
    });
  }
  static std::size_t recordBytes(const std::vector<KeyedRecord> &Records) {
    std::size_t Bytes = 0;
    for (const KeyedRecord &Record : Records)
      Bytes += Record.Key.size() + (Record.Value ? Record.Value->size() : 0);
    return Bytes;
  }

  /// Appends an announcement, also when its answer is lost or comes too late.
  void append(std::size_t I, const Announcement &Own) {
    ++Cost.Appends;
    auto Ended = std::make_shared<bool>(false);
    auto End = [this, I, Ended](bool Appended) {
      if (!std::exchange(*Ended, true))
        apply(I, AnnouncementResult{Appended, Appended ? "" : "no answer",
                                    Appended ? StoreHistory(1) : 0});
    };
    Time.schedule(Hosts[I].StoreTimeout, [End] { End(false); });
    bool Lost = happens(Store.LostAnswers);
    Time.schedule(Store.AnswerTime, [this, End, Own, Lost] {
      Topics.put(Topic::Members, Own.Host, encodeAnnouncement(Own));
      if (!Lost)
        End(true);
    });
  }

  SlowStore Store;
  std::mt19937_64 Random;
  VirtualTime Time;
  platform::JsonRecordDecoder Decoder;
  TopicLogs Topics;
  std::vector<Host> Hosts;
  std::set<std::pair<std::size_t, std::size_t>> Links;
  StoreCost Cost;
  TimePoint CountedFrom = TestStart;
  unsigned ReadsCounted = 0;
};

} // namespace figsail::test

#endif // FIGSAIL_TESTS_STARTINGFLEET_H
