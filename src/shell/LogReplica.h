// LogReplica.h - The replicated state as a tool reads it from the log.

#ifndef FIGSAIL_LOGREPLICA_H
#define FIGSAIL_LOGREPLICA_H

#include "LogConnection.h"
#include "figsail/ReplicatedState.h"

#include <iosfwd>
#include <map>
#include <optional>
#include <string>

namespace figsail {

/// How a proposed change ended.
struct ProposalOutcome {
  std::optional<Verdict> FinalVerdict; ///< Nothing: the outcome is not known.
  Offset ChangeOffset = NoOffset; ///< Offset of the change; NoOffset: read in a
                                  ///< snapshot.
};

/// Applies the log and proposes changes.
class LogReplica {
public:
  explicit LogReplica(LogConnection &Log) : Log(Log) {}

  /// Applies all records up to the end of the log. Returns an error text when
  /// the log cannot be read or does not hold the whole state any more.
  std::optional<std::string> catchUp();

  /// Appends a change and reads the log until the change stands in it. An
  /// append without an acknowledgement is settled by the change id, and
  /// repeated under the same id, for up to Patience.
  ProposalOutcome propose(const Change &Proposal, Duration Timeout);

  const ReplicatedState &state() const { return State; }

  /// Returns the change that edited a node last, as "ID at offset N", or an
  /// empty text when the log does not hold it any more.
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
  std::map<std::string, Offset> ChangeOffsets; ///< Offsets of changes, by id.
  std::map<std::string, LastEdit> LastEdits;   ///< By path of the edited node.
};

/// Brings a replica up to date. Prints the error and returns false when that
/// fails.
bool catchUp(LogReplica &Replica, std::ostream &Error);

} // namespace figsail

#endif // FIGSAIL_LOGREPLICA_H
