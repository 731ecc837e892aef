// ContentOrder.h - Orders records of one key by what they say of themselves.

#ifndef FIGSAIL_SIDECAR_CONTENTORDER_H
#define FIGSAIL_SIDECAR_CONTENTORDER_H

#include "SidecarEvents.h"
#include "TopicImage.h"

namespace figsail {

/// Configurations have versions, and announcements their own order. A dropped
/// key and an evacuation say nothing.
class ContentOrder : public RecordOrder {
public:
  /// Decoder outlives the order.
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
