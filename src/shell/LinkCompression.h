// LinkCompression.h - Streaming compression of the frames on a peer link.

#ifndef FIGSAIL_LINKCOMPRESSION_H
#define FIGSAIL_LINKCOMPRESSION_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct ZSTD_CCtx_s;
struct ZSTD_DCtx_s;

namespace figsail {

/// Streaming compressor of the sending side. All frames of a link form one zstd
/// stream, so content that repeats between frames (names, header fields,
/// lengths) takes a few bytes. The stream is flushed after each frame: the
/// receiver can decode a frame as soon as its bytes have arrived.
class LinkCompressor {
public:
  LinkCompressor();
  /// Compresses the frame and appends the result to Out.
  void append(std::string &Out, std::string_view Frame);

private:
  struct ContextDeleter {
    void operator()(ZSTD_CCtx_s *Context) const;
  };
  std::unique_ptr<ZSTD_CCtx_s, ContextDeleter> Context;
};

/// Streaming decompressor of the receiving side. Its memory is bounded for any
/// input.
class LinkDecompressor {
public:
  /// Receives decompressed bytes. Returns false to stop.
  using Sink = std::function<bool(std::string_view)>;

  LinkDecompressor();
  /// Decompresses the next bytes of the stream. Returns false when they are not
  /// valid.
  bool decompress(std::string_view Encoded, const Sink &Consume);

private:
  struct ContextDeleter {
    void operator()(ZSTD_DCtx_s *Context) const;
  };
  std::unique_ptr<ZSTD_DCtx_s, ContextDeleter> Context;
};

} // namespace figsail

#endif // FIGSAIL_LINKCOMPRESSION_H
