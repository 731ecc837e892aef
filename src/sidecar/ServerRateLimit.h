// ServerRateLimit.h - The request rate that the backend server has named.

#ifndef FIGSAIL_SIDECAR_SERVERRATELIMIT_H
#define FIGSAIL_SIDECAR_SERVERRATELIMIT_H

#include "SidecarEvents.h"

#include "figsail/TokenBucket.h"

#include <optional>

namespace figsail {

/// Where a statement of the backend server comes from.
enum class TermsSource : std::uint8_t {
  Run,   ///< The response to a request.
  Probe, ///< The response to a health probe.
  Peer,  ///< An ingress that received it earlier.
};

/// Returns "run", "probe" or "peer".
std::string_view termsSourceName(TermsSource Source);

/// Rate limiter for the requests that one backend server takes. The server
/// names its limit in its responses; the newest one counts.
///
/// Load pattern: a server in need takes a fraction of its usual requests, and
/// names a lower number when that is still too much.
class ServerRateLimit {
public:
  /// Applies a statement of the server, made at SaidAt. Returns whether it
  /// changes the limit. Ignored are one that is older than the newest known, a
  /// limit that is no number, and a peer's once the server itself was heard.
  bool apply(TimePoint Now, TimePoint SaidAt, const ServerTerms &Terms,
             TermsSource Source);
  /// Forgets all statements. Called for another instance of the server.
  void reset();

  /// Returns the limit in requests a second, or nothing.
  const std::optional<double> &perSecond() const { return Limit; }
  /// Returns when the server made its newest statement.
  TimePoint saidAt() const { return SaidAt; }

  /// Returns whether a request may start now.
  bool available(TimePoint Now);
  /// Counts a request that starts now. Called after available().
  void take(TimePoint Now);
  /// Returns the time until a request may start that comes after Ahead others.
  Duration timeToStart(TimePoint Now, std::size_t Ahead);
  /// Books the next free start for a client that is told to come back, and
  /// returns the time until then. Without it, all refused clients would be told
  /// the same time.
  Duration bookStart(TimePoint Now, std::size_t Ahead);
  /// Returns the shortest time between two health probes. They take the
  /// server's time like requests.
  Duration probeInterval() const;

private:
  void set(TimePoint Now, double PerSecond);
  double rate() const;

  std::optional<double> Limit;  ///< Requests a second, as the server named it.
  TimePoint SaidAt{};           ///< Time of the newest statement.
  bool Heard = false;           ///< The server itself has said something.
  bool ProbesNameLimit = false; ///< The server names it in health responses.
  TokenBucket Tokens{1, 1};
  TimePoint BookedUntil{}; ///< Starts before are promised to clients.
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_SERVERRATELIMIT_H
