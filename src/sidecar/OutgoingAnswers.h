// OutgoingAnswers.h - Large answers that this host's link still has to send.

#ifndef FIGSAIL_SIDECAR_OUTGOINGANSWERS_H
#define FIGSAIL_SIDECAR_OUTGOINGANSWERS_H

#include "figsail/Types.h"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace figsail {

/// Fraction of the host's link that pieces of answers may use. The rest is for
/// calls, control messages, clients, and the headers of TCP and IP.
inline constexpr double BulkLinkFraction = 0.7;

/// Estimates of the size of a route's answers, and of the time in which the
/// link sends them. The pieces that are queued are not reported by the links;
/// they are estimated from the rate at which the links are paced.
///
/// Load pattern: runs of large answers end faster than the link sends the
/// answers. The slots are free, so calls are admitted whose answers would come
/// after their deadline.
class OutgoingAnswers {
public:
  /// LinkBytes: rate of the host's link in bytes a second. 0: not known, and
  /// all estimates are 0.
  explicit OutgoingAnswers(double LinkBytes)
      : Rate(LinkBytes * BulkLinkFraction) {}

  /// A run of the route has ended with an answer; it is sent over the link if
  /// OverLink is set.
  void add(TimePoint Now, const std::string &Route, std::size_t BodyBytes,
           bool OverLink);
  /// Returns the mean size of the route's bodies in bytes; 0 if they are not
  /// sent in pieces.
  std::size_t expectedBytes(const std::string &Route) const;
  /// Returns the time in which the link sends this many bytes, alone and behind
  /// the answers that it still has to send.
  Duration timeAlone(std::size_t Bytes) const;
  Duration timeQueued(TimePoint Now, std::size_t Bytes) const;

private:
  double unsent(TimePoint Now) const;

  double Rate;                                       ///< Bytes a second.
  std::unordered_map<std::string, double> MeanBytes; ///< By route.
  double Unsent = 0;                                 ///< Bytes, at LastAdded.
  TimePoint LastAdded{};
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_OUTGOINGANSWERS_H
