// RunRecord.h - Records of the runs of a simulated backend server.

#ifndef FIGSAIL_RUNRECORD_H
#define FIGSAIL_RUNRECORD_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace figsail {

/// One run of a request. Empty ids are written as "-".
struct RunRecord {
  std::string Run; ///< Id of the run, unique across restarts of a simulator.
  std::string RequestId; ///< Header X-Request-Id.
  std::string AttemptId; ///< Header X-Attempt-Id.
  std::string BookingId; ///< Header Booking-Id; empty for idempotent requests.
  std::uint64_t Start = 0; ///< Sequence number of the start.
  std::uint64_t End = 0;   ///< Sequence number of the end; 0: not ended.
};

/// Recorder of runs in memory and, after open(), in a file.
class RunRecorder {
public:
  RunRecorder() = default;
  RunRecorder(const RunRecorder &) = delete;
  RunRecorder &operator=(const RunRecorder &) = delete;
  ~RunRecorder();

  /// Appends to a file from now on. Returns an error text, or nothing.
  std::optional<std::string> open(const std::string &Path);

  /// Records a start and returns the index for end(). The line is written to
  /// the file before this returns, so that it survives a kill of the process.
  std::size_t start(RunRecord Record);
  void end(std::size_t Index);

  /// Returns one line per run: request id, start, end, attempt id, booking
  /// id.
  std::string text() const;

private:
  void writeLine(const std::string &Line) const;

  std::vector<RunRecord> Records;
  std::uint64_t Sequence = 0;
  int File = -1; ///< File descriptor, or -1.
};

/// Parser of a record file.
class RunRecordReader {
public:
  /// Parses one line. Returns an error text, or nothing.
  std::optional<std::string> addLine(const std::string &Line);
  /// Returns the records ordered by start.
  const std::vector<RunRecord> &records() const { return Records; }

private:
  std::vector<RunRecord> Records;
  std::map<std::string, std::size_t> Indexes; ///< By id of the run.
};

} // namespace figsail

#endif // FIGSAIL_RUNRECORD_H
