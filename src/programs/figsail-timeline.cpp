// figsail-timeline.cpp - Prints one time line of all daemons.

#include "../shell/Endpoint.h"
#include "../shell/TimelineMerge.h"

#include <boost/program_options.hpp>
#include <iostream>
#include <set>

using namespace figsail;
namespace po = boost::program_options;

/// Daemons asked at the same time. Bounds open connections and memory.
static constexpr std::size_t MaxUnderWay = 64;
static constexpr std::chrono::seconds CallTimeout{5};

namespace {

/// Finds all members through one daemon and fetches their time lines.
class Collector {
public:
  explicit Collector(std::string Start) : Start(std::move(Start)) {}

  /// Returns whether every daemon has answered. Prints those that have not.
  bool collect();
  std::vector<MergedEvent> &events() { return Events; }

private:
  void membersArrived(const OperatorResult &Result);
  void fetchNext();
  void fetched(const std::string &Address, const OperatorResult &Result);
  void fail(const std::string &Address, const std::string &Reason);

  boost::asio::io_context Context{1};
  std::string Start;
  std::set<std::string> Waiting; ///< Operator addresses not asked yet.
  std::vector<MergedEvent> Events;
  std::size_t Failures = 0;
};

} // namespace

bool Collector::collect() {
  callOperator(
      Context, Start, "members", {}, CallTimeout,
      [this](const OperatorResult &Result) { membersArrived(Result); });
  Context.run();
  sortTimeline(Events);
  return Failures == 0;
}

void Collector::membersArrived(const OperatorResult &Result) {
  if (const auto *Error = std::get_if<OperatorError>(&Result))
    return fail(Start, Error->Text);
  // The daemon itself may not be listed.
  Waiting.insert(Start);
  for (const Json::Value &Who : std::get<Json::Value>(Result))
    Waiting.insert(Who["operator"].asString());
  for (std::size_t I = 0; I < MaxUnderWay; ++I)
    fetchNext();
}

void Collector::fetchNext() {
  if (Waiting.empty())
    return;
  std::string Address = *Waiting.begin();
  Waiting.erase(Waiting.begin());
  Json::Value Parameters(Json::objectValue);
  Parameters["since"] = 0;
  callOperator(Context, Address, "timeline", Parameters, CallTimeout,
               [this, Address](const OperatorResult &Result) {
                 fetched(Address, Result);
               });
}

void Collector::fetched(const std::string &Address,
                        const OperatorResult &Result) {
  if (const auto *Error = std::get_if<OperatorError>(&Result))
    fail(Address, Error->Text);
  else if (!appendTimeline(std::get<Json::Value>(Result), Events))
    fail(Address, "the time line is malformed");
  fetchNext();
}

void Collector::fail(const std::string &Address, const std::string &Reason) {
  ++Failures;
  std::cerr << "figsail-timeline: no time line of " << Address << ": " << Reason
            << "\n";
}

static int run(const std::string &Address, bool Json) {
  Collector Source(Address);
  bool Whole = Source.collect();
  for (const MergedEvent &Event : Source.events())
    std::cout << (Json ? timelineJsonLine(Event) : timelineText(Event)) << "\n";
  return Whole ? 0 : 1;
}

int main(int Argc, char **Argv) {
  std::string Address;
  po::options_description Options(
      "figsail-timeline: events of all daemons, by Lamport counter, then "
      "host.\n"
      "Exit status 1: the time line of a daemon is missing");
  Options.add_options()("help", "print this text")(
      "operator", po::value(&Address),
      "operator address ip:port of any daemon; also without the flag")(
      "json", "print JSON lines");
  po::positional_options_description Positions;
  Positions.add("operator", 1);
  try {
    po::variables_map Values;
    po::store(po::command_line_parser(Argc, Argv)
                  .options(Options)
                  .positional(Positions)
                  .run(),
              Values);
    po::notify(Values);
    if (Values.contains("help")) {
      std::cout << Options;
      return 0;
    }
    if (!parseEndpoint(Address))
      throw po::error("an operator address ip:port is needed");
    return run(Address, Values.contains("json"));
  } catch (const std::exception &Error) {
    std::cerr << "figsail-timeline: " << Error.what() << "\n";
    return 2;
  }
}
