// QuotaCluster.h - Simulation of the quotas of workspaces on many hosts in
// virtual time, without a network.

#ifndef FIGSAIL_TESTS_QUOTACLUSTER_H
#define FIGSAIL_TESTS_QUOTACLUSTER_H

#include "QuotaCoordinator.h"
#include "WorkspaceQuota.h"

#include "figsail/Epoch.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace figsail::test {

/// Hosts in two regions that are 30 ms apart. Messages within a region take 1
/// ms, and time advances in steps of 1 ms.
class QuotaCluster {
public:
  explicit QuotaCluster(std::size_t Count, std::uint64_t Seed = 1)
      : Random(Seed) {
    for (std::size_t I = 0; I < Count; ++I) {
      Announcement Announced;
      Announced.Host = "10.0." + std::to_string(I / 200) + "." +
                       std::to_string(I % 200) + ":7140";
      Announced.Order.Counter = 1;
      Directory.merge(Announced);
      Hosts.push_back(std::make_unique<Host>(Announced.Host, Bounds));
      Index[Announced.Host] = I;
      Hosts.back()->Quota.setHostCount(Count);
    }
  }

  void limit(const std::string &Name, double Rate, double Burst) {
    Limits[Name].Name = Name;
    Limits[Name].RatePerSecond = Rate;
    Limits[Name].Burst = Burst;
  }
  /// Returns the host whose coordinator role a workspace has now.
  std::size_t coordinator(const std::string &Name) const {
    return Index.at(
        quotaCoordinator(Name, Hosts[0]->Name, Directory, Hosts[0]->Peers));
  }
  void restart(std::size_t At) {
    Host &Old = *Hosts[At];
    Incarnation Next = Old.Inc + 1;
    Hosts[At] = std::make_unique<Host>(Old.Name, Bounds);
    Hosts[At]->Inc = Next;
    Hosts[At]->Quota.setHostCount(Hosts.size());
  }

  /// All messages under way are lost, as when all hosts lose power.
  void dropMessages() {
    Packets.clear();
    Losses.clear();
  }

  /// Sends requests of one workspace for some time, PerSecond in total, to the
  /// hosts from First to First + Count - 1.
  void load(const std::string &Name, double PerSecond, std::size_t First,
            std::size_t Count) {
    Loads.push_back({Name, PerSecond, First, Count});
  }
  void stopLoads() { Loads.clear(); }

  void run(Duration Time) {
    for (TimePoint End = Now + Time; Now < End;
         Now += std::chrono::milliseconds(1))
      step();
  }

  /// Returns the requests admitted in [From, To).
  std::size_t admitted(const std::string &Name, TimePoint From,
                       TimePoint To) const {
    const auto &Times = Admitted.at(Name);
    return static_cast<std::size_t>(std::ranges::lower_bound(Times, To) -
                                    std::ranges::lower_bound(Times, From));
  }
  /// Returns the most requests beyond the bound in any window; at most 0 if the
  /// bound holds.
  double excess(const std::string &Name, TimePoint From = TimePoint{}) const {
    const Workspace &Of = Limits.at(Name);
    double Window = std::chrono::duration<double>(Bounds.QuotaWindow).count();
    double Bound =
        (Of.RatePerSecond * Window + Of.Burst) * (1 + Bounds.QuotaOverage) +
        Bounds.QuotaSlack;
    double Worst = -Bound;
    for (TimePoint At : Admitted.at(Name))
      if (At >= From)
        Worst = std::max(Worst, static_cast<double>(admitted(
                                    Name, At, At + Bounds.QuotaWindow)) -
                                    Bound);
    return Worst;
  }

  SidecarBounds Bounds;
  TimePoint Now{std::chrono::seconds(1000)};
  std::map<std::string, std::size_t> Refused;
  std::map<std::string, std::vector<TimePoint>> Admitted;
  std::size_t Messages = 0;
  std::size_t CrossRegion = 0;
  std::function<bool(std::size_t, std::size_t)> Cut; ///< Links that lose all.
  std::vector<bool> Frozen = std::vector<bool>(10000);

  struct Host {
    Host(const HostId &Own, const SidecarBounds &Bounds)
        : Name(Own), Quota(Own, Bounds), Coordinator(Bounds) {}
    HostId Name;
    Incarnation Inc = 1;
    PeerHealth Peers;
    WorkspaceQuota Quota;
    QuotaCoordinator Coordinator;
  };
  std::vector<std::unique_ptr<Host>> Hosts;

  /// One request at a host. Returns the Retry-After, or nothing.
  std::optional<Duration> request(const std::string &Name, std::size_t At) {
    auto Refusal = Hosts[At]->Quota.admit(Now, Limits.at(Name));
    if (Refusal)
      ++Refused[Name];
    else
      Admitted[Name].push_back(Now);
    return Refusal;
  }

private:
  struct Load {
    std::string Name;
    double PerSecond;
    std::size_t First;
    std::size_t Count;
  };
  struct Packet {
    std::size_t From;
    std::size_t To;
    Incarnation Inc;
    PeerMessage Message;
  };

  QuotaStep stepOf(Host &At, SidecarEffects &Out) {
    auto Find = [this](const std::string &Name) -> const Workspace * {
      auto Found = Limits.find(Name);
      return Found == Limits.end() ? nullptr : &Found->second;
    };
    return {Now, Find, Directory, At.Peers, Out};
  }

  void send(std::size_t From, SidecarEffects &Out) {
    for (SidecarEffect &Effect : Out) {
      auto *Sent = std::get_if<SendPeer>(&Effect);
      if (!Sent)
        continue;
      std::size_t To = Index.at(Sent->Host);
      bool Remote = From % 2 != To % 2;
      Messages += From != To ? 1 : 0;
      CrossRegion += Remote ? 1 : 0;
      if (From != To && Cut && Cut(From, To)) {
        // The link is found to be silent.
        Losses.emplace(Now + std::chrono::milliseconds(400),
                       std::pair(From, To));
        continue;
      }
      Duration Delay = std::chrono::milliseconds(From == To ? 0
                                                 : Remote   ? 30
                                                            : 1);
      Packets.emplace(Now + Delay, Packet{From, To, Hosts[From]->Inc,
                                          std::move(Sent->Message)});
    }
  }

  void deliver(Packet &Arrived) {
    Host &At = *Hosts[Arrived.To];
    SidecarEffects Out;
    const HostId &From = Hosts[Arrived.From]->Name;
    At.Peers.markReachable(From, Out);
    if (auto *Report = std::get_if<QuotaReport>(&Arrived.Message)) {
      QuotaStep Step = stepOf(At, Out);
      At.Coordinator.received(Step, {From, Arrived.Inc}, *Report);
    } else if (auto *Reply = std::get_if<QuotaReply>(&Arrived.Message)) {
      At.Quota.received(Now, From, *Reply, Out);
    }
    send(Arrived.To, Out);
  }

  void step() {
    for (const Load &Current : Loads) {
      std::poisson_distribution<int> Count(Current.PerSecond / 1000);
      for (int I = Count(Random); I > 0; --I) {
        std::size_t At = Current.First + Random() % Current.Count;
        if (!Frozen[At])
          request(Current.Name, At);
      }
    }
    while (!Losses.empty() && Losses.begin()->first <= Now) {
      auto [From, To] = Losses.begin()->second;
      Losses.erase(Losses.begin());
      SidecarEffects Out;
      if (Cut && Cut(From, To))
        Hosts[From]->Peers.markUnreachable(Now, Hosts[To]->Name, Out);
    }
    for (auto At = Packets.begin(); At != Packets.end() && At->first <= Now;) {
      if (Frozen[At->second.To]) {
        ++At;
        continue;
      }
      Packet Arrived = std::move(At->second);
      At = Packets.erase(At);
      deliver(Arrived);
    }
    for (std::size_t I = 0; I < Hosts.size(); ++I) {
      if (Frozen[I])
        continue;
      Host &At = *Hosts[I];
      SidecarEffects Out;
      At.Quota.timer(Now, Directory, At.Peers, Out);
      QuotaStep Step = stepOf(At, Out);
      At.Coordinator.timer(Step);
      send(I, Out);
    }
    if (Now.time_since_epoch() % ProbeInterval == Duration(0))
      probe();
  }

  /// Unreachable hosts are reachable again once their links work.
  void probe() {
    for (std::size_t I = 0; I < Hosts.size(); ++I)
      for (std::size_t Other = 0; Other < Hosts.size(); ++Other)
        if (!Cut || !Cut(I, Other))
          Hosts[I]->Peers.remove(Hosts[Other]->Name);
  }

  static constexpr Duration ProbeInterval{std::chrono::milliseconds(100)};

  std::mt19937_64 Random;
  InstanceDirectory Directory;
  std::map<HostId, std::size_t> Index;
  std::map<std::string, Workspace> Limits;
  std::vector<Load> Loads;
  std::multimap<TimePoint, Packet> Packets;
  std::multimap<TimePoint, std::pair<std::size_t, std::size_t>> Losses;
};

} // namespace figsail::test

#endif // FIGSAIL_TESTS_QUOTACLUSTER_H
