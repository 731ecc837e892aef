// RecordExpiry.h - A priority queue of the times at which records expire.

#ifndef FIGSAIL_RECORDEXPIRY_H
#define FIGSAIL_RECORDEXPIRY_H

#include "figsail/Types.h"

#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace figsail {

/// A heap with one entry for each record, ordered by time. The time of an entry
/// may be earlier than the record's expiry; it is corrected when the entry is
/// due. So a record's expiry can be extended without a search of the heap.
template <class Id> class RecordExpiry {
public:
  void add(TimePoint At, Id RecordId) { Heap.push({At, RecordId}); }

  /// Passes each due record to Check, which returns its present expiry, or
  /// nothing if the record no longer exists or was removed by Check.
  template <class Function> void checkDue(TimePoint Now, Function Check) {
    while (!Heap.empty() && Heap.top().At <= Now) {
      Entry Due = Heap.top();
      Heap.pop();
      std::optional<TimePoint> NewExpiry = Check(Due.RecordId);
      if (NewExpiry)
        Heap.push({*NewExpiry, Due.RecordId});
    }
  }

  TimePoint next() const {
    return Heap.empty() ? TimePoint::max() : Heap.top().At;
  }

private:
  struct Entry {
    TimePoint At;
    Id RecordId;
    bool operator>(const Entry &Other) const { return At > Other.At; }
  };
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> Heap;
};

} // namespace figsail

#endif // FIGSAIL_RECORDEXPIRY_H
