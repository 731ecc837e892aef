// LinkCompression.h - A compressed stream of frames between two daemons.

#ifndef FIGSAIL_LINKCOMPRESSION_H
#define FIGSAIL_LINKCOMPRESSION_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct ZSTD_CCtx_s;
struct ZSTD_DCtx_s;

namespace figsail {

/// The sending end. What repeats from one frame to the next (names, header
/// fields, lengths) takes a few bytes. A frame can be decoded as soon as its
/// bytes have arrived.
class LinkCompressor {
public:
  LinkCompressor();
  /// Appends the encoded frame.
  void append(std::string &Out, std::string_view Frame);

private:
  struct ContextDeleter {
    void operator()(ZSTD_CCtx_s *Context) const;
  };
  std::unique_ptr<ZSTD_CCtx_s, ContextDeleter> Context;
};

/// The receiving end. Memory is bounded whatever arrives.
class LinkDecompressor {
public:
  /// Takes decoded bytes. Returns whether to go on.
  using Sink = std::function<bool(std::string_view)>;

  LinkDecompressor();
  /// Decodes bytes of the stream. Returns false when they are not such bytes.
  bool decompress(std::string_view Encoded, const Sink &Consume);

private:
  struct ContextDeleter {
    void operator()(ZSTD_DCtx_s *Context) const;
  };
  std::unique_ptr<ZSTD_DCtx_s, ContextDeleter> Context;
};

} // namespace figsail

#endif // FIGSAIL_LINKCOMPRESSION_H
