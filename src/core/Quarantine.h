// Quarantine.h - Suspicion of requests that crash their backend servers.

#ifndef FIGSAIL_CORE_QUARANTINE_H
#define FIGSAIL_CORE_QUARANTINE_H

#include "figsail/PeerMessages.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace figsail {

/// What may be done with a request.
enum class Suspicion : std::uint8_t {
  None,    ///< Runs beside any other.
  Suspect, ///< Runs only where no other suspect is running.
  Blocked, ///< Is refused.
};

/// Suspicion by fingerprint. Bounded; entries expire.
class Quarantine {
public:
  static constexpr Duration Lifetime =
      std::chrono::minutes(10); ///< From the last crash.
  static constexpr std::uint32_t BlockingCrashes = 2;
  static constexpr std::size_t MaxEntries = 4096;

  /// Fingerprint 0 is never suspected.
  Suspicion check(TimePoint Now, std::uint64_t Fingerprint) const;

  /// The connection of a run broke without a response. Runs of one fingerprint
  /// that started before its last counted crash count as the same crash.
  /// Returns what to report, or nothing.
  std::optional<SuspectReport> crashed(TimePoint Now, std::uint64_t Fingerprint,
                                       TimePoint Started, bool Alone);

  /// A run got a response. Returns what to report, or nothing.
  std::optional<SuspectReport> succeeded(TimePoint Now,
                                         std::uint64_t Fingerprint);

  /// Merges the report of another member.
  void merge(TimePoint Now, const SuspectReport &Report);

  void expire(TimePoint Now);
  std::size_t size() const { return Entries.size(); }

private:
  struct Entry {
    std::uint32_t Crashes = 0;
    bool Alone = false;  ///< No other suspect ran at the last crash.
    TimePoint LastCrash; ///< Own clock; of a report: when it arrived.
    std::uint64_t Order = 0;
  };
  Entry &recordCrash(TimePoint Now, std::uint64_t Fingerprint);
  void erase(std::uint64_t Fingerprint);

  std::unordered_map<std::uint64_t, Entry> Entries; ///< By fingerprint.
  std::map<std::uint64_t, std::uint64_t> ByOrder;   ///< Order to fingerprint.
  std::uint64_t NextOrder = 0;
};

} // namespace figsail

#endif // FIGSAIL_CORE_QUARANTINE_H
