// LostAttempts.h - Attempts of calls whose daemon was lost before it replied.

#ifndef FIGSAIL_SIDECAR_LOSTATTEMPTS_H
#define FIGSAIL_SIDECAR_LOSTATTEMPTS_H

#include "figsail/Types.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace figsail {

/// Attempts that may have run and that the ingress has given up, because it
/// lost their daemon. An attempt is settled when it turns out later that it did
/// not run: the transport reports that its request was never written, or its
/// daemon refuses it. A call all of whose attempts are settled did not run.
class LostAttempts {
public:
  /// Adds an attempt of the call with this number.
  void add(std::uint64_t Call, const CallId &Attempt, const PeerRef &Executor);
  /// The request was never written to the link. Returns the number of its
  /// call, or nothing for an attempt that is not known.
  std::optional<std::uint64_t> settleUnsent(const CallId &Attempt,
                                            const HostId &Host);
  /// A daemon has refused the attempt. Only the incarnation that it was sent
  /// to can tell. Returns the same as settleUnsent.
  std::optional<std::uint64_t> settleRefused(const CallId &Attempt,
                                             const PeerRef &From);
  /// Returns whether an attempt of the call may have run.
  bool mayHaveRun(std::uint64_t Call) const;
  /// Forgets the attempts of a call that has ended.
  void removeCall(std::uint64_t Call);

private:
  struct Attempt {
    std::uint64_t Call = 0;
    PeerRef Executor;
  };
  using AttemptMap = std::map<CallId, Attempt>;
  std::optional<std::uint64_t> settle(AttemptMap::iterator At);

  AttemptMap Attempts;
  std::set<std::pair<std::uint64_t, CallId>> ByCall;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_LOSTATTEMPTS_H
