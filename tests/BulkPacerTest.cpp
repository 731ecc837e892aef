// BulkPacerTest.cpp - Tests of the pacing over all links of a host.

#include "BulkPacer.h"

#include <gtest/gtest.h>

using namespace figsail;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t PieceBytes = 16'384;
constexpr double LinkBytes = 10e6 / 8;

struct FakeLink : BulkSender, std::enable_shared_from_this<FakeLink> {
  FakeLink(BulkPacer &Pacer, TimePoint &Now) : Pacer(Pacer), Now(Now) {}
  void resumeBulk() override {
    while (!Frozen && Pacer.request(Now, shared_from_this())) {
      Pacer.spend(Now, PieceBytes);
      ++Pieces;
    }
  }
  BulkPacer &Pacer;
  TimePoint &Now;
  bool Frozen = false; ///< Its write does not end.
  std::size_t Pieces = 0;
};

struct BulkPacerTest : testing::Test {
  BulkPacerTest() {
    Pacer.setTimer([this](TimePoint Due) { DueAt = Due; });
    for (auto &Link : Links)
      Link = std::make_shared<FakeLink>(Pacer, Now);
  }
  void run(Duration Time) {
    TimePoint End = Now + Time;
    while (DueAt <= End) {
      Now = std::exchange(DueAt, TimePoint::max());
      Pacer.resume(Now);
    }
    Now = End;
  }
  std::size_t total() const {
    std::size_t Sum = 0;
    for (const auto &Link : Links)
      Sum += Link->Pieces;
    return Sum;
  }

  TimePoint Now{std::chrono::hours(1)};
  TimePoint DueAt = TimePoint::max();
  BulkPacer Pacer{LinkBytes};
  std::array<std::shared_ptr<FakeLink>, 4> Links;
};

} // namespace

// The answers of all links together would fill the host's link, or one link
// would take the turns of the others.
TEST_F(BulkPacerTest, AllLinksTogetherStayWithinAFractionAndShareIt) {
  for (auto &Link : Links)
    Link->resumeBulk();
  run(2s);
  auto Share = static_cast<double>(total() * PieceBytes) / (2 * LinkBytes);
  EXPECT_GT(Share, 0.65);
  EXPECT_LT(Share, 0.75);
  for (const auto &Link : Links)
    EXPECT_NEAR(static_cast<double>(Link->Pieces),
                static_cast<double>(total()) / 4, 2);
}

// A peer that does not read, or a link that is closed, would stop the answers
// of all other links.
TEST_F(BulkPacerTest, AFrozenOrClosedLinkDelaysNoOther) {
  for (auto &Link : Links)
    Link->resumeBulk();
  Links[0]->Frozen = true;
  Links[1] = std::make_shared<FakeLink>(Pacer, Now);
  run(2s);
  EXPECT_GT(Links[2]->Pieces + Links[3]->Pieces, 100U);
}

// Without a rate in the settings, nothing may wait.
TEST(BulkPacer, WithoutARateNothingIsPaced) {
  BulkPacer Pacer(0);
  TimePoint Now{1h};
  for (int I = 0; I < 1000; ++I) {
    EXPECT_TRUE(Pacer.request(Now, nullptr));
    Pacer.spend(Now, PieceBytes);
  }
}
