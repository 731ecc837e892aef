// EventLoop.h - Event queue and wake-up timer of a reducer.

#ifndef FIGSAIL_EVENTLOOP_H
#define FIGSAIL_EVENTLOOP_H

#include "figsail/Types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <utility>

namespace figsail {

/// First-in, first-out queue of the events for a reducer. The reducer handles
/// one event at a time: an effect may finish at once and submit its event while
/// another one is being handled.
template <class T> class EventQueue {
public:
  /// Handles the event after all queued ones. Returns true when this call has
  /// emptied the queue. Returns false when it was made from within a handler:
  /// the outer submit() then handles the event.
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

  /// Removes the queued events for which the predicate holds.
  template <class Predicate> void removeIf(Predicate Matches) {
    std::erase_if(Waiting, Matches);
  }

private:
  std::deque<T> Waiting;
  bool Handling = false;
};

/// Timer that calls a function at the time that the reducer asks for.
class WakeTimer {
public:
  WakeTimer(boost::asio::io_context &Context, std::function<void()> Wake)
      : Timer(Context), Wake(std::move(Wake)) {}

  /// Sets the time of the next call. TimePoint::max() cancels it.
  void arm(TimePoint Due);

private:
  boost::asio::steady_timer Timer;
  std::function<void()> Wake;
  TimePoint ArmedFor = TimePoint::max(); ///< max(): not armed.
};

} // namespace figsail

#endif // FIGSAIL_EVENTLOOP_H
