// RecordsFixture.h - Helper functions of the tests of records and takeover.

#ifndef FIGSAIL_RECORDSFIXTURE_H
#define FIGSAIL_RECORDSFIXTURE_H

#include "figsail/Coordinator.h"

#include <string>
#include <vector>

namespace figsail::fixture {

inline const std::string Service = "group/service";
inline const std::string Route = "group/service/route";
inline constexpr Duration Lifetime = std::chrono::minutes(10);
inline const TimePoint Start{std::chrono::hours(1)};

/// Returns a member. Incarnation 0 stands for 100 plus the number in the host's
/// name.
inline Member member(const HostId &Host, const std::string &Domain,
                     Incarnation Inc = 0, const std::string &Region = "r") {
  Member Added;
  Added.Host = Host;
  Added.Inc = Inc != 0 ? Inc : 100 + std::stoul(Host.substr(1));
  Added.Region = Region;
  Added.FailureDomain = Domain;
  Added.Service = Service;
  return Added;
}

inline PeerRef ref(const Member &Listed) { return {Listed.Host, Listed.Inc}; }

inline EpochEntry epoch(Offset At, std::vector<Member> Members,
                        TimePoint AppliedAt = Start) {
  EpochEntry Entry;
  Entry.At = At;
  Entry.AppliedAt = AppliedAt;
  Entry.Members = std::move(Members);
  Entry.RouteRegions[Route] = {};
  return Entry;
}

/// Returns the first key, counted from number From, that a host coordinates in
/// an epoch.
inline RequestKey keyCoordinatedBy(const EpochEntry &Entry, const HostId &Host,
                                   int From = 0) {
  for (int I = From;; ++I) {
    RequestKey Key = requestKey(Route, std::to_string(I));
    if (coordinatorOf(Entry, Route, Key)->Host == Host)
      return Key;
  }
}

inline CallPolicy policy() {
  CallPolicy Policy;
  Policy.Route = Route;
  Policy.Service = Service;
  Policy.Idempotent = false;
  Policy.RecordLifetime = Lifetime;
  return Policy;
}

inline GrantToken token(const RequestKey &Key, Offset Epoch,
                        const PeerRef &Coordinator, const PeerRef &Executor,
                        std::uint32_t Attempt = 1) {
  return {Key, Service, Epoch, Coordinator, Executor, Attempt};
}

inline Execute execute(CallId Call, const GrantToken &Grant) {
  Execute Message;
  Message.Call = Call;
  Message.Policy = policy();
  Message.Fingerprint = 7;
  Message.Grant = Grant;
  return Message;
}

/// Returns all messages of one type among the effects, with their receivers.
template <class Type>
std::vector<std::pair<HostId, Type>> sent(const EffectList &Effects) {
  std::vector<std::pair<HostId, Type>> Found;
  for (const Effect &Next : Effects)
    if (const auto *Sending = std::get_if<SendPeer>(&Next))
      if (const auto *Message = std::get_if<Type>(&Sending->Message))
        Found.emplace_back(Sending->Host, *Message);
  return Found;
}

} // namespace figsail::fixture

#endif // FIGSAIL_RECORDSFIXTURE_H
