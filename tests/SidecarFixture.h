// SidecarFixture.h - Test fixture with a sidecar reducer and prepared records.

#ifndef FIGSAIL_TESTS_SIDECARFIXTURE_H
#define FIGSAIL_TESTS_SIDECARFIXTURE_H

#include "Sidecar.h"
#include "SidecarTestSupport.h"

#include <algorithm>
#include <cstdlib>
#include <gtest/gtest.h>
#include <iterator>

namespace figsail::test {

/// Decoder that returns the content that a test has prepared for a record.
class FakeDecoder : public RecordDecoder {
public:
  TopicContent decode(Topic, const KeyedRecord &Record) const override {
    auto Known = Contents.find(Record.Key + "@" + std::to_string(Record.At));
    if (Known == Contents.end())
      return UnusableRecord{Record.Key, "not prepared"};
    return Known->second;
  }
  std::map<std::string, TopicContent> Contents; ///< By "key@offset".
};

struct SidecarTest : testing::Test {
  SidecarTest() : Reducer(testSettings(), Decoder) {}

  SidecarEffects apply(SidecarEventBody Body) {
    return Reducer.apply({Now, Seed += 0x9e3779b97f4a7c15ULL, std::move(Body)});
  }
  SidecarEffects tick(Duration After = Duration(0)) {
    Now += After;
    return apply(TimerFired{});
  }

  ConfigPtr config(std::uint64_t Version, bool Idempotent = true,
                   const std::string &Service = "booking") {
    auto Built = std::make_shared<ServiceConfig>();
    Built->Version = Version;
    ServiceRoute Route;
    Route.Name = "book";
    Route.Host = "desk.example";
    Route.PathPrefix = "/book/";
    Route.Idempotent = Idempotent;
    Route.Timeout = RouteTimeout;
    Route.TargetLatency = 300ms;
    Route.MaxServers = 2;
    Route.Parts = {{Service, 1}};
    Built->add(Route);
    return Built;
  }
  /// A heartbeat of a server whose health path says the same.
  SidecarEffects reportServer(const ServerHeartbeat &Report) {
    SidecarEffects Out = apply(Report);
    ServerProbeResult Well;
    Well.Healthy = true;
    Well.Instance = Report.Instance;
    std::ranges::move(apply(Well), std::back_inserter(Out));
    return Out;
  }
  SidecarEffects operatorRecord(const std::string &Key, Offset At,
                                TopicContent Content) {
    Decoder.Contents[Key + "@" + std::to_string(At)] = std::move(Content);
    return apply(TopicRecords{Topic::Operator, {{Key, "x", At}}, At + 1});
  }
  SidecarEffects memberRecord(const Announcement &Announced) {
    Offset At = ++MemberOffset;
    Decoder.Contents[Announced.Host + "@" + std::to_string(At)] = Announced;
    return apply(
        TopicRecords{Topic::Members, {{Announced.Host, "x", At}}, At + 1});
  }
  /// Delivers empty topics, then a configuration and hosts a, b and c.
  void loadTopics(bool Idempotent = true) {
    tick();
    tick(100ms);
    apply(TopicSnapshot{Topic::Operator, {}, 0});
    apply(TopicSnapshot{Topic::Members, {}, 0});
    operatorRecord("config", 1, config(5, Idempotent));
    for (const char *Host : {"a", "b", "c"})
      memberRecord(announcement(Host));
  }

  SidecarEffects request(CallerId Caller, const std::string &Target = "/book/1",
                         std::optional<Duration> Patience = 1000ms) {
    ClientRequest Arrived;
    Arrived.Caller = Caller;
    Arrived.Id = "c" + std::to_string(Caller);
    Arrived.Host = "desk.example";
    Arrived.ClientTimeout = Patience;
    Arrived.Request.Method = "GET";
    Arrived.Request.Target = Target;
    return apply(std::move(Arrived));
  }
  static std::pair<HostId, Execute> sent(const SidecarEffects &Out) {
    auto Found = messages<Execute>(Out);
    EXPECT_EQ(Found.size(), 1U);
    return Found.empty() ? std::pair<HostId, Execute>() : Found[0];
  }
  static std::optional<HttpResponse> answer(const SidecarEffects &Out) {
    auto Found = effects<ReplyCaller>(Out);
    if (Found.empty())
      return std::nullopt;
    return Found[0].Response;
  }
  template <class T> SidecarEffects reply(const HostId &From, T Message) {
    Incarnation Inc = From == testSettings().Host ? testSettings().Inc : 77;
    return apply(PeerReceived{{From, Inc}, std::move(Message)});
  }
  static double retryAfter(const HttpResponse &Response) {
    std::string Text(findHeader(Response.Headers, "Retry-After"));
    return Text.empty() ? -1 : std::atof(Text.c_str());
  }

  Duration RouteTimeout = 1000ms;
  TimePoint Now = TestStart;
  std::uint64_t Seed = 1;
  Offset MemberOffset = 0;
  FakeDecoder Decoder;
  Sidecar Reducer;
};

} // namespace figsail::test

#endif // FIGSAIL_TESTS_SIDECARFIXTURE_H
