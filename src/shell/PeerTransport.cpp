// PeerTransport.cpp - All peer links of one daemon.

#include "PeerTransport.h"

#include "Endpoint.h"
#include "Logging.h"
#include "PeerLink.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <set>
#include <unordered_map>

namespace figsail {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using LinkRef = std::shared_ptr<PeerLink>;
using Phase = PeerLink::Phase;

/// Time until the next accept after one failed, as when no file descriptor is
/// left; without it the loop would spin.
static constexpr std::chrono::milliseconds AcceptPause{100};

namespace {

/// Links whose peer host is known.
struct HostLinks {
  std::vector<LinkRef> Links;
  LinkRef LastHeard; ///< Null when that link has ended.
};

} // namespace

struct PeerTransport::State : public LinkOwner,
                              public std::enable_shared_from_this<State> {
  State(asio::io_context &Loop, PeerHandler &Handler, PeerRef Self,
        LamportClock &Clock, PeerSettings Settings)
      : Common(std::make_shared<LinkContext>(LinkContext{
            Loop, std::move(Self), Clock, std::move(Settings), this})),
        Handler(Handler), Acceptor(Loop), AcceptTimer(Loop), IdleTimer(Loop) {}

  void linkOpened(const LinkRef &Link) override;
  void linkReceived(const LinkRef &Link, PeerMessage Message) override;
  void linkClosing(const LinkRef &Link,
                   std::vector<PeerMessage> Queued) override;
  void linkEnded(const LinkRef &Link, LinkEnd Why,
                 std::vector<PeerMessage> Unsent) override;

  std::optional<std::string> listen(const std::string &Address);
  void acceptNext();
  void acceptLater();
  void startIdleTimer();
  void closeIdle();
  void send(const HostId &Host, PeerMessage Message);
  void deliverLocally(PeerMessage Message);
  void reportUnreachable(const HostId &Host, PeerMessage Message);
  LinkRef linkTo(const HostId &Host);
  LinkRef openLink(const HostId &Host, const tcp::endpoint &Address);
  void breakOldIncarnations(const LinkRef &Newest);
  void reset(const HostId &Host);
  void resetAll();
  void stop();

  std::shared_ptr<LinkContext> Common;
  PeerHandler &Handler;
  tcp::acceptor Acceptor;
  asio::steady_timer AcceptTimer;
  asio::steady_timer IdleTimer;
  std::set<LinkRef> Links; ///< All that have not reported their end.
  std::unordered_map<HostId, HostLinks> Hosts;
  std::uint64_t LocalResets = 0; ///< Counts calls of resetAll().
};

// Events of links.

void PeerTransport::State::linkOpened(const LinkRef &Link) {
  breakOldIncarnations(Link);
  HostLinks &Entry = Hosts[Link->peer().Host];
  if (std::ranges::find(Entry.Links, Link) == Entry.Links.end())
    Entry.Links.push_back(Link);
  Entry.LastHeard = Link;
  Handler.peerConnected({Link->peer()});
}

/// A host runs one daemon at a time, so links of another incarnation than that
/// of the latest Hello belong to a process that has ended.
void PeerTransport::State::breakOldIncarnations(const LinkRef &Newest) {
  auto Found = Hosts.find(Newest->peer().Host);
  if (Found == Hosts.end())
    return;
  for (const LinkRef &Link : Found->second.Links) {
    Incarnation Other = Link->peer().Inc;
    if (Other != 0 && Other != Newest->peer().Inc)
      Link->end(LinkEnd::Broken);
  }
}

void PeerTransport::State::linkReceived(const LinkRef &Link,
                                        PeerMessage Message) {
  Hosts[Link->peer().Host].LastHeard = Link;
  Handler.peerReceived({Link->peer(), std::move(Message)});
}

void PeerTransport::State::linkClosing(const LinkRef &Link,
                                       std::vector<PeerMessage> Queued) {
  for (PeerMessage &Message : Queued)
    send(Link->peer().Host, std::move(Message));
}

void PeerTransport::State::linkEnded(const LinkRef &Link, LinkEnd Why,
                                     std::vector<PeerMessage> Unsent) {
  Links.erase(Link);
  const HostId Host = Link->peer().Host;
  if (Host.empty())
    return;
  auto Found = Hosts.find(Host);
  if (Found != Hosts.end()) {
    std::erase(Found->second.Links, Link);
    if (Found->second.LastHeard == Link)
      Found->second.LastHeard = nullptr;
    if (Found->second.Links.empty())
      Hosts.erase(Found);
  }
  if (Why == LinkEnd::Orderly) {
    for (PeerMessage &Message : Unsent)
      send(Host, std::move(Message));
    return;
  }
  if (Why == LinkEnd::Reset && Unsent.empty())
    return;
  Handler.peerLost({Host, std::move(Unsent)});
}

// Listening.

std::optional<std::string>
PeerTransport::State::listen(const std::string &Address) {
  std::optional<tcp::endpoint> Where = parseEndpoint(Address);
  if (!Where)
    return "\"" + Address + "\" is not an address ip:port";
  try {
    Acceptor.open(Where->protocol());
    Acceptor.set_option(tcp::acceptor::reuse_address(true));
    Acceptor.bind(*Where);
    Acceptor.listen();
  } catch (const boost::system::system_error &Error) {
    return "cannot listen on " + Address + ": " + Error.code().message();
  }
  acceptNext();
  return std::nullopt;
}

void PeerTransport::State::acceptNext() {
  Acceptor.async_accept(
      [Self = shared_from_this()](const error_code &Error, tcp::socket Socket) {
        if (!Self->Common->Owner)
          return;
        if (Error)
          return Self->acceptLater();
        auto Link = std::make_shared<PeerLink>(Self->Common, std::move(Socket));
        Self->Links.insert(Link);
        Link->accepted();
        Self->acceptNext();
      });
}

void PeerTransport::State::acceptLater() {
  AcceptTimer.expires_after(AcceptPause);
  AcceptTimer.async_wait([Self = shared_from_this()](const error_code &Error) {
    if (!Error && Self->Acceptor.is_open())
      Self->acceptNext();
  });
}

void PeerTransport::State::startIdleTimer() {
  IdleTimer.expires_after(Common->Settings.IdleTimeout / 4);
  IdleTimer.async_wait([Self = shared_from_this()](const error_code &Error) {
    if (Error || !Self->Common->Owner)
      return;
    Self->closeIdle();
    Self->startIdleTimer();
  });
}

void PeerTransport::State::closeIdle() {
  auto Limit = std::chrono::steady_clock::now() - Common->Settings.IdleTimeout;
  for (const LinkRef &Link : Links) {
    if (Link->lastUsed() > Limit)
      continue;
    // An announced close that has not come to its end for a whole idle time:
    // nothing of ours is under way in the first case, a message in the second.
    if (Link->phase() == Phase::Closing)
      Link->end(LinkEnd::Orderly);
    else if (Link->phase() == Phase::PeerClosing)
      Link->end(LinkEnd::Broken);
    else
      Link->close();
  }
}

// Sending.

void PeerTransport::State::send(const HostId &Host, PeerMessage Message) {
  if (Host == Common->Self.Host)
    return deliverLocally(std::move(Message));
  LinkRef Link = linkTo(Host);
  if (!Link)
    return reportUnreachable(Host, std::move(Message));
  Link->send(std::move(Message));
}

void PeerTransport::State::deliverLocally(PeerMessage Message) {
  asio::post(Common->Loop, [Self = shared_from_this(), Sent = LocalResets,
                            Message = std::move(Message)]() mutable {
    if (Self->Common->Owner && Sent == Self->LocalResets)
      Self->Handler.peerReceived({Self->Common->Self, std::move(Message)});
  });
}

void PeerTransport::State::reportUnreachable(const HostId &Host,
                                             PeerMessage Message) {
  logWarning("peer", "\"" + Host + "\" is not an address ip:port");
  asio::post(Common->Loop, [Self = shared_from_this(), Host,
                            Message = std::move(Message)]() mutable {
    PeerLost Lost{Host, {}};
    Lost.Unsent.push_back(std::move(Message));
    if (Self->Common->Owner)
      Self->Handler.peerLost(std::move(Lost));
  });
}

/// Returns the link on which the host was heard last, another open one, one
/// that is being opened, or a new one. Null when the host has no valid address.
LinkRef PeerTransport::State::linkTo(const HostId &Host) {
  auto Found = Hosts.find(Host);
  if (Found != Hosts.end()) {
    const HostLinks &Entry = Found->second;
    if (Entry.LastHeard && Entry.LastHeard->phase() == Phase::Open)
      return Entry.LastHeard;
    auto HasPhase = [&](Phase Low, Phase High) {
      auto Match = std::ranges::find_if(Entry.Links, [&](const LinkRef &Link) {
        return Link->phase() >= Low && Link->phase() <= High;
      });
      return Match == Entry.Links.end() ? nullptr : *Match;
    };
    if (LinkRef Open = HasPhase(Phase::Open, Phase::Open))
      return Open;
    if (LinkRef Opening = HasPhase(Phase::Connecting, Phase::Greeting))
      return Opening;
  }
  std::optional<tcp::endpoint> Address = parseEndpoint(Host);
  return Address ? openLink(Host, *Address) : nullptr;
}

LinkRef PeerTransport::State::openLink(const HostId &Host,
                                       const tcp::endpoint &Address) {
  auto Link = std::make_shared<PeerLink>(Common, tcp::socket(Common->Loop));
  Links.insert(Link);
  Hosts[Host].Links.push_back(Link);
  Link->connect(Host, Address);
  return Link;
}

void PeerTransport::State::reset(const HostId &Host) {
  auto Found = Hosts.find(Host);
  if (Found == Hosts.end())
    return;
  for (const LinkRef &Link : Found->second.Links)
    Link->end(LinkEnd::Reset);
}

void PeerTransport::State::resetAll() {
  ++LocalResets;
  std::vector<LinkRef> Open(Links.begin(), Links.end());
  for (const LinkRef &Link : Open)
    Link->end(LinkEnd::Reset);
}

void PeerTransport::State::stop() {
  Common->Owner = nullptr;
  error_code Ignored;
  Acceptor.close(Ignored);
  AcceptTimer.cancel();
  IdleTimer.cancel();
  for (const LinkRef &Link : Links)
    Link->end(LinkEnd::Reset);
  Links.clear();
  Hosts.clear();
}

// Public interface.

PeerTransport::PeerTransport(asio::io_context &Context, PeerHandler &Handler,
                             PeerRef Self, LamportClock &Clock,
                             PeerSettings Settings)
    : Impl(std::make_shared<State>(Context, Handler, std::move(Self), Clock,
                                   std::move(Settings))) {
  Impl->startIdleTimer();
}

PeerTransport::~PeerTransport() { Impl->stop(); }

std::optional<std::string> PeerTransport::listen(const std::string &Address) {
  return Impl->listen(Address);
}

void PeerTransport::send(const HostId &Host, PeerMessage Message) {
  Impl->send(Host, std::move(Message));
}

void PeerTransport::reset(const HostId &Host) { Impl->reset(Host); }

void PeerTransport::resetAll() { Impl->resetAll(); }

void PeerTransport::close() {
  error_code Ignored;
  Impl->Acceptor.close(Ignored);
  for (const LinkRef &Link : Impl->Links)
    Link->close();
}

std::uint64_t PeerTransport::bytesSent() const {
  return Impl->Common->BytesSent;
}

std::vector<RegionTraffic> PeerTransport::regionTraffic() const {
  std::vector<RegionTraffic> Sent;
  for (const RegionTraffic &Sum : Impl->Common->Traffic)
    if (Sum.Count > 0)
      Sent.push_back(Sum);
  return Sent;
}

std::uint64_t PeerTransport::bytesReceived() const {
  return Impl->Common->BytesReceived;
}

std::size_t PeerTransport::linkCount() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Impl->Links, [](const LinkRef &Link) {
        return Link->phase() != Phase::Ended;
      }));
}

} // namespace figsail
