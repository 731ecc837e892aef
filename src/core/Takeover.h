// Takeover.h - Decision whether a coordinator knows all grants of earlier
// epochs.

#ifndef FIGSAIL_TAKEOVER_H
#define FIGSAIL_TAKEOVER_H

#include "figsail/Epoch.h"
#include "figsail/Events.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace figsail {

/// The acknowledgements that a coordinator has got from the other members, and
/// the fences that it still sends to get them. Searches the epochs backwards
/// for the point before which no unknown grant of a key can exist.
class Takeover {
public:
  Takeover(PeerRef Self, Duration LongestLifetime);

  /// Sends fences to the members of this and earlier epochs, if this host is
  /// listed.
  void epochChanged(TimePoint Now, const std::string &Service,
                    const EpochHistory &History, EffectList &Out);

  /// Records the receipt of one part of an acknowledgement. If Stored is false,
  /// some of its records were not stored, and the acknowledgement does not
  /// count.
  void acknowledged(TimePoint Now, const PeerRef &From, const FenceAck &Part,
                    bool Stored, const EpochHistory *History);

  /// Returns whether all grants of a key in the epochs before the current one
  /// are known here or can no longer be used.
  bool covers(TimePoint Now, const std::string &Service,
              const EpochHistory &History, const std::string &Route,
              const RequestKey &Key, Duration Lifetime) const;

  /// Returns the value of FenceAck::Complete in an acknowledgement of an epoch.
  bool complete(const std::string &Service, const EpochHistory &History,
                Offset Epoch) const;

  /// Returns the epoch of the last epochChanged(), or NoOffset.
  Offset epoch(const std::string &Service) const;

  void timer(TimePoint Now, EffectList &Out);
  TimePoint nextWake() const;

private:
  /// Maps each acknowledged epoch to whether Complete was set.
  using AckedEpochs = std::map<Offset, bool>;

  /// The received parts of an acknowledgement that lacks others.
  struct PartialAck {
    std::uint64_t AckNumber = 0;
    std::set<std::uint32_t> Parts;
    std::optional<std::uint32_t> Last;
    bool Stored = true;
  };

  /// A member whose acknowledgement of the current epoch is missing, or has not
  /// been complete.
  struct PendingMember {
    TimePoint NextSend;
    unsigned Sent = 0;
    bool Listed = true;
    bool AnswerPending = true; ///< False: only Complete is still missing.
  };

  struct ServiceTakeover {
    Offset Epoch = NoOffset;
    TimePoint AppliedAt;    ///< When the epoch was applied.
    bool Truncated = false; ///< The history starts at a snapshot, so complete
                            ///< acknowledgements are needed.
    std::map<PeerRef, AckedEpochs> Acks;
    std::map<PeerRef, PartialAck> Partial;
    std::map<PeerRef, PendingMember> PendingMembers;
    /// Epochs that list this incarnation, in which it knows all earlier grants
    /// of the keys that it coordinates there.
    std::set<Offset> Covered;
  };

  /// The epochs of which all grants are known: an epoch, and those before it.
  enum class Coverage { None, ThisEpoch, WithEarlier };
  /// Returns whether acknowledgements of an epoch hold the records in question.
  using EpochTest = std::function<bool(const EpochEntry &)>;

  void updateCovered(TimePoint Now, ServiceTakeover &State,
                     const EpochHistory &History) const;
  void prune(ServiceTakeover &State, const EpochHistory &History) const;
  /// Looks for Peer's usable acknowledgements of epochs later than After.
  /// Returns whether one is complete, or nothing if there is none.
  std::optional<bool> findAck(const ServiceTakeover &State,
                              const EpochHistory &History, const PeerRef &Peer,
                              Offset After, const EpochTest &Usable) const;
  bool executorsAcked(const ServiceTakeover &State, const EpochHistory &History,
                      const EpochEntry &Entry, const std::string &Route,
                      const Member &Granter, const EpochTest &Usable) const;
  Coverage epochCoverage(const ServiceTakeover &State,
                         const EpochHistory &History, const EpochEntry &Entry,
                         const std::vector<std::string> &Routes,
                         const EpochTest &Usable) const;
  bool coversAllKeys(TimePoint Now, const ServiceTakeover &State,
                     const EpochHistory &History,
                     const EpochEntry &Entry) const;

  PeerRef Self;
  Duration LongestLifetime;
  std::map<std::string, ServiceTakeover> Services;
};

} // namespace figsail

#endif // FIGSAIL_TAKEOVER_H
