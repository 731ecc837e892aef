// RunRecord.cpp - Records of the runs of a simulated backend server.

#include "RunRecord.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sstream>
#include <unistd.h>

namespace figsail {

static std::string formatField(const std::string &Id) {
  return Id.empty() ? "-" : Id;
}

static std::string parseField(const std::string &Text) {
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
  // One system call per line, so that processes which append to the same file
  // do not interleave within a line.
  ssize_t Written = ::write(File, Line.data(), Line.size());
  if (Written != static_cast<ssize_t>(Line.size()))
    std::perror("run record");
}

std::size_t RunRecorder::start(RunRecord Record) {
  Record.Start = ++Sequence;
  Record.Run = std::to_string(::getpid()) + "." + std::to_string(Record.Start);
  writeLine("start " + Record.Run + " " + std::to_string(Record.Start) + " " +
            formatField(Record.RequestId) + " " +
            formatField(Record.AttemptId) + " " +
            formatField(Record.BookingId) + "\n");
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
    Out << formatField(Record.RequestId) << ' ' << Record.Start << ' '
        << Record.End << ' ' << formatField(Record.AttemptId) << ' '
        << formatField(Record.BookingId) << '\n';
  return Out.str();
}

std::optional<std::string> RunRecordReader::addLine(const std::string &Line) {
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
  Record.RequestId = parseField(Record.RequestId);
  Record.AttemptId = parseField(Record.AttemptId);
  Record.BookingId = parseField(Record.BookingId);
  Record.Start = Sequence;
  Indexes[Record.Run] = Records.size();
  Records.push_back(std::move(Record));
  return std::nullopt;
}

} // namespace figsail
