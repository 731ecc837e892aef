// ContentOrder.h - Order of the records of one key by their content.

#ifndef FIGSAIL_SIDECAR_CONTENTORDER_H
#define FIGSAIL_SIDECAR_CONTENTORDER_H

#include "SidecarEvents.h"
#include "TopicImage.h"

namespace figsail {

/// Order of records by their content: configurations have versions, and
/// announcements an order of their own. Tombstones and evacuations have none.
class ContentOrder : public RecordOrder {
public:
  /// Decoder must outlive the order.
  ContentOrder(Topic Which, const RecordDecoder &Decoder)
      : Which(Which), Decoder(Decoder) {}

  std::optional<bool> isOlder(const KeyedRecord &One,
                              const KeyedRecord &Other) const override;

private:
  Topic Which;
  const RecordDecoder &Decoder;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_CONTENTORDER_H
