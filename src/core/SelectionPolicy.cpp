// SelectionPolicy.cpp - Policies that choose among candidate servers.

#include "figsail/Balancer.h"

#include <algorithm>

namespace figsail {

double Candidate::score() const {
  // A server that fails every second call scores like one whose queue is as
  // long as its limit.
  constexpr double FailureWeight = 2;
  return Utilization + FailureWeight * FailureRate + Slowness;
}

namespace {

class RoundRobin final : public SelectionPolicy {
public:
  std::size_t pick(std::span<const Candidate> Candidates,
                   std::uint64_t) override {
    return Next++ % Candidates.size();
  }

private:
  std::size_t Next = 0;
};

class LeastOutstanding final : public SelectionPolicy {
public:
  std::size_t pick(std::span<const Candidate> Candidates,
                   std::uint64_t Seed) override {
    std::size_t Size = Candidates.size();
    // Start at a random index, so that equal candidates share the calls.
    std::size_t Best = Seed % Size;
    for (std::size_t Step = 1; Step < Size; ++Step) {
      std::size_t Other = (Seed + Step) % Size;
      if (Candidates[Other].Outstanding < Candidates[Best].Outstanding)
        Best = Other;
    }
    return Best;
  }
};

/// One in this many of the calls whose two candidates include one with an
/// expired report goes to that candidate. By score alone it would never be
/// chosen while other servers have free slots, so it would never send a new
/// report.
constexpr std::uint64_t ExplorationInterval = 16;

class PowerOfTwoChoices final : public SelectionPolicy {
public:
  std::size_t pick(std::span<const Candidate> Candidates,
                   std::uint64_t Seed) override {
    std::size_t Size = Candidates.size();
    if (Size == 1)
      return 0;
    // The two halves of the seed give two distinct indexes.
    std::size_t First = (Seed & 0xffffffffU) % Size;
    std::size_t Second = (First + 1 + (Seed >> 32) % (Size - 1)) % Size;
    if ((Seed >> 17) % ExplorationInterval == 0 &&
        Candidates[First].Stale != Candidates[Second].Stale)
      return Candidates[First].Stale ? First : Second;
    double Difference = Candidates[Second].score() - Candidates[First].score();
    if (Difference != 0)
      return Difference < 0 ? Second : First;
    bool SecondHasFewer =
        Candidates[Second].Outstanding < Candidates[First].Outstanding;
    return SecondHasFewer ? Second : First;
  }
};

/// Maximum fraction by which expected times are increased at random. All
/// ingresses receive the report of a change at the same moment and would
/// otherwise choose the same server.
constexpr double ExpectedTimeSpread = 0.2;

/// Factor on the expected time at a server of another failure domain. Traffic
/// between failure domains is paid for, and a link between them may fail. The
/// factor is below the one for a server at its limit, so that an idle server
/// elsewhere goes before a full one nearby.
constexpr double OtherDomainFactor = 1.25;

class ShortestExpectedTime final : public SelectionPolicy {
public:
  bool usesTiers() const override { return false; }
  std::size_t pick(std::span<const Candidate> Candidates,
                   std::uint64_t Seed) override {
    std::size_t Best = 0;
    double BestTime = 0;
    bool ExcludeRemote = excludesRemote(Candidates);
    bool Found = false;
    for (std::size_t I = 0; I < Candidates.size(); ++I) {
      Seed = Seed * 6364136223846793005ULL + 1442695040888963407ULL;
      if (ExcludeRemote && Candidates[I].Remote)
        continue;
      double Random = static_cast<double>(Seed >> 33) * 0x1.0p-31;
      double Time = static_cast<double>(Candidates[I].ExpectedTime.count()) *
                    (1 + ExpectedTimeSpread * Random) *
                    (Candidates[I].Near ? 1 : OtherDomainFactor);
      if (Found && Time >= BestTime)
        continue;
      Found = true;
      Best = I;
      BestTime = Time;
    }
    return Best;
  }

private:
  static bool excludesRemote(std::span<const Candidate> Candidates) {
    bool AnyNear = false;
    bool NearMeetsTarget = false;
    bool RemoteMeetsTarget = false;
    for (const Candidate &Entry : Candidates) {
      AnyNear = AnyNear || !Entry.Remote;
      NearMeetsTarget = NearMeetsTarget || (!Entry.Remote && Entry.MeetsTarget);
      RemoteMeetsTarget =
          RemoteMeetsTarget || (Entry.Remote && Entry.MeetsTarget);
    }
    return AnyNear && (NearMeetsTarget || !RemoteMeetsTarget);
  }
};

} // namespace

std::unique_ptr<SelectionPolicy> makeRoundRobin() {
  return std::make_unique<RoundRobin>();
}

std::unique_ptr<SelectionPolicy> makeLeastOutstanding() {
  return std::make_unique<LeastOutstanding>();
}

std::unique_ptr<SelectionPolicy> makePowerOfTwoChoices() {
  return std::make_unique<PowerOfTwoChoices>();
}

std::unique_ptr<SelectionPolicy> makeShortestExpectedTime() {
  return std::make_unique<ShortestExpectedTime>();
}

std::unique_ptr<SelectionPolicy> makePolicy(const std::string &Name) {
  if (Name == "round-robin")
    return makeRoundRobin();
  if (Name == "least-outstanding")
    return makeLeastOutstanding();
  if (Name == "power-of-two")
    return makePowerOfTwoChoices();
  if (Name == "expected-time")
    return makeShortestExpectedTime();
  return nullptr;
}

} // namespace figsail
