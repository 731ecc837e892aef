// FuzzTargets.cpp - The decoders of bytes that others write, as fuzz targets.

#include "FuzzTargets.h"

#include "Endpoint.h"
#include "HeaderFields.h"
#include "JsonRecordDecoder.h"
#include "JsonReportCodec.h"
#include "PeerCodec.h"
#include "Settings.h"
#include "StoreClient.h"
#include "TopicPacking.h"

#include "figsail/DurationLimits.h"
#include "figsail/LogRecords.h"
#include "figsail/ReplicatedState.h"

#include <algorithm>
#include <array>
#include <cstdlib>

namespace figsail::fuzz {

static void require(bool Promise) {
  if (!Promise)
    std::abort();
}

/// Splits the input at the first line feed: a key, and the rest.
static std::pair<std::string, std::string> splitKey(std::string_view Input) {
  std::size_t End = std::min(Input.find('\n'), Input.size());
  return {std::string(Input.substr(0, End)),
          std::string(Input.substr(std::min(End + 1, Input.size())))};
}

static void decodeMember(std::string_view Input) {
  auto [Key, Value] = splitKey(Input);
  TopicContent Content = platform::JsonRecordDecoder().decode(
      Topic::Members, KeyedRecord{Key, Value, 1});
  const auto *Announced = std::get_if<Announcement>(&Content);
  if (!Announced)
    return;
  require(Announced->Host == Key && isConnectable(Key));
  require(Announced->Order.Generation <= MaxGeneration);
  // What is decoded can be told to others.
  auto Again = decodeAnnouncement(encodeAnnouncement(*Announced));
  require(Again && Again->Order == Announced->Order);
}

static void decodeOperator(std::string_view Input) {
  auto [Key, Value] = splitKey(Input);
  TopicContent Content = platform::JsonRecordDecoder().decode(
      Topic::Operator, KeyedRecord{Key, Value, 1});
  const auto *Config = std::get_if<ConfigPtr>(&Content);
  if (!Config)
    return;
  if (RoutePtr Route = (*Config)->findRoute("a.example", "/x/1"))
    require(Route->Timeout >= Duration(0) && Route->Timeout <= MaxDuration);
  // The names of workspaces are sent as values of header fields.
  if (WorkspacePtr Client = (*Config)->findWorkspace(*digestOfKey("k1")))
    require(!Client->Name.empty() &&
            Client->Name.find_first_of("\r\n") == std::string::npos);
}

static void decodeStorePages(std::string_view Input) {
  std::string Text(Input);
  if (auto Page = platform::decodeNewestPage(Text))
    require(!Page->More || !Page->LastKey.empty());
  if (auto Page = platform::decodeReadPage(7, Text))
    require(Page->Next == 7 + static_cast<Offset>(Page->Records.size()));
}

static void decodeReport(std::string_view Input) {
  platform::JsonReportCodec Codec;
  Report Read = Codec.decode("PUT", "/v1/instances/i-1", Input);
  if (const auto *Heartbeat = std::get_if<ServerHeartbeat>(&Read))
    require(isConnectable(Heartbeat->Address) && Heartbeat->StartMillis >= 0);
  Codec.decode("DELETE", "/v1/instances/i-1", Input);
}

static void decodeSettings(std::string_view Input) {
  auto Read = platform::parseSettings(std::string(Input));
  const auto *Valid = std::get_if<SidecarConfiguration>(&Read);
  if (Valid)
    require(Valid->Settings.Bounds.HeartbeatInterval > Duration(0));
}

static void decodePeerMessage(std::string_view Input) {
  decodeMessage(Input);
  decodeHello(Input);
  PackedUpdate Packed;
  Packed.Size = Input.size() * 4;
  Packed.Digest = 1;
  Packed.Bytes = std::string(Input);
  unpackUpdate(Packed, ValueBases());
}

static void decodeServerFields(std::string_view Input) {
  auto [Name, Value] = splitKey(Input);
  HttpResponse Response;
  Response.Headers = {{Name, Value}};
  platform::HeaderFields Fields("desk");
  ResponseMetadata Read = Fields.readMetadata(Response);
  require(!Read.Terms.RateLimit || *Read.Terms.RateLimit >= 0);
  ProbeDone Probe;
  Probe.Headers = Response.Headers;
  Fields.readProbe(Probe);
}

static void decodeLogRecord(std::string_view Input) {
  decodeRecord(Input);
  ReplicatedState State;
  State.applyRecord(TimePoint(), LogRecord{0, std::string(Input)});
  State.restore(TimePoint(), 5, std::string(Input));
}

static constexpr std::array<FuzzTarget, 8> Targets{{
    {"member", decodeMember},
    {"operator", decodeOperator},
    {"store-pages", decodeStorePages},
    {"report", decodeReport},
    {"settings", decodeSettings},
    {"peer-message", decodePeerMessage},
    {"server-fields", decodeServerFields},
    {"log-record", decodeLogRecord},
}};

std::span<const FuzzTarget> fuzzTargets() { return Targets; }

const FuzzTarget *findFuzzTarget(std::string_view Name) {
  auto Found = std::ranges::find(Targets, Name, &FuzzTarget::Name);
  return Found == Targets.end() ? nullptr : &*Found;
}

} // namespace figsail::fuzz
