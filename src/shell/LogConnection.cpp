// LogConnection.cpp - Blocking client of the log service, for tools.

#include "LogConnection.h"

namespace figsail {

LogConnection::LogConnection(std::string Address, Duration Timeout)
    : Timeout(Timeout), Client(Context, *this, std::move(Address), Timeout) {}

std::optional<LogRead> LogConnection::read(Offset From, Duration Wait) {
  Read.reset();
  Client.read(From, Wait);
  run();
  return std::move(Read);
}

std::optional<Offset> LogConnection::append(std::string Data) {
  Appended.reset();
  Client.append(++LastAppend, std::move(Data));
  run();
  return Appended;
}

void LogConnection::logRead(LogRead Result) {
  Read = std::move(Result);
  CallEnded = true;
}

void LogConnection::logReadFailed() { CallEnded = true; }

void LogConnection::appendDone(AppendDone Done) {
  if (Done.At != NoOffset)
    Appended = Done.At;
  CallEnded = true;
}

void LogConnection::run() {
  // LogClient reports a result for each call, at the latest after its timeout.
  CallEnded = false;
  Context.restart();
  while (!CallEnded && Context.run_one() > 0)
    continue;
}

} // namespace figsail
