// EventLoop.h - Passes events to a reducer one after the other, and wakes it.

#ifndef FIGSAIL_EVENTLOOP_H
#define FIGSAIL_EVENTLOOP_H

#include "figsail/Types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <utility>

namespace figsail {

/// Events that wait for the reducer. An effect may end at once and submit an
/// event from within the handling of another.
template <class T> class EventQueue {
public:
  /// Handles an event after those that are waiting. Returns whether the queue
  /// was emptied here; otherwise an outer call goes on with it.
  template <class Handler> bool submit(T Event, Handler Handle) {
    Waiting.push_back(std::move(Event));
    if (Handling)
      return false;
    Handling = true;
    while (!Waiting.empty()) {
      T Next = std::move(Waiting.front());
      Waiting.pop_front();
      Handle(std::move(Next));
    }
    Handling = false;
    return true;
  }

  /// Drops waiting events.
  template <class Predicate> void removeIf(Predicate Matches) {
    std::erase_if(Waiting, Matches);
  }

private:
  std::deque<T> Waiting;
  bool Handling = false;
};

/// Calls a function when the reducer wants to be woken.
class WakeTimer {
public:
  WakeTimer(boost::asio::io_context &Context, std::function<void()> Wake)
      : Timer(Context), Wake(std::move(Wake)) {}

  /// Sets when to call; TimePoint::max() for never.
  void arm(TimePoint Due);

private:
  boost::asio::steady_timer Timer;
  std::function<void()> Wake;
  TimePoint ArmedFor = TimePoint::max(); ///< When the timer expires.
};

} // namespace figsail

#endif // FIGSAIL_EVENTLOOP_H
