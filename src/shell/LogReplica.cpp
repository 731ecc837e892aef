// LogReplica.cpp - Replica of the replicated state for tools.

#include "LogReplica.h"

#include <algorithm>
#include <ostream>
#include <thread>

namespace figsail {

/// Pause between two attempts to append a change, for a log service that fails
/// without delay.
static constexpr std::chrono::milliseconds RetryInterval{200};

void LogReplica::apply(const LogRecord &Record) {
  ApplyResult Result = State.applyRecord({}, Record);
  if (Result.Ignored || Result.Duplicate)
    return;
  auto Decoded = decodeRecord(Record.Data);
  const RecordBody *Body = std::get_if<RecordBody>(&Decoded);
  const Change *Applied = Body ? std::get_if<Change>(Body) : nullptr;
  if (!Applied)
    return;
  ChangeOffsets.emplace(Applied->ChangeId, Record.At);
  if (!std::holds_alternative<Accepted>(Result.Outcome))
    return;
  for (const NodeEdit &Edit : Applied->Edits)
    LastEdits[Edit.Path] = {Applied->ChangeId, Record.At};
}

std::optional<std::string> LogReplica::readBatch(Duration Wait, bool &AtEnd) {
  std::optional<LogRead> Read = Log.read(State.nextOffset(), Wait);
  if (!Read)
    return "the log service cannot be read";
  for (const LogRecord &Record : Read->Batch)
    apply(Record);
  AtEnd = Read->Batch.empty() || State.nextOffset() >= Read->Next;
  if (AtEnd && State.appliedOffset() + 1 < Read->Next)
    return "the log no longer contains the records from offset " +
           std::to_string(State.appliedOffset() + 1) +
           ", and there is no snapshot of them";
  return std::nullopt;
}

std::optional<std::string> LogReplica::catchUp() {
  for (bool AtEnd = false; !AtEnd;)
    if (auto Error = readBatch(Duration(0), AtEnd))
      return Error;
  return std::nullopt;
}

ProposalOutcome LogReplica::propose(const Change &Proposal, Duration Timeout) {
  using Clock = std::chrono::steady_clock;
  Clock::time_point Deadline = Clock::now() + Timeout;
  std::string Data = encodeRecord(Proposal);
  std::optional<Offset> AppendedAt;
  do {
    // A change with the same id is applied once, even if the log contains
    // several records of it.
    if (!AppendedAt)
      AppendedAt = Log.append(Data);
    bool AtEnd = false;
    // An acknowledged record is in the log. Without an acknowledgement the
    // append may take effect later, so the read waits for a new record.
    while (!State.verdictOf(Proposal.ChangeId) && !AtEnd)
      if (readBatch(std::min(Log.timeout(), Timeout), AtEnd))
        break;
    if (auto Outcome = State.verdictOf(Proposal.ChangeId)) {
      auto Found = ChangeOffsets.find(Proposal.ChangeId);
      return {Outcome, Found == ChangeOffsets.end() ? NoOffset : Found->second};
    }
    std::this_thread::sleep_for(RetryInterval);
  } while (Clock::now() < Deadline);
  return {};
}

bool catchUp(LogReplica &Replica, std::ostream &Error) {
  std::optional<std::string> Text = Replica.catchUp();
  if (Text)
    Error << *Text << '\n';
  return !Text;
}

std::string LogReplica::lastChangeTo(const std::string &Path) const {
  auto Found = LastEdits.find(Path);
  if (Found == LastEdits.end())
    return {};
  return Found->second.ChangeId + " at offset " +
         std::to_string(Found->second.ChangeOffset);
}

} // namespace figsail
