// ReplicatedState.h - Configuration and member lists, reduced from the log in
// offset order.

#ifndef FIGSAIL_REPLICATEDSTATE_H
#define FIGSAIL_REPLICATEDSTATE_H

#include "figsail/Configuration.h"
#include "figsail/Epoch.h"
#include "figsail/LogRecords.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace figsail {

/// What applying one record changed.
struct ApplyResult {
  Verdict Outcome; ///< Of a change or membership record.
  std::vector<std::string> ServicesChanged; ///< Services with a new epoch.
  bool Duplicate = false; ///< The change id was seen before; nothing was done.
  bool Ignored = false;   ///< Offset already applied, or not readable.
};

/// The state that is the same on every daemon that applied the same offset.
class ReplicatedState {
public:
  /// Checks and applies one record. Records at or below applied() are ignored.
  /// Now only stamps epochs; it does not affect the outcome.
  ApplyResult applyRecord(TimePoint Now, const LogRecord &Record);

  /// Returns the highest applied offset, or NoOffset.
  Offset applied() const { return Applied; }
  const Configuration &configuration() const { return Tree; }

  /// Returns the listed member at a host, or null.
  const Member *member(const HostId &Host) const;
  /// Returns all listed members by host.
  const std::map<HostId, Member> &members() const { return Members; }

  /// Returns the epochs of a service, or null when it has none.
  const EpochHistory *epochs(const std::string &Service) const;

  /// Returns the verdict of a change id, when its record was applied and is
  /// still remembered.
  std::optional<Verdict> verdictOf(const std::string &ChangeId) const;

  /// Returns the whole state as JSON text. Equal on every daemon with the same
  /// applied offset.
  std::string snapshot() const;
  /// Replaces the state by a snapshot, unless it is older than applied().
  /// Returns an error text, or nothing. Epochs restored from it are marked
  /// Truncated.
  std::optional<std::string> restore(TimePoint Now, Offset At,
                                     const std::string &State);

  /// Forgets epochs that ended more than Keep before Now.
  void expireEpochs(TimePoint Now, Duration Keep);

private:
  void refreshEpoch(TimePoint Now, Offset At, const std::string &Service,
                    ApplyResult &Result);

  Configuration Tree;
  std::map<HostId, Member> Members;
  std::map<std::string, EpochHistory> Epochs; ///< By service path.
  std::map<std::string, Verdict> Verdicts;    ///< By change id, bounded.
  std::vector<std::string> VerdictOrder;      ///< Change ids, oldest first.
  Offset Applied = NoOffset;
};

} // namespace figsail

#endif // FIGSAIL_REPLICATEDSTATE_H
