// LogReplica.h - Replica of the replicated state for tools, built from the log.

#ifndef FIGSAIL_LOGREPLICA_H
#define FIGSAIL_LOGREPLICA_H

#include "LogConnection.h"
#include "figsail/ReplicatedState.h"

#include <iosfwd>
#include <map>
#include <optional>
#include <string>

namespace figsail {

/// Outcome of a proposed change.
struct ProposalOutcome {
  std::optional<Verdict> FinalVerdict; ///< Empty if the outcome is unknown.
  Offset ChangeOffset = NoOffset; ///< Offset of the change, or NoOffset if the
                                  ///< change was read from a snapshot.
};

/// Replica that applies the records of the log and proposes changes.
class LogReplica {
public:
  explicit LogReplica(LogConnection &Log) : Log(Log) {}

  /// Applies all records up to the end of the log. Returns an error text when
  /// the log cannot be read or no longer contains the complete state.
  std::optional<std::string> catchUp();

  /// Appends a change and reads the log until it contains the change. If the
  /// append is not acknowledged, the change is searched for by its id and
  /// appended again under the same id, for up to Timeout.
  ProposalOutcome propose(const Change &Proposal, Duration Timeout);

  const ReplicatedState &state() const { return State; }

  /// Returns the latest change that edited a node, as "ID at offset N", or an
  /// empty text when the log no longer contains that change.
  std::string lastChangeTo(const std::string &Path) const;

private:
  struct LastEdit {
    std::string ChangeId;
    Offset ChangeOffset = NoOffset;
  };

  std::optional<std::string> readBatch(Duration Wait, bool &AtEnd);
  void apply(const LogRecord &Record);

  LogConnection &Log;
  ReplicatedState State;
  std::map<std::string, Offset> ChangeOffsets; ///< By change id.
  std::map<std::string, LastEdit> LastEdits;   ///< By path of the edited node.
};

/// Calls Replica.catchUp(). Prints the error and returns false if it fails.
bool catchUp(LogReplica &Replica, std::ostream &Error);

} // namespace figsail

#endif // FIGSAIL_LOGREPLICA_H
