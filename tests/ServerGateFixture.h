// ServerGateFixture.h - Test fixture: a gate with a ready backend server.

#ifndef FIGSAIL_TESTS_SERVERGATEFIXTURE_H
#define FIGSAIL_TESTS_SERVERGATEFIXTURE_H

#include "ServerGate.h"
#include "SidecarTestSupport.h"

#include <gtest/gtest.h>

namespace figsail::test {

inline const PeerRef Ingress{"10.0.0.9:7000", 9};

/// Sets up a gate whose server is ready and has 10 slots.
struct ServerGateTest : testing::Test {
  ServerGateTest() : Gate(testSettings()) {
    ServiceSettings Service;
    Service.ColdPerSecond = 40;
    Service.MaxConnections = 200;
    Gate.configure(Service);
    reportServer();
  }

  template <class Action> SidecarEffects step(Action Do) {
    SidecarEffects Out;
    GateStep Step{Now, Out};
    Do(Step);
    return Out;
  }
  SidecarEffects sendHeartbeat(std::uint64_t Sequence,
                               Duration Cold = Duration(0)) {
    ServerHeartbeat Report = heartbeat(Sequence);
    Report.Cold = Cold;
    return step([&](GateStep &Step) { Gate.heartbeat(Step, Report); });
  }
  /// The first heartbeat of a server whose health path says the same.
  void reportServer() {
    sendHeartbeat(1);
    ServerProbeResult Well;
    Well.Healthy = true;
    Well.Instance = "i-1";
    step([&](GateStep &Step) { Gate.probeEnded(Step, Well); });
  }
  Execute call(bool Idempotent = true, std::uint32_t Priority = 0) {
    Execute Message;
    Message.Call = {9, ++LastCall};
    Message.Policy.Route = "book";
    Message.Policy.Service = "booking";
    Message.Policy.Idempotent = Idempotent;
    Message.Policy.Priority = Priority;
    Message.BudgetMicros = Duration(1s).count();
    Message.TargetMicros = Duration(300ms).count();
    Message.Instance = "i-1";
    return Message;
  }
  SidecarEffects execute(Execute Message) {
    return step([&](GateStep &Step) {
      Gate.execute(Step, Ingress, std::move(Message));
    });
  }
  SidecarEffects endRun(RunId Run, ServerRunResult Result = {}) {
    Result.Run = Run;
    if (!std::holds_alternative<BackendError>(Result.Result) &&
        std::get<HttpResponse>(Result.Result).Status == 0)
      std::get<HttpResponse>(Result.Result).Status = 200;
    return step(
        [&](GateStep &Step) { Gate.runEnded(Step, std::move(Result)); });
  }
  std::vector<Refused> refusals(const SidecarEffects &Out) {
    std::vector<Refused> Found;
    for (auto &[Host, Message] : messages<Refused>(Out))
      Found.push_back(Message);
    return Found;
  }
  /// Sends calls until one has to wait. Returns the runs that were started.
  std::vector<RunId> fill() {
    std::vector<RunId> Runs;
    while (true) {
      auto Started = effects<StartRun>(execute(call()));
      if (Started.empty())
        return Runs;
      Runs.push_back(Started[0].Run);
    }
  }

  /// Advances the time, with a call at each interval. Returns the number of
  /// probes.
  std::size_t probesIn(Duration Time, Duration CallInterval) {
    std::size_t Probes = 0;
    for (Duration Passed{0}; Passed < Time; Passed += 1ms) {
      Now += 1ms;
      if (Passed % CallInterval == 0ms && CallInterval < Time)
        execute(call());
      auto Out = step([&](GateStep &Step) { Gate.timer(Step); });
      for ([[maybe_unused]] const auto &Sent : effects<ProbeServer>(Out)) {
        ++Probes;
        step([&](GateStep &Step) {
          Gate.probeEnded(Step, ServerProbeResult{});
        });
      }
    }
    return Probes;
  }

  TimePoint Now = TestStart;
  std::uint64_t LastCall = 0;
  ServerGate Gate;
};

} // namespace figsail::test

#endif // FIGSAIL_TESTS_SERVERGATEFIXTURE_H
