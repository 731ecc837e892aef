// ProcessSettingsTest.cpp - Tests that invalid or misspelt settings of figsaild
// are errors.

#include "ProcessSettings.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

using namespace figsail;

namespace {

using Arguments = std::vector<std::string>;

Arguments completeArguments() {
  return {"--peer-listen=127.0.0.1:7000",     "--http-listen=127.0.0.1:7001",
          "--operator-listen=127.0.0.1:7002", "--region=fukuoka",
          "--failure-domain=hakata",          "--log=127.0.0.1:7003",
          "--service=/tsukushi/deposits",     "--backend=127.0.0.1:7004"};
}

Arguments completeWith(const std::string &More) {
  Arguments Result = completeArguments();
  Result.push_back(More);
  return Result;
}

/// Returns the complete arguments without the flag of that name.
Arguments completeWithout(const std::string &Name) {
  Arguments Result = completeArguments();
  std::erase_if(Result, [&](const std::string &Text) {
    return Text.starts_with("--" + Name + "=");
  });
  return Result;
}

/// Returns the error text, or an empty text if the settings are valid.
std::string errorOf(const Arguments &Given, const Environment &Variables = {}) {
  SettingsResult Result = readProcessSettings(Given, Variables);
  const auto *Error = std::get_if<SettingsError>(&Result);
  return Error ? Error->Text : std::string();
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

/// Temporary settings file, removed by the destructor.
struct SettingsFile {
  explicit SettingsFile(const std::string &Text) {
    std::string Name = testing::TempDir() + "figsail-settings-XXXXXX";
    int Descriptor = mkstemp(Name.data());
    Path = Name;
    std::ofstream(Path) << Text;
    close(Descriptor);
  }
  SettingsFile(const SettingsFile &) = delete;
  SettingsFile &operator=(const SettingsFile &) = delete;
  ~SettingsFile() { std::filesystem::remove(Path); }

  std::string Path;
};

} // namespace

// Other defaults in the table would let the records exceed the memory budget of
// RecordLimits.
TEST(ProcessSettings, RecordDefaultsMatchRecordLimits) {
  SettingsResult Result = readProcessSettings(completeArguments(), {});
  const auto *Settings = std::get_if<ProcessSettings>(&Result);
  ASSERT_TRUE(Settings);
  const RecordLimits &Given = Settings->Node.Records;
  EXPECT_EQ(Given.MaxRecords, RecordLimits().MaxRecords);
  EXPECT_EQ(Given.MaxAnswerBytes, RecordLimits().MaxAnswerBytes);
  EXPECT_EQ(Given.MaxTotalBytes, RecordLimits().MaxTotalBytes);
}

TEST(ProcessSettings, StoresEachValueInItsField) {
  Arguments Given = completeArguments();
  for (const char *More :
       {"--backend-slots=20", "--backend-connections=200", "--drain-limit=45s",
        "--log-retention=36h", "--region-link-bits=8000000",
        "--seeds=127.0.0.1:7000,127.0.0.2:7000", "--policy=round-robin",
        "--max-records=10", "--timeline-size=100", "--health-target=/alive"})
    Given.emplace_back(More);
  SettingsResult Result = readProcessSettings(Given, {});
  ASSERT_TRUE(std::holds_alternative<ProcessSettings>(Result))
      << errorOf(Given);
  const auto &Settings = std::get<ProcessSettings>(Result);
  const NodeSettings &Node = Settings.Node;
  EXPECT_EQ(Node.Self.Host, "127.0.0.1:7000");
  EXPECT_EQ(Node.Self.HttpAddress, "127.0.0.1:7001");
  EXPECT_EQ(Node.Self.OperatorAddress, "127.0.0.1:7002");
  EXPECT_EQ(Node.Self.Region, "fukuoka");
  EXPECT_EQ(Node.Self.FailureDomain, "hakata");
  EXPECT_EQ(Node.Self.Service, "/tsukushi/deposits");
  EXPECT_EQ(Node.Self.Slots, 20U);
  EXPECT_EQ(Node.AdmissionControl.Slots, 20U);
  EXPECT_EQ(Node.AdmissionControl.Region, "fukuoka");
  EXPECT_EQ(Node.DrainLimit, std::chrono::seconds(45));
  EXPECT_EQ(Node.LogRetention, std::chrono::hours(36));
  EXPECT_DOUBLE_EQ(Node.RegionLinkBytes, 1e6);
  EXPECT_EQ(Node.Seeds, std::vector<HostId>{"127.0.0.2:7000"});
  EXPECT_EQ(Node.Policy, "round-robin");
  EXPECT_EQ(Node.Records.MaxRecords, 10U);
  EXPECT_EQ(Settings.BackendAddress, "127.0.0.1:7004");
  EXPECT_EQ(Settings.BackendConnections, 200U);
  EXPECT_EQ(Settings.HealthTarget, "/alive");
  EXPECT_EQ(Settings.LogAddress, "127.0.0.1:7003");
  EXPECT_EQ(Settings.TimelineSize, 100U);
}

TEST(ProcessSettings, FlagsTakePrecedenceOverVariables) {
  Environment Variables{{"FIGSAIL_REGION", "kagoshima"},
                        {"FIGSAIL_BACKEND_SLOTS", "7"},
                        {"HOME", "/"}};
  auto Result = readProcessSettings(completeArguments(), Variables);
  ASSERT_TRUE(std::holds_alternative<ProcessSettings>(Result));
  const Member &Self = std::get<ProcessSettings>(Result).Node.Self;
  EXPECT_EQ(Self.Region, "fukuoka");
  EXPECT_EQ(Self.Slots, 7U);
}

// FIGSAIL_SETTINGS must not be rejected as an unknown setting.
TEST(ProcessSettings, FlagsAndVariablesTakePrecedenceOverTheFile) {
  SettingsFile File("region = kagoshima\nbackend-slots = 7\n"
                    "# a comment\nbackend-connections=90\n");
  Environment Variables{{"FIGSAIL_SETTINGS", File.Path},
                        {"FIGSAIL_BACKEND_SLOTS", "8"}};
  auto Result = readProcessSettings(completeArguments(), Variables);
  const auto *Settings = std::get_if<ProcessSettings>(&Result);
  ASSERT_TRUE(Settings);
  EXPECT_EQ(Settings->Node.Self.Region, "fukuoka");
  EXPECT_EQ(Settings->Node.Self.Slots, 8U);
  EXPECT_EQ(Settings->BackendConnections, 90U);
}

TEST(ProcessSettings, ErrorsInAFileNameTheFile) {
  for (const char *Text :
       {"drain-limt = 5s\n", "backend-slots\n", "settings = other\n",
        "help = 1\n", "[part]\nregion = a\n", "SelfNode:\n  Role: x\n"}) {
    SettingsFile File(Text);
    EXPECT_TRUE(
        contains(errorOf(completeWith("--settings=" + File.Path)), File.Path))
        << Text;
  }
  SettingsFile File("backend-slots = 0\n");
  EXPECT_TRUE(contains(errorOf(completeWith("--settings=" + File.Path)),
                       "backend-slots"));
  EXPECT_TRUE(contains(errorOf(completeWith("--settings=/nowhere/at/all")),
                       "/nowhere"));
  EXPECT_TRUE(
      contains(errorOf(completeWith("--settings=/")), "cannot be read"));
}

// If a misspelt name were ignored, the default would stay in force unnoticed.
TEST(ProcessSettings, UnknownNamesAreErrors) {
  EXPECT_TRUE(contains(errorOf(completeWith("--drain-limt=5s")), "drain-limt"));
  EXPECT_TRUE(contains(errorOf(completeWith("--drain=5s")), "drain"))
      << "a prefix of a name is not the name";
  EXPECT_FALSE(errorOf(completeWith("stray")).empty());
  EXPECT_TRUE(
      contains(errorOf(completeArguments(), {{"FIGSAIL_DRAIN_LIMT", "5s"}}),
               "FIGSAIL_DRAIN_LIMT"));
}

TEST(ProcessSettings, ValuesOutOfBoundsAreErrorsThatNameTheBounds) {
  EXPECT_TRUE(
      contains(errorOf(completeWith("--backend-slots=0")), "1..100000"));
  EXPECT_TRUE(contains(errorOf(completeWith("--drain-limit=0s")), "1s..1h"));
  for (const char *Given :
       {"--backend-slots=10x", "--backend-slots=", "--backend-slots=-1",
        "--backend-slots=99999999999999999999", "--drain-limit=30",
        "--drain-limit=9223372036854775807h", "--policy=random",
        "--seeds=127.0.0.1", "--seeds=127.0.0.1:1,,127.0.0.1:2",
        "--health-target=health"})
    EXPECT_FALSE(errorOf(completeWith(Given)).empty()) << Given;
  EXPECT_TRUE(
      contains(errorOf(completeArguments(), {{"FIGSAIL_BACKEND_SLOTS", "0"}}),
               "backend-slots"));
}

// The daemon could start with some of these addresses, but peers could not
// connect to them.
TEST(ProcessSettings, ListenAddressesMustNameThisHost) {
  for (const char *Address :
       {"0.0.0.0:7000", "[::]:7000", "127.0.0.1:0", "localhost:7000", ":7000",
        "7000", "127.0.0.1", "127.0.0.1:70000"}) {
    Arguments Given = completeWithout("peer-listen");
    Given.push_back(std::string("--peer-listen=") + Address);
    EXPECT_TRUE(contains(errorOf(Given), "peer-listen")) << Address;
  }
}

TEST(ProcessSettings, RequiredSettingsAreNamedWhenMissing) {
  for (const char *Name : {"peer-listen", "http-listen", "operator-listen",
                           "region", "failure-domain", "log"})
    EXPECT_TRUE(contains(errorOf(completeWithout(Name)), Name)) << Name;
}

TEST(ProcessSettings, ContradictionsAreErrors) {
  EXPECT_TRUE(contains(errorOf(completeWithout("backend")), "--backend"));
  EXPECT_TRUE(contains(errorOf(completeWithout("service")), "--service"));
  EXPECT_FALSE(errorOf(completeWith("--backend-connections=9")).empty());
  EXPECT_FALSE(errorOf(completeWith("--max-record-bytes=10")).empty());
  Arguments Same = completeWithout("http-listen");
  Same.emplace_back("--http-listen=127.0.0.1:7000");
  EXPECT_FALSE(errorOf(Same).empty());
}

TEST(ProcessSettings, IngressOnlyNeedsNoBackendServer) {
  Arguments Given = completeWithout("backend");
  std::erase(Given, "--service=/tsukushi/deposits");
  EXPECT_EQ(errorOf(Given), "");
}

TEST(ProcessSettings, HelpShowsDefaultsAndBounds) {
  auto Result = readProcessSettings({"--help"}, {});
  ASSERT_TRUE(std::holds_alternative<HelpRequested>(Result));
  const std::string &Text = std::get<HelpRequested>(Result).Text;
  EXPECT_TRUE(contains(Text, "--drain-limit"));
  EXPECT_TRUE(contains(Text, "1..100000"));
  EXPECT_TRUE(contains(Text, "default 30s"));
}
