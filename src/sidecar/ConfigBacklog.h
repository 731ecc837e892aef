// ConfigBacklog.h - What other daemons have named of a configuration that this
// daemon lacks.

#ifndef FIGSAIL_SIDECAR_CONFIGBACKLOG_H
#define FIGSAIL_SIDECAR_CONFIGBACKLOG_H

#include "figsail/Types.h"

namespace figsail {

/// Newest offset of the operator topic that another daemon has named. A daemon
/// that has not reached it may lack routes, so an unknown route is not wrong
/// there.
class ConfigBacklog {
public:
  /// Another daemon has read the topic up to this offset, or knows of one that
  /// has.
  void name(TimePoint Now, Offset UpTo) {
    if (!isExpected(Now))
      Newest = 0;
    if (UpTo < Newest)
      return;
    Newest = UpTo;
    ExpectedUntil = Now + Lifetime;
  }
  /// Offsets of another history denote other records.
  void restart() { *this = {}; }
  /// Returns the newest offset named in the last seconds; 0: none.
  Offset newest(TimePoint Now) const { return isExpected(Now) ? Newest : 0; }
  /// Returns whether a daemon that has read up to Own lacks what was named.
  bool isAhead(TimePoint Now, Offset Own) const { return newest(Now) > Own; }

private:
  /// Time for which a named offset is expected to arrive. It is limited since
  /// the daemon that named it may be gone, and the record with it.
  static constexpr Duration Lifetime = std::chrono::seconds(3);

  bool isExpected(TimePoint Now) const { return Now < ExpectedUntil; }

  Offset Newest = 0;
  TimePoint ExpectedUntil{};
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_CONFIGBACKLOG_H
