// RecordSource.cpp - Origin of the records of topics, for logs and metrics.

#include "RecordSource.h"

namespace figsail {

RecordVolume volumeOf(const std::vector<KeyedRecord> &Records) {
  RecordVolume Volume;
  for (const KeyedRecord &Record : Records) {
    if (!Record.Value)
      continue;
    ++Volume.Records;
    Volume.Bytes += Record.Value->size();
  }
  return Volume;
}

RecordVolume volumeOf(const TopicUpdate &Update) {
  RecordVolume Volume;
  for (const TopicContents &Part : Update.Parts) {
    RecordVolume OfPart = volumeOf(Part.Records);
    Volume.Records += OfPart.Records;
    Volume.Bytes += OfPart.Bytes;
  }
  return Volume;
}

} // namespace figsail
