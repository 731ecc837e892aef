// RunRecord.cpp - What a backend server simulator notes about each run.

#include "RunRecord.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sstream>
#include <unistd.h>

namespace figsail {

static std::string fieldText(const std::string &Id) {
  return Id.empty() ? "-" : Id;
}

static std::string fieldValue(const std::string &Text) {
  return Text == "-" ? "" : Text;
}

RunRecorder::~RunRecorder() {
  if (File >= 0)
    ::close(File);
}

std::optional<std::string> RunRecorder::open(const std::string &Path) {
  File = ::open(Path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
  if (File < 0)
    return "cannot open " + Path + ": " + std::strerror(errno);
  return std::nullopt;
}

void RunRecorder::writeLine(const std::string &Line) const {
  if (File < 0)
    return;
  // One system call for each line, so that lines of several processes that
  // append to one file do not mix.
  ssize_t Written = ::write(File, Line.data(), Line.size());
  if (Written != static_cast<ssize_t>(Line.size()))
    std::perror("run record");
}

std::size_t RunRecorder::start(RunRecord Record) {
  Record.Start = ++Sequence;
  Record.Run = std::to_string(::getpid()) + "." + std::to_string(Record.Start);
  writeLine("start " + Record.Run + " " + std::to_string(Record.Start) + " " +
            fieldText(Record.RequestId) + " " + fieldText(Record.AttemptId) +
            " " + fieldText(Record.BookingId) + "\n");
  Records.push_back(std::move(Record));
  return Records.size() - 1;
}

void RunRecorder::end(std::size_t Index) {
  RunRecord &Record = Records[Index];
  Record.End = ++Sequence;
  writeLine("end " + Record.Run + " " + std::to_string(Record.End) + "\n");
}

std::string RunRecorder::text() const {
  std::ostringstream Out;
  for (const RunRecord &Record : Records)
    Out << fieldText(Record.RequestId) << ' ' << Record.Start << ' '
        << Record.End << ' ' << fieldText(Record.AttemptId) << ' '
        << fieldText(Record.BookingId) << '\n';
  return Out.str();
}

std::optional<std::string> RunRecordReader::line(const std::string &Line) {
  std::istringstream In(Line);
  std::string Kind;
  RunRecord Record;
  std::uint64_t Sequence = 0;
  if (!(In >> Kind >> Record.Run >> Sequence))
    return "run record \"" + Line + "\" has too few fields";
  if (Kind == "end") {
    auto Found = Indexes.find(Record.Run);
    if (Found == Indexes.end())
      return "run " + Record.Run + " ends without a start";
    Records[Found->second].End = Sequence;
    return std::nullopt;
  }
  if (Kind != "start" ||
      !(In >> Record.RequestId >> Record.AttemptId >> Record.BookingId))
    return "run record \"" + Line + "\" is not a start or end line";
  Record.RequestId = fieldValue(Record.RequestId);
  Record.AttemptId = fieldValue(Record.AttemptId);
  Record.BookingId = fieldValue(Record.BookingId);
  Record.Start = Sequence;
  Indexes[Record.Run] = Records.size();
  Records.push_back(std::move(Record));
  return std::nullopt;
}

} // namespace figsail
