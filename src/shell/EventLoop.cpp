// EventLoop.cpp - Timer that wakes a reducer.

#include "EventLoop.h"

namespace figsail {

void WakeTimer::arm(TimePoint Due) {
  if (Due == ArmedFor)
    return;
  ArmedFor = Due;
  if (Due == TimePoint::max()) {
    Timer.cancel();
    return;
  }
  Timer.expires_at(Due);
  Timer.async_wait([this](const boost::system::error_code &Error) {
    if (Error)
      return;
    ArmedFor = TimePoint::max();
    Wake();
  });
}

} // namespace figsail
