// TokenBucket.h - A bound on a rate, without a clock of its own.

#ifndef FIGSAIL_TOKENBUCKET_H
#define FIGSAIL_TOKENBUCKET_H

#include "figsail/Types.h"

#include <algorithm>

namespace figsail {

/// Holds up to Burst tokens and gains Rate tokens a second.
class TokenBucket {
public:
  TokenBucket(double Rate, double Burst)
      : Rate(Rate), Burst(Burst), Tokens(Burst) {}

  /// Takes Amount tokens if there are so many. Returns whether it did.
  bool take(TimePoint Now, double Amount = 1) {
    refill(Now);
    if (Tokens < Amount)
      return false;
    Tokens -= Amount;
    return true;
  }

  /// Takes Amount tokens even if there are fewer; the debt is paid off by later
  /// gains.
  void spend(TimePoint Now, double Amount) {
    refill(Now);
    Tokens -= Amount;
  }

  /// Returns the tokens held; negative while there is a debt.
  double available(TimePoint Now) {
    refill(Now);
    return Tokens;
  }

  /// Adds tokens, up to the burst.
  void put(double Amount) { Tokens = std::min(Burst, Tokens + Amount); }

  /// Changes the rate and the burst; tokens above the new burst are lost.
  void configure(double NewRate, double NewBurst) {
    Rate = NewRate;
    Burst = NewBurst;
    Tokens = std::min(Tokens, Burst);
  }

private:
  void refill(TimePoint Now) {
    if (Now <= Last)
      return;
    std::chrono::duration<double> Elapsed = Now - Last;
    Last = Now;
    put(Elapsed.count() * Rate);
  }

  double Rate;      ///< Tokens a second.
  double Burst;     ///< Most tokens held.
  double Tokens;    ///< Tokens held at Last.
  TimePoint Last{}; ///< When tokens were last added.
};

} // namespace figsail

#endif // FIGSAIL_TOKENBUCKET_H
