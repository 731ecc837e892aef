// LogReplica.cpp - The replicated state as a tool reads it from the log.

#include "LogReplica.h"

#include <algorithm>
#include <ostream>
#include <thread>

namespace figsail {

/// Between two tries to settle a change while the log service fails at once.
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
  if (AtEnd && State.applied() + 1 < Read->Next)
    return "the log does not hold the records from offset " +
           std::to_string(State.applied() + 1) +
           " any more, and no snapshot replaces them";
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
    // The same id counts once, however often the record stands in the log.
    if (!AppendedAt)
      AppendedAt = Log.append(Data);
    bool AtEnd = false;
    // After an acknowledgement the record is there; without one it may still
    // be on its way, so the read waits for a new record.
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
