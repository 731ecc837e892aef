// Takeover.h - Fences, acknowledgements and the walk over earlier epochs.

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

/// What one coordinator knows of the acknowledgements of the other members.
class Takeover {
public:
  Takeover(PeerRef Self, Duration LongestLifetime);

  /// Fences the members of this and earlier epochs, when this host is listed.
  void epochChanged(TimePoint Now, const std::string &Service,
                    const EpochHistory &History, EffectList &Out);

  /// Notes one part of an acknowledgement. Stored tells whether all of its
  /// records were stored; if not, the acknowledgement does not count.
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

  /// Returns the epoch of the last call of epochChanged(), or NoOffset.
  Offset epoch(const std::string &Service) const;

  void timer(TimePoint Now, EffectList &Out);
  TimePoint nextWake() const;

private:
  /// Acknowledged epochs and whether Complete was set.
  using AckedEpochs = std::map<Offset, bool>;

  /// Parts of an acknowledgement that is not whole yet.
  struct PartialAck {
    std::uint64_t AckNumber = 0;
    std::set<std::uint32_t> Parts;
    std::optional<std::uint32_t> Last;
    bool Stored = true;
  };

  /// A member that has not acknowledged the current epoch.
  struct Target {
    TimePoint NextSend;
    unsigned Sent = 0;
    bool Listed = true;
    bool AnswerPending = true; ///< False: asked again only for Complete.
  };

  struct ServiceState {
    Offset Epoch = NoOffset;
    TimePoint Since;        ///< When the epoch was applied.
    bool Truncated = false; ///< Complete acknowledgements are needed.
    std::map<PeerRef, AckedEpochs> Acks;
    std::map<PeerRef, PartialAck> Partial;
    std::map<PeerRef, Target> Targets;
    /// Epochs that list this incarnation, in which it knows all earlier grants
    /// of the keys that it coordinates there.
    std::set<Offset> Covered;
  };

  enum class Coverage { None, ThisEpoch, WithEarlier };
  /// Tells whether acknowledgements of an epoch hold the records in question.
  using EpochTest = std::function<bool(const EpochEntry &)>;

  void updateCovered(TimePoint Now, ServiceState &State,
                     const EpochHistory &History) const;
  void prune(ServiceState &State, const EpochHistory &History) const;
  std::optional<bool> acked(const ServiceState &State,
                            const EpochHistory &History, const PeerRef &Who,
                            Offset After, const EpochTest &Usable) const;
  bool executorsAcked(const ServiceState &State, const EpochHistory &History,
                      const EpochEntry &Entry, const std::string &Route,
                      const Member &Granter, const EpochTest &Usable) const;
  Coverage epochCoverage(const ServiceState &State, const EpochHistory &History,
                         const EpochEntry &Entry,
                         const std::vector<std::string> &Routes,
                         const EpochTest &Usable) const;
  bool coversAllKeys(TimePoint Now, const ServiceState &State,
                     const EpochHistory &History,
                     const EpochEntry &Entry) const;

  PeerRef Self;
  Duration LongestLifetime;
  std::map<std::string, ServiceState> Services;
};

} // namespace figsail

#endif // FIGSAIL_TAKEOVER_H
