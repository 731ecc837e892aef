// TopicPacking.cpp - Compressed encoding of topic updates, against a value that
// the receiver has.

#include "TopicPacking.h"

#include "PeerArchive.h"

#include "figsail/Epoch.h"

#include <algorithm>
#include <bit>
#include <new>
#include <optional>
#include <ostream>
#include <zstd.h>

namespace figsail {

/// Values below this size are not worth a base, in bytes.
static constexpr std::size_t MinBaseBytes = 4096;
/// Values that are kept. A sender compresses against the receiver's newest
/// value, and both may have received the latest versions in another order.
static constexpr std::size_t MaxBases = 4;
/// Bound on the bytes of the kept values. The newest one is always kept.
static constexpr std::size_t MaxBaseBytes = std::size_t{16} * 1024 * 1024;
/// Bound on an encoded update, in bytes. A receiver allocates as many.
static constexpr std::size_t MaxUpdateBytes = std::size_t{32} * 1024 * 1024;
static constexpr int CompressionLevel = 3;
/// Bounds of the base-2 logarithm of the window. It has to span the base and
/// the update.
static constexpr int MinWindowLog = 17;
static constexpr int MaxWindowLog = 26;

std::uint64_t valueDigest(std::string_view Value) {
  return std::max<std::uint64_t>(1, hashText(Value));
}

void ValueBases::add(const std::string &Value) {
  if (Value.size() < MinBaseBytes)
    return;
  std::uint64_t Digest = valueDigest(Value);
  std::erase_if(Values,
                [&](const Entry &Known) { return Known.Digest == Digest; });
  Values.push_back({Digest, std::make_shared<const std::string>(Value)});
  std::size_t Bytes = 0;
  for (const Entry &Known : Values)
    Bytes += Known.Value->size();
  while (Values.size() > 1 &&
         (Values.size() > MaxBases || Bytes > MaxBaseBytes)) {
    Bytes -= Values.front().Value->size();
    Values.pop_front();
  }
}

std::shared_ptr<const std::string>
ValueBases::find(std::uint64_t Digest) const {
  auto Found = std::ranges::find(Values, Digest, &Entry::Digest);
  return Found == Values.end() ? nullptr : Found->Value;
}

std::string_view unpackErrorName(UnpackError Error) {
  switch (Error) {
  case UnpackError::TooLarge:
    return "too-large";
  case UnpackError::UnknownBase:
    return "unknown-base";
  case UnpackError::Corrupt:
    return "corrupt";
  }
  return "unknown";
}

std::string encodeUpdate(const TopicUpdate &Update) {
  std::string Encoded;
  AppendBuffer Buffer(Encoded);
  std::ostream Stream(&Buffer);
  cereal::PortableBinaryOutputArchive Archive(
      Stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
  Archive(Update.Live, Update.Complete, Update.Parts, Update.History);
  return Encoded;
}

static std::optional<TopicUpdate> decodeUpdate(std::string_view Encoded) {
  try {
    TopicUpdate Update;
    ViewInputArchive Archive(Encoded);
    Archive(Update.Live, Update.Complete, Update.Parts, Update.History);
    if (Archive.remaining() != 0)
      return std::nullopt;
    return Update;
  } catch (const cereal::Exception &) {
    return std::nullopt;
  }
}

namespace {

struct CompressorDeleter {
  void operator()(ZSTD_CCtx *Context) const { ZSTD_freeCCtx(Context); }
};
struct DecompressorDeleter {
  void operator()(ZSTD_DCtx *Context) const { ZSTD_freeDCtx(Context); }
};

} // namespace

static std::size_t checked(std::size_t Code) {
  if (ZSTD_isError(Code) != 0)
    throw std::bad_alloc();
  return Code;
}

PackedUpdate packUpdate(std::string_view Encoded, std::uint64_t BaseDigest,
                        const std::string *Base) {
  PackedUpdate Packed;
  Packed.Digest = valueDigest(Encoded);
  Packed.Size = Encoded.size();
  std::unique_ptr<ZSTD_CCtx, CompressorDeleter> Context(ZSTD_createCCtx());
  if (!Context)
    throw std::bad_alloc();
  auto Set = [&](ZSTD_cParameter Name, int Value) {
    checked(ZSTD_CCtx_setParameter(Context.get(), Name, Value));
  };
  std::size_t Span = Encoded.size() + (Base ? Base->size() : 0);
  Set(ZSTD_c_compressionLevel, CompressionLevel);
  Set(ZSTD_c_windowLog, std::clamp(static_cast<int>(std::bit_width(Span)),
                                   MinWindowLog, MaxWindowLog));
  if (Base) {
    Packed.Base = BaseDigest;
    Set(ZSTD_c_enableLongDistanceMatching, 1);
    checked(ZSTD_CCtx_refPrefix(Context.get(), Base->data(), Base->size()));
  }
  Packed.Bytes.resize(ZSTD_compressBound(Encoded.size()));
  Packed.Bytes.resize(checked(ZSTD_compress2(Context.get(), Packed.Bytes.data(),
                                             Packed.Bytes.size(),
                                             Encoded.data(), Encoded.size())));
  return Packed;
}

static std::optional<std::string> decompress(const PackedUpdate &Packed,
                                             const std::string *Base) {
  std::unique_ptr<ZSTD_DCtx, DecompressorDeleter> Context(ZSTD_createDCtx());
  if (!Context)
    throw std::bad_alloc();
  checked(
      ZSTD_DCtx_setParameter(Context.get(), ZSTD_d_windowLogMax, MaxWindowLog));
  if (Base)
    checked(ZSTD_DCtx_refPrefix(Context.get(), Base->data(), Base->size()));
  std::string Encoded(Packed.Size, '\0');
  std::size_t Size =
      ZSTD_decompressDCtx(Context.get(), Encoded.data(), Encoded.size(),
                          Packed.Bytes.data(), Packed.Bytes.size());
  if (ZSTD_isError(Size) != 0 || Size != Packed.Size)
    return std::nullopt;
  return Encoded;
}

std::variant<TopicUpdate, UnpackError> unpackUpdate(const PackedUpdate &Packed,
                                                    const ValueBases &Bases) {
  if (Packed.Size > MaxUpdateBytes)
    return UnpackError::TooLarge;
  std::shared_ptr<const std::string> Base;
  if (Packed.Base != 0) {
    Base = Bases.find(Packed.Base);
    if (!Base)
      return UnpackError::UnknownBase;
  }
  std::optional<std::string> Encoded = decompress(Packed, Base.get());
  if (!Encoded || valueDigest(*Encoded) != Packed.Digest)
    return UnpackError::Corrupt;
  std::optional<TopicUpdate> Update = decodeUpdate(*Encoded);
  if (!Update)
    return UnpackError::Corrupt;
  return std::move(*Update);
}

} // namespace figsail
