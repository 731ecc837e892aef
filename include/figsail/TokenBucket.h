// TokenBucket.h - A rate limiter that gets the time from its caller.

#ifndef FIGSAIL_TOKENBUCKET_H
#define FIGSAIL_TOKENBUCKET_H

#include "figsail/Types.h"

#include <algorithm>

namespace figsail {

/// A token bucket that holds up to Burst tokens and gains Rate tokens a second.
class TokenBucket {
public:
  TokenBucket(double Rate, double Burst)
      : Rate(Rate), Burst(Burst), Tokens(Burst) {}

  /// Takes Amount tokens if there are enough. Returns whether it did.
  bool take(TimePoint Now, double Amount = 1) {
    refill(Now);
    if (Tokens < Amount)
      return false;
    Tokens -= Amount;
    return true;
  }

  /// Takes Amount tokens even if there are fewer. The balance is then negative
  /// until enough tokens are gained.
  void spend(TimePoint Now, double Amount) {
    refill(Now);
    Tokens -= Amount;
  }

  /// Returns the balance of tokens, which may be negative.
  double available(TimePoint Now) {
    refill(Now);
    return Tokens;
  }

  /// Adds tokens, up to the burst.
  void put(double Amount) { Tokens = std::min(Burst, Tokens + Amount); }

  /// Changes the rate and the burst. Tokens above the new burst are removed.
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
  double Burst;     ///< Upper bound of the balance.
  double Tokens;    ///< Balance at Last.
  TimePoint Last{}; ///< When tokens were last added.
};

} // namespace figsail

#endif // FIGSAIL_TOKENBUCKET_H
