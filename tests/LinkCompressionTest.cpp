// LinkCompressionTest.cpp - The compressed stream between two regions.

#include "LinkCompression.h"
#include "PeerCodec.h"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

using namespace figsail;

namespace {

std::string decoded(LinkDecompressor &Stream, std::string_view Bytes) {
  std::string Out;
  EXPECT_TRUE(Stream.feed(Bytes, [&](std::string_view Plain) {
    Out += Plain;
    return true;
  }));
  return Out;
}

/// A call as it goes to another region: names and fields as ever, a body of its
/// own.
Execute crossing(std::uint64_t Number, std::mt19937_64 &Random) {
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

// Load pattern: many small calls over a narrow link. Everything but the content
// of a call repeats.
TEST(LinkCompression, WhatRepeatsFromCallToCallTakesFewBytes) {
  std::mt19937_64 Random(20261204);
  LinkCompressor Sending;
  std::string Frame;
  std::string Wire;
  std::size_t Bodies = 0;
  std::size_t Raw = 0;
  for (std::uint64_t I = 0; I < 100; ++I) {
    Execute Message = crossing(I, Random);
    Bodies += Message.Request.Body.size();
    Frame.clear();
    appendFrame(Frame, I, Message);
    Raw += Frame.size();
    Sending.append(Wire, Frame);
  }
  EXPECT_LT(Wire.size(), Bodies + std::size_t{100} * 100)
      << "names, fields and lengths take under 100 bytes a call";
  EXPECT_GT(Raw, Bodies + std::size_t{100} * 250);
}

// A call must not wait for the next one to be readable.
RC_GTEST_PROP(LinkCompression, EachFrameIsReadableAtOnceHoweverItIsCut,
              (const std::vector<std::string> &Frames)) {
  LinkCompressor Sending;
  LinkDecompressor Receiving;
  for (const std::string &Frame : Frames) {
    std::string Wire;
    Sending.append(Wire, Frame);
    auto Cut = *rc::gen::inRange<std::size_t>(0, Wire.size() + 1);
    std::string Out = decoded(Receiving, std::string_view(Wire).substr(0, Cut));
    Out += decoded(Receiving, std::string_view(Wire).substr(Cut));
    RC_ASSERT(Out == Frame);
  }
}

TEST(LinkCompression, LargeFramesPass) {
  std::string Frame(5'000'000, 'x');
  std::mt19937_64 Random(1);
  for (std::size_t I = 0; I < Frame.size(); I += 3)
    Frame[I] = static_cast<char>(Random());
  LinkCompressor Sending;
  LinkDecompressor Receiving;
  std::string Wire;
  Sending.append(Wire, Frame);
  EXPECT_EQ(decoded(Receiving, Wire), Frame);
}

TEST(LinkCompression, ForeignBytesAreAnError) {
  LinkDecompressor Receiving;
  EXPECT_FALSE(Receiving.feed("GET / HTTP/1.1\r\n\r\n",
                              [](std::string_view) { return true; }));
}

// A damaged or hostile stream may name a window of gigabytes.
TEST(LinkCompression, ALargeWindowIsRefused) {
  const std::string Head("\x28\xb5\x2f\xfd\x00\xa0\x01\x00\x00", 9);
  LinkDecompressor Receiving;
  EXPECT_FALSE(Receiving.feed(Head, [](std::string_view) { return true; }));
}
