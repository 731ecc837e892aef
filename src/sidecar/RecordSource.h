// RecordSource.h - Origin of the records of topics, for logs and metrics.

#ifndef FIGSAIL_SIDECAR_RECORDSOURCE_H
#define FIGSAIL_SIDECAR_RECORDSOURCE_H

#include "figsail/Events.h"

#include <string>
#include <vector>

namespace figsail {

/// Where the records of one event come from. It must not influence how they are
/// applied.
struct RecordSource {
  HostId Daemon;         ///< The daemon that sent them; empty: the store.
  RecordVolume Received; ///< All of them, whether they are new or known.

  bool isStore() const { return Daemon.empty(); }
  /// Returns the daemon's host, or "store".
  std::string name() const { return isStore() ? "store" : Daemon; }
  TopicFlow flow() const {
    return isStore() ? TopicFlow::FromStore : TopicFlow::FromDaemon;
  }
  TopicFlow repeatedFlow() const {
    return isStore() ? TopicFlow::RepeatedFromStore
                     : TopicFlow::RepeatedFromDaemon;
  }
};

/// Origin of one record.
struct RecordOrigin {
  Offset At = NoOffset;
  std::size_t ValueBytes = 0;
  std::string From; ///< The daemon's host, or "store".
};

/// Returns the number of records with a value and the size of the values.
RecordVolume volumeOf(const std::vector<KeyedRecord> &Records);
/// The same for all topics of an update.
RecordVolume volumeOf(const TopicUpdate &Update);

} // namespace figsail

#endif // FIGSAIL_SIDECAR_RECORDSOURCE_H
