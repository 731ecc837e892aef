// LinkCompressionTest.cpp - Tests of the compressed stream on a peer link.

#include "LinkCompression.h"
#include "PeerCodec.h"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

using namespace figsail;

namespace {

std::string decompressAll(LinkDecompressor &Decompressor,
                          std::string_view Bytes) {
  std::string Out;
  EXPECT_TRUE(
      Decompressor.decompress(Bytes, [&](std::string_view Decompressed) {
        Out += Decompressed;
        return true;
      }));
  return Out;
}

/// Returns a call to another region. Its names and header fields are the same
/// in all calls; its body is random.
Execute crossRegionCall(std::uint64_t Number, std::mt19937_64 &Random) {
  Execute Message;
  Message.Call = {0x1234567890abcdefULL, Number};
  Message.Target = 77;
  Message.Policy.Route = "deposit-book";
  Message.Policy.Service = "bookings";
  Message.Policy.HomeRegions = {"punjab-north"};
  Message.Request.Method = "POST";
  Message.Request.Target = "/booking/" + std::to_string(Number);
  Message.Request.Headers = {{"Host", "desk.example"},
                             {"Content-Type", "application/json"},
                             {"Figsail-Calling-Service", "inventory"}};
  for (int I = 0; I < 50; ++I)
    Message.Request.Body += std::to_string(Random());
  return Message;
}

} // namespace

// Load pattern: many small calls over a link of low bandwidth. Everything but
// the body repeats from call to call.
TEST(LinkCompression, RepeatedContentTakesFewBytes) {
  std::mt19937_64 Random(20261204);
  LinkCompressor Compressor;
  std::string Frame;
  std::string Compressed;
  std::size_t BodyBytes = 0;
  std::size_t UncompressedBytes = 0;
  for (std::uint64_t I = 0; I < 100; ++I) {
    Execute Message = crossRegionCall(I, Random);
    BodyBytes += Message.Request.Body.size();
    Frame.clear();
    appendFrame(Frame, I, Message);
    UncompressedBytes += Frame.size();
    Compressor.append(Compressed, Frame);
  }
  EXPECT_LT(Compressed.size(), BodyBytes + std::size_t{100} * 100)
      << "names, header fields and lengths take 100 bytes or more for each "
         "call";
  EXPECT_GT(UncompressedBytes, BodyBytes + std::size_t{100} * 250);
}

// The receiver must be able to decode a call before the next one is sent.
RC_GTEST_PROP(LinkCompression, EachFrameDecodesAtOnceAtAnySplit,
              (const std::vector<std::string> &Frames)) {
  LinkCompressor Compressor;
  LinkDecompressor Decompressor;
  for (const std::string &Frame : Frames) {
    std::string Compressed;
    Compressor.append(Compressed, Frame);
    auto Split = *rc::gen::inRange<std::size_t>(0, Compressed.size() + 1);
    std::string Out = decompressAll(
        Decompressor, std::string_view(Compressed).substr(0, Split));
    Out +=
        decompressAll(Decompressor, std::string_view(Compressed).substr(Split));
    RC_ASSERT(Out == Frame);
  }
}

TEST(LinkCompression, LargeFramesRoundTrip) {
  std::string Frame(5'000'000, 'x');
  std::mt19937_64 Random(1);
  for (std::size_t I = 0; I < Frame.size(); I += 3)
    Frame[I] = static_cast<char>(Random());
  LinkCompressor Compressor;
  LinkDecompressor Decompressor;
  std::string Compressed;
  Compressor.append(Compressed, Frame);
  EXPECT_EQ(decompressAll(Decompressor, Compressed), Frame);
}

TEST(LinkCompression, InvalidBytesAreRejected) {
  LinkDecompressor Decompressor;
  EXPECT_FALSE(Decompressor.decompress("GET / HTTP/1.1\r\n\r\n",
                                       [](std::string_view) { return true; }));
}

// A damaged or malicious stream may state a window of gigabytes.
TEST(LinkCompression, LargeWindowIsRejected) {
  const std::string Head("\x28\xb5\x2f\xfd\x00\xa0\x01\x00\x00", 9);
  LinkDecompressor Decompressor;
  EXPECT_FALSE(
      Decompressor.decompress(Head, [](std::string_view) { return true; }));
}
