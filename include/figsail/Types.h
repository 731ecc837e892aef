// Types.h - Basic types of the core, the shell and the tools.

#ifndef FIGSAIL_TYPES_H
#define FIGSAIL_TYPES_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace figsail {

/// All durations have microsecond resolution.
using Duration = std::chrono::microseconds;

/// A point on one daemon's own steady clock. Points of two hosts are never
/// compared.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Random non-zero number drawn when a daemon starts; distinguishes
/// successive processes on one host.
using Incarnation = std::uint64_t;

/// Position in the log of the log service. Also the version of the replicated
/// state.
using Offset = std::int64_t;
inline constexpr Offset NoOffset = -1;

/// Peer address "ip:port" of a daemon. It stays the same after a restart and
/// identifies the host.
using HostId = std::string;

/// Identifies one attempt of a call of one ingress. Never reused: the
/// incarnation differs after a restart, and each claim and each Execute after a
/// refusal gets a new id, so that a late reply to an earlier attempt matches no
/// call.
struct CallId {
  Incarnation Ingress =
      0; ///< Incarnation of the daemon that accepted the call.
  std::uint64_t Sequence = 0; ///< Counts up from 1 within the incarnation.

  bool operator==(const CallId &) const = default;
  // clang-tidy 14 reports false errors in a defaulted <=>.
  bool operator<(const CallId &Other) const {
    return std::tie(Ingress, Sequence) <
           std::tie(Other.Ingress, Other.Sequence);
  }
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Ingress, Sequence);
  }
};

/// 128-bit hash of the route path and the identity of a non-idempotent request.
struct RequestKey {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  auto operator<=>(const RequestKey &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(High, Low); }
};

/// One process on one host, which sends and receives peer messages.
struct PeerRef {
  HostId Host;
  Incarnation Inc = 0;

  bool operator==(const PeerRef &) const = default;
  // clang-tidy 14 reports false errors in a defaulted <=> with a string member.
  bool operator<(const PeerRef &Other) const {
    return std::tie(Host, Inc) < std::tie(Other.Host, Other.Inc);
  }
  template <class Archive> void serialize(Archive &Ar) { Ar(Host, Inc); }
};

/// Daemon in the member list, or about to join it.
struct Member {
  HostId Host;                 ///< Peer address.
  Incarnation Inc = 0;         ///< Incarnation that announced itself.
  std::string HttpAddress;     ///< Address for callers, "ip:port".
  std::string OperatorAddress; ///< Operator interface, "ip:port".
  std::string Region;
  std::string FailureDomain;
  std::string Service; ///< Path of the service node of its backend server.
  std::uint32_t Slots =
      0; ///< Concurrent requests that the backend server can run when warm.

  bool operator==(const Member &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Host, Inc, HttpAddress, OperatorAddress, Region, FailureDomain, Service,
       Slots);
  }
};

/// Record of the log.
struct LogRecord {
  Offset At = NoOffset; ///< Its offset.
  std::string Data;     ///< JSON text, see LogRecords.h.

  bool operator==(const LogRecord &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(At, Data); }
};

/// One life of a backend server: an instance id may be used again after a
/// restart.
struct ServerIncarnation {
  std::string_view Instance;
  std::int64_t StartMillis = 0; ///< Unix time; 0: not known.

  /// Returns whether both are the same incarnation, as far as the starts are
  /// known. A daemon that recovered its server does not know the server's start
  /// until its next report.
  bool maybeSameAs(const ServerIncarnation &Other) const {
    bool SameStart = StartMillis == Other.StartMillis || StartMillis == 0 ||
                     Other.StartMillis == 0;
    return SameStart && Instance == Other.Instance;
  }
};

/// The newest statement of a backend server about the requests that it takes.
/// Daemons beside servers send it with their replies, ingresses send it back
/// with their calls.
struct ServerNotice {
  std::string Instance;            ///< Id of the server.
  std::int64_t StartMillis = 0;    ///< Its start, Unix time; 0: not known.
  bool Leaving = false;            ///< It leaves; it wants no new requests.
  std::optional<double> RateLimit; ///< Requests a second; none: any number.
  Duration Age{0};                 ///< Since the server said it.

  ServerIncarnation incarnation() const { return {Instance, StartMillis}; }
  bool operator==(const ServerNotice &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    auto Micros = Age.count();
    Ar(Instance, StartMillis, Leaving, RateLimit, Micros);
    Age = Duration(Micros);
  }
};

/// Load of a backend server, as reported by the daemon beside it.
struct LoadReport {
  std::uint32_t Limit = 0;      ///< Current concurrency limit.
  std::uint32_t Running = 0;    ///< Requests running on the backend server.
  std::uint32_t Queued = 0;     ///< Requests waiting for a slot.
  Duration ServiceTime{0};      ///< Moving average of the run time.
  bool Draining = false;        ///< Accepts no new calls.
  Duration UsualServiceTime{0}; ///< ServiceTime without a current slow period
                                ///< of the server; 0: not known.
  Duration TimeToStart{0}; ///< Until the rate limit that the server has named
                           ///< lets another call start.
  std::optional<ServerNotice> Notice{}; ///< None: it takes any number of calls.

  template <class Archive> void serialize(Archive &Ar) {
    auto Micros = ServiceTime.count();
    auto UsualMicros = UsualServiceTime.count();
    auto StartMicros = TimeToStart.count();
    Ar(Limit, Running, Queued, Micros, Draining, UsualMicros, StartMicros,
       Notice);
    ServiceTime = Duration(Micros);
    UsualServiceTime = Duration(UsualMicros);
    TimeToStart = Duration(StartMicros);
  }
};

} // namespace figsail

template <> struct std::hash<figsail::CallId> {
  std::size_t operator()(const figsail::CallId &Id) const noexcept {
    return Id.Ingress ^ (Id.Sequence * 0x9e3779b97f4a7c15ULL);
  }
};

template <> struct std::hash<figsail::RequestKey> {
  std::size_t operator()(const figsail::RequestKey &Key) const noexcept {
    return Key.Low;
  }
};

#endif // FIGSAIL_TYPES_H
