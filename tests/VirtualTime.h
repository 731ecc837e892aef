// VirtualTime.h - Virtual time of a simulation.

#ifndef FIGSAIL_TESTS_VIRTUALTIME_H
#define FIGSAIL_TESTS_VIRTUALTIME_H

#include "SidecarTestSupport.h"

#include <functional>
#include <map>
#include <utility>

namespace figsail::test {

/// Agenda of a simulation. Actions of one time run in the order of their
/// scheduling.
class VirtualTime {
public:
  using Action = std::function<void()>;

  TimePoint now() const { return Now; }
  void schedule(Duration After, Action What) {
    Agenda.emplace(Now + After, std::move(What));
  }
  void run(Duration Time) {
    TimePoint End = Now + Time;
    while (!Agenda.empty() && Agenda.begin()->first <= End) {
      auto Next = Agenda.extract(Agenda.begin());
      Now = Next.key();
      Next.mapped()();
    }
    Now = End;
  }

private:
  TimePoint Now = TestStart;
  std::multimap<TimePoint, Action> Agenda;
};

} // namespace figsail::test

#endif // FIGSAIL_TESTS_VIRTUALTIME_H
