// BlockedRequests.h - Requests that crash servers, as the members topic names
// them.

#ifndef FIGSAIL_SIDECAR_BLOCKEDREQUESTS_H
#define FIGSAIL_SIDECAR_BLOCKEDREQUESTS_H

#include "Quarantine.h"

#include "figsail/Types.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace figsail {

/// Record of the members topic: a request has crashed servers of a service and
/// must not be run there.
struct BlockedRequest {
  std::string Key; ///< Of the record.
  std::string Service;
  std::uint64_t Fingerprint = 0;
  bool Active = true; ///< False: the record was removed.
};

/// Prefix of the key of such a record.
inline constexpr std::string_view BlockedKeyPrefix = "blocked/";

/// Returns the record of a request.
BlockedRequest blockedRequest(const std::string &Service,
                              std::uint64_t Fingerprint);
/// Returns the record's value as JSON.
std::string encodeBlockedRequest(const BlockedRequest &Record);
/// Returns nothing if the text is not a valid record of this key.
std::optional<BlockedRequest> decodeBlockedRequest(const std::string &Key,
                                                   std::string_view Text);

/// The blocked requests of all services, and which records this daemon has to
/// write. What is only in memory ends with the last daemon that knows it.
///
/// Load pattern: a request crashes every server that runs it and comes again
/// and again, while daemons are restarted or all end at once.
///
/// A daemon that has counted the crashes appends the record at once. One that
/// has heard of them appends it in its turn among the daemons of the service,
/// unless it reads the record before. An expired record is removed in the same
/// way. A daemon that knows a request from its record only does not know the
/// age of the crashes, and counts from the time of reading.
class BlockedRequests {
public:
  /// Of a record, from the last known crash on.
  static constexpr Duration Lifetime = Quarantine::Lifetime;

  /// Sets the service of this daemon and its turn among the daemons of that
  /// service, and among all.
  void setTurn(std::string Service, std::size_t InService, std::size_t InAll);

  /// Applies a record that was read.
  void apply(TimePoint Now, const BlockedRequest &Record);
  /// A request of the own service is blocked by crashes, the last of them Age
  /// ago. Counted: by this daemon.
  void block(TimePoint Now, std::uint64_t Fingerprint, Duration Age,
             bool Counted);
  /// Returns whether the request must not be run by servers of the service.
  bool contains(TimePoint Now, const std::string &Service,
                std::uint64_t Fingerprint) const;

  /// Returns the next record to append or, if inactive, to remove, once it is
  /// due. It is due again after a pause, unless appended() or apply() is called
  /// for it.
  std::optional<BlockedRequest> takeDue(TimePoint Now);
  /// The record is in the store, or removed from it.
  void appended(const BlockedRequest &Record);
  /// The store was restored from an older copy, which may lack records.
  void storeRestored(TimePoint Now);
  /// Returns when takeDue() may return a record.
  TimePoint nextWake() const { return NextDue; }
  std::size_t size() const { return Entries.size(); }

private:
  struct Entry {
    BlockedRequest Record;
    TimePoint ExpiresAt;
    bool Stored = false;     ///< The store has the record.
    bool KnowsCrash = false; ///< Not only from the record.
    TimePoint AppendAt = TimePoint::max();
    TimePoint RetryAt{}; ///< Not before, after an append.
  };
  TimePoint dueAt(const Entry &State) const;
  void updateNextDue();
  bool isFull(const std::string &Service) const;

  std::map<std::string, Entry> Entries; ///< By key.
  TimePoint NextDue = TimePoint::max();
  std::string OwnService;
  Duration ServiceDelay{0}; ///< Until this daemon's turn in its service.
  Duration FleetDelay{0};   ///< The same for records of other services.
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_BLOCKEDREQUESTS_H
