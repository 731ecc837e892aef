// Quarantine.h - Detection of requests that crash their backend servers.

#ifndef FIGSAIL_CORE_QUARANTINE_H
#define FIGSAIL_CORE_QUARANTINE_H

#include "figsail/PeerMessages.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace figsail {

/// Restriction on running a request.
enum class Suspicion : std::uint8_t {
  None,    ///< May run beside any other.
  Suspect, ///< May run only while no other suspect runs.
  Blocked, ///< Must be refused.
};

/// Counts of crashes by request fingerprint. The number of entries is bounded,
/// and entries expire.
class Quarantine {
public:
  static constexpr Duration Lifetime =
      std::chrono::minutes(10); ///< Of an entry, from its last crash.
  static constexpr std::uint32_t BlockingCrashes = 2;
  static constexpr std::size_t MaxEntries = 4096;

  /// Fingerprint 0 is never suspected.
  Suspicion check(TimePoint Now, std::uint64_t Fingerprint) const;

  /// Counts a run whose connection broke without a response. Runs of one
  /// fingerprint that started before its last counted crash belong to the same
  /// crash. Returns the report for the other members, or nothing.
  std::optional<SuspectReport> crashed(TimePoint Now, std::uint64_t Fingerprint,
                                       TimePoint Started, bool Alone);

  /// Clears a suspect that got a response. Returns the report for the other
  /// members, or nothing.
  std::optional<SuspectReport> succeeded(TimePoint Now,
                                         std::uint64_t Fingerprint);

  /// Merges the report of another member. Returns the report that this member
  /// would send it, if it has counted more crashes; otherwise nothing.
  std::optional<SuspectReport> merge(TimePoint Now,
                                     const SuspectReport &Report);

  /// Returns the reports of the newest suspects, at most Limit, for a member
  /// that has started since they were sent.
  std::vector<SuspectReport> reports(TimePoint Now, std::size_t Limit) const;

  void expire(TimePoint Now);
  std::size_t size() const { return Entries.size(); }

private:
  struct Entry {
    std::uint32_t Crashes = 0;
    /// No other suspect ran at the last crash, or at an earlier one that
    /// blocked the request.
    bool Alone = false;
    TimePoint LastCrash; ///< Or the arrival of another member's report.
    std::uint64_t Order = 0;
  };
  static bool blocks(std::uint32_t Crashes, bool Alone) {
    return Crashes >= BlockingCrashes && Alone;
  }
  Entry &recordCrash(TimePoint Now, std::uint64_t Fingerprint);
  static SuspectReport reportOf(TimePoint Now, std::uint64_t Fingerprint,
                                const Entry &Known);
  void erase(std::uint64_t Fingerprint);

  std::unordered_map<std::uint64_t, Entry> Entries; ///< By fingerprint.
  std::map<std::uint64_t, std::uint64_t>
      ByOrder; ///< From Order to fingerprint.
  std::uint64_t NextOrder = 0;
};

} // namespace figsail

#endif // FIGSAIL_CORE_QUARANTINE_H
