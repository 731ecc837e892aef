// ContentOrder.cpp - Order of the records of one key by their content.

#include "ContentOrder.h"

namespace figsail {

std::optional<bool> ContentOrder::isOlder(const KeyedRecord &One,
                                          const KeyedRecord &Other) const {
  TopicContent First = Decoder.decode(Which, One);
  TopicContent Second = Decoder.decode(Which, Other);
  if (First.index() != Second.index())
    return std::nullopt;
  if (const auto *Config = std::get_if<ConfigPtr>(&First))
    return (*Config)->Version < std::get<ConfigPtr>(Second)->Version;
  if (const auto *Announced = std::get_if<Announcement>(&First))
    return Announced->Order.precedes(std::get<Announcement>(Second).Order);
  return std::nullopt;
}

} // namespace figsail
