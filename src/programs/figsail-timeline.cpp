// figsail-timeline.cpp - Tool that prints the merged timeline of all daemons.

#include "../shell/Endpoint.h"
#include "../shell/TimelineMerge.h"

#include <boost/program_options.hpp>
#include <iostream>
#include <set>

using namespace figsail;
namespace po = boost::program_options;

/// Largest number of requests in flight. Bounds open connections and memory.
static constexpr std::size_t MaxInFlight = 64;
static constexpr std::chrono::seconds CallTimeout{5};

namespace {

/// Collector of timelines. It gets the list of members from one daemon and then
/// the timeline of each member.
class Collector {
public:
  explicit Collector(std::string FirstAddress)
      : FirstAddress(std::move(FirstAddress)) {}

  /// Collects and sorts all events. Prints an error for each daemon whose
  /// timeline is missing, and returns whether there was none.
  bool collect();
  std::vector<MergedEvent> &events() { return Events; }

private:
  void handleMembers(const OperatorResult &Result);
  void fetchNext();
  void handleTimeline(const std::string &Address, const OperatorResult &Result);
  void recordFailure(const std::string &Address, const std::string &Reason);

  boost::asio::io_context Context{1};
  std::string FirstAddress;
  std::set<std::string> PendingAddresses; ///< Operator addresses to fetch from.
  std::vector<MergedEvent> Events;
  std::size_t Failures = 0;
};

} // namespace

bool Collector::collect() {
  callOperator(Context, FirstAddress, "members", {}, CallTimeout,
               [this](const OperatorResult &Result) { handleMembers(Result); });
  Context.run();
  sortTimeline(Events);
  return Failures == 0;
}

void Collector::handleMembers(const OperatorResult &Result) {
  if (const auto *Error = std::get_if<OperatorError>(&Result))
    return recordFailure(FirstAddress, Error->Text);
  // The daemon may be absent from its own list of members.
  PendingAddresses.insert(FirstAddress);
  for (const Json::Value &Member : std::get<Json::Value>(Result))
    PendingAddresses.insert(Member["operator"].asString());
  for (std::size_t I = 0; I < MaxInFlight; ++I)
    fetchNext();
}

void Collector::fetchNext() {
  if (PendingAddresses.empty())
    return;
  std::string Address = *PendingAddresses.begin();
  PendingAddresses.erase(PendingAddresses.begin());
  Json::Value Parameters(Json::objectValue);
  Parameters["since"] = 0;
  callOperator(Context, Address, "timeline", Parameters, CallTimeout,
               [this, Address](const OperatorResult &Result) {
                 handleTimeline(Address, Result);
               });
}

void Collector::handleTimeline(const std::string &Address,
                               const OperatorResult &Result) {
  if (const auto *Error = std::get_if<OperatorError>(&Result))
    recordFailure(Address, Error->Text);
  else if (!appendTimeline(std::get<Json::Value>(Result), Events))
    recordFailure(Address,
                  "the result of the method \"timeline\" is malformed");
  fetchNext();
}

void Collector::recordFailure(const std::string &Address,
                              const std::string &Reason) {
  ++Failures;
  std::cerr << "figsail-timeline: cannot get the timeline of " << Address
            << ": " << Reason << "\n";
}

static int run(const std::string &Address, bool Json) {
  Collector Source(Address);
  bool Complete = Source.collect();
  for (const MergedEvent &Event : Source.events())
    std::cout << (Json ? timelineJsonLine(Event) : timelineText(Event)) << "\n";
  return Complete ? 0 : 1;
}

int main(int Argc, char **Argv) {
  std::string Address;
  po::options_description Options(
      "figsail-timeline: events of all daemons, by Lamport counter, then "
      "host.\n"
      "Exit status 1: the timeline of a daemon is missing");
  Options.add_options()("help", "print this text")(
      "operator", po::value(&Address),
      "operator address ip:port of any daemon; may be given without the flag")(
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
      throw po::error("an operator address of the form ip:port is required");
    return run(Address, Values.contains("json"));
  } catch (const std::exception &Error) {
    std::cerr << "figsail-timeline: " << Error.what() << "\n";
    return 2;
  }
}
