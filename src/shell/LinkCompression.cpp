// LinkCompression.cpp - Streaming compression of the frames on a peer link.

#include "LinkCompression.h"

#include <array>
#include <new>
#include <zstd.h>

namespace figsail {

/// zstd level. Higher levels save little on frames of a kilobyte and take more
/// memory for each link.
static constexpr int CompressionLevel = 1;
/// Base-2 logarithms of the window size in bytes and of the number of hash
/// table entries. The window holds about ten calls; the contexts of both ends
/// together take 200 kB.
static constexpr int WindowLog = 14;
static constexpr int HashLog = 12;

static void throwOnError(std::size_t Code) {
  if (ZSTD_isError(Code) != 0)
    throw std::bad_alloc();
}

void LinkCompressor::ContextDeleter::operator()(ZSTD_CCtx_s *Context) const {
  ZSTD_freeCCtx(Context);
}

LinkCompressor::LinkCompressor() : Context(ZSTD_createCCtx()) {
  if (!Context)
    throw std::bad_alloc();
  auto Set = [this](ZSTD_cParameter Name, int Value) {
    throwOnError(ZSTD_CCtx_setParameter(Context.get(), Name, Value));
  };
  Set(ZSTD_c_compressionLevel, CompressionLevel);
  Set(ZSTD_c_windowLog, WindowLog);
  Set(ZSTD_c_hashLog, HashLog);
}

void LinkCompressor::append(std::string &Out, std::string_view Frame) {
  std::array<char, 4096> Chunk;
  ZSTD_inBuffer Input{Frame.data(), Frame.size(), 0};
  std::size_t Remaining = 1;
  while (Remaining != 0) {
    ZSTD_outBuffer Output{Chunk.data(), Chunk.size(), 0};
    Remaining =
        ZSTD_compressStream2(Context.get(), &Output, &Input, ZSTD_e_flush);
    throwOnError(Remaining);
    Out.append(Chunk.data(), Output.pos);
  }
}

void LinkDecompressor::ContextDeleter::operator()(ZSTD_DCtx_s *Context) const {
  ZSTD_freeDCtx(Context);
}

LinkDecompressor::LinkDecompressor() : Context(ZSTD_createDCtx()) {
  if (!Context)
    throw std::bad_alloc();
  throwOnError(
      ZSTD_DCtx_setParameter(Context.get(), ZSTD_d_windowLogMax, WindowLog));
}

bool LinkDecompressor::decompress(std::string_view Encoded,
                                  const Sink &Consume) {
  std::array<char, 16384> Chunk;
  ZSTD_inBuffer Input{Encoded.data(), Encoded.size(), 0};
  bool MoreOutput = true;
  while (Input.pos < Input.size || MoreOutput) {
    ZSTD_outBuffer Output{Chunk.data(), Chunk.size(), 0};
    std::size_t Before = Input.pos;
    std::size_t Code = ZSTD_decompressStream(Context.get(), &Output, &Input);
    if (ZSTD_isError(Code) != 0)
      return false;
    if (Output.pos > 0 && !Consume({Chunk.data(), Output.pos}))
      return true;
    MoreOutput = Output.pos == Output.size;
    if (Input.pos == Before && Output.pos == 0)
      return true;
  }
  return true;
}

} // namespace figsail
