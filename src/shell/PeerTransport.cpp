// PeerTransport.cpp - Transport of peer messages between daemons over TCP
// links.

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
using LinkPtr = std::shared_ptr<PeerLink>;
using Phase = PeerLink::Phase;

/// Delay until the next accept after a failed one. Without it the event loop
/// would spin while the process has no free file descriptor.
static constexpr std::chrono::milliseconds AcceptRetryDelay{100};

/// Time between two notifications of a host that unfinished messages arrive
/// from. A fraction of the time after which a silent host is suspected.
static constexpr std::chrono::milliseconds ReceivingInterval{50};

namespace {

/// All links to one host.
struct HostLinks {
  std::vector<LinkPtr> Links;
  LinkPtr LastReceivedOn; ///< Delivered the last Hello or message; null once
                          ///< it is closed.
  std::chrono::steady_clock::time_point LastReceivingAt{}; ///< Notified.
};

} // namespace

/// State of the transport. Pending handlers share it, so it may outlive the
/// PeerTransport.
struct PeerTransport::Implementation
    : public LinkOwner,
      public std::enable_shared_from_this<Implementation> {
  Implementation(asio::io_context &Loop, PeerHandler &Handler, PeerRef Self,
                 LamportClock &Clock, PeerSettings Settings)
      : Context(std::make_shared<LinkContext>(LinkContext{
            Loop, std::move(Self), Clock, std::move(Settings), this})),
        Handler(Handler), Acceptor(Loop), AcceptTimer(Loop), IdleTimer(Loop),
        PacerTimer(Loop) {
    Context->Pacer.setTimer([this](TimePoint Due) { armPacerTimer(Due); });
  }

  void linkOpened(const LinkPtr &Link) override;
  void linkReceived(const LinkPtr &Link, PeerMessage Message) override;
  void linkReceiving(const LinkPtr &Link) override;
  void linkClosingByPeer(const LinkPtr &Link,
                         std::vector<PeerMessage> Queued) override;
  void linkClosed(const LinkPtr &Link, LinkCloseReason Reason,
                  std::vector<PeerMessage> Unsent) override;

  std::optional<std::string> listen(const std::string &Address);
  void acceptNext();
  void scheduleAccept();
  void startIdleTimer();
  void closeIdleLinks();
  void armPacerTimer(TimePoint Due);
  void send(const HostId &Host, PeerMessage Message);
  void deliverLocally(PeerMessage Message);
  void reportInvalidAddress(const HostId &Host, PeerMessage Message);
  LinkPtr findOrOpenLink(const HostId &Host);
  LinkPtr openLink(const HostId &Host, const tcp::endpoint &Address);
  void closeOldIncarnations(const LinkPtr &Newest);
  void reset(const HostId &Host);
  void resetAll();
  void stop();

  std::shared_ptr<LinkContext> Context;
  PeerHandler &Handler;
  tcp::acceptor Acceptor;
  asio::steady_timer AcceptTimer;
  asio::steady_timer IdleTimer;
  asio::steady_timer PacerTimer;
  std::set<LinkPtr> Links; ///< All links that have not reported their close.
  std::unordered_map<HostId, HostLinks> Hosts;
  std::uint64_t ResetCount = 0; ///< Number of calls of resetAll().
};

// Notifications of links.

void PeerTransport::Implementation::linkOpened(const LinkPtr &Link) {
  closeOldIncarnations(Link);
  HostLinks &Entry = Hosts[Link->peer().Host];
  if (std::ranges::find(Entry.Links, Link) == Entry.Links.end())
    Entry.Links.push_back(Link);
  Entry.LastReceivedOn = Link;
  Handler.peerConnected({Link->peer()});
}

/// Closes the links to other incarnations of the host. A host runs one daemon
/// at a time, so they belong to a process that ended before the newest Hello.
void PeerTransport::Implementation::closeOldIncarnations(
    const LinkPtr &Newest) {
  auto Found = Hosts.find(Newest->peer().Host);
  if (Found == Hosts.end())
    return;
  for (const LinkPtr &Link : Found->second.Links) {
    Incarnation Other = Link->peer().Inc;
    if (Other != 0 && Other != Newest->peer().Inc)
      Link->closeNow(LinkCloseReason::Broken);
  }
}

void PeerTransport::Implementation::linkReceived(const LinkPtr &Link,
                                                 PeerMessage Message) {
  HostLinks &Entry = Hosts[Link->peer().Host];
  Entry.LastReceivedOn = Link;
  if (const auto *Cancelled = std::get_if<Cancel>(&Message))
    for (const LinkPtr &Each : Entry.Links)
      Each->dropAnswer(Cancelled->Call);
  Handler.peerReceived({Link->peer(), std::move(Message)});
}

void PeerTransport::Implementation::linkReceiving(const LinkPtr &Link) {
  HostLinks &Entry = Hosts[Link->peer().Host];
  auto Now = std::chrono::steady_clock::now();
  if (Now < Entry.LastReceivingAt + ReceivingInterval)
    return;
  Entry.LastReceivingAt = Now;
  Handler.peerReceiving({Link->peer()});
}

void PeerTransport::Implementation::linkClosingByPeer(
    const LinkPtr &Link, std::vector<PeerMessage> Queued) {
  for (PeerMessage &Message : Queued)
    send(Link->peer().Host, std::move(Message));
}

void PeerTransport::Implementation::linkClosed(
    const LinkPtr &Link, LinkCloseReason Reason,
    std::vector<PeerMessage> Unsent) {
  Links.erase(Link);
  const HostId Host = Link->peer().Host;
  if (Host.empty())
    return;
  auto Found = Hosts.find(Host);
  if (Found != Hosts.end()) {
    std::erase(Found->second.Links, Link);
    if (Found->second.LastReceivedOn == Link)
      Found->second.LastReceivedOn = nullptr;
    if (Found->second.Links.empty())
      Hosts.erase(Found);
  }
  if (Reason == LinkCloseReason::Orderly) {
    for (PeerMessage &Message : Unsent)
      send(Host, std::move(Message));
    return;
  }
  if (Reason == LinkCloseReason::Reset && Unsent.empty())
    return;
  Handler.peerLost({Host, std::move(Unsent)});
}

// Listening.

std::optional<std::string>
PeerTransport::Implementation::listen(const std::string &Address) {
  std::optional<tcp::endpoint> Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    return "\"" + Address + "\" is not an address of the form ip:port";
  try {
    Acceptor.open(Endpoint->protocol());
    Acceptor.set_option(tcp::acceptor::reuse_address(true));
    Acceptor.bind(*Endpoint);
    Acceptor.listen();
  } catch (const boost::system::system_error &Error) {
    return "cannot listen on " + Address + ": " + Error.code().message();
  }
  acceptNext();
  return std::nullopt;
}

void PeerTransport::Implementation::acceptNext() {
  Acceptor.async_accept([Self = shared_from_this()](const error_code &Error,
                                                    tcp::socket Socket) {
    if (!Self->Context->Owner)
      return;
    if (Error)
      return Self->scheduleAccept();
    auto Link = std::make_shared<PeerLink>(Self->Context, std::move(Socket));
    Self->Links.insert(Link);
    Link->startAccepted();
    Self->acceptNext();
  });
}

void PeerTransport::Implementation::scheduleAccept() {
  AcceptTimer.expires_after(AcceptRetryDelay);
  AcceptTimer.async_wait([Self = shared_from_this()](const error_code &Error) {
    if (!Error && Self->Acceptor.is_open())
      Self->acceptNext();
  });
}

void PeerTransport::Implementation::startIdleTimer() {
  IdleTimer.expires_after(Context->Settings.IdleTimeout / 4);
  IdleTimer.async_wait([Self = shared_from_this()](const error_code &Error) {
    if (Error || !Self->Context->Owner)
      return;
    Self->closeIdleLinks();
    Self->startIdleTimer();
  });
}

void PeerTransport::Implementation::closeIdleLinks() {
  auto Limit = std::chrono::steady_clock::now() - Context->Settings.IdleTimeout;
  for (const LinkPtr &Link : Links) {
    if (Link->lastUsed() > Limit)
      continue;
    // An announced close has not completed within the idle timeout. When this
    // daemon announced it, none of its messages is in flight. When the peer
    // did, a write was unfinished and its messages may be lost.
    if (Link->phase() == Phase::Closing)
      Link->closeNow(LinkCloseReason::Orderly);
    else if (Link->phase() == Phase::PeerClosing)
      Link->closeNow(LinkCloseReason::Broken);
    else
      Link->close();
  }
}

/// Lets the links that wait for the pacer write. A later call replaces the
/// time, since the pacer has only one.
void PeerTransport::Implementation::armPacerTimer(TimePoint Due) {
  PacerTimer.expires_at(Due);
  PacerTimer.async_wait([Self = shared_from_this()](const error_code &Error) {
    if (!Error && Self->Context->Owner)
      Self->Context->Pacer.resume(std::chrono::time_point_cast<Duration>(
          std::chrono::steady_clock::now()));
  });
}

// Sending.

void PeerTransport::Implementation::send(const HostId &Host,
                                         PeerMessage Message) {
  if (Host == Context->Self.Host)
    return deliverLocally(std::move(Message));
  LinkPtr Link = findOrOpenLink(Host);
  if (!Link)
    return reportInvalidAddress(Host, std::move(Message));
  Link->send(std::move(Message));
}

void PeerTransport::Implementation::deliverLocally(PeerMessage Message) {
  asio::post(Context->Loop, [Self = shared_from_this(),
                             CountAtSend = ResetCount,
                             Message = std::move(Message)]() mutable {
    if (Self->Context->Owner && CountAtSend == Self->ResetCount)
      Self->Handler.peerReceived({Self->Context->Self, std::move(Message)});
  });
}

void PeerTransport::Implementation::reportInvalidAddress(const HostId &Host,
                                                         PeerMessage Message) {
  logWarning("peer", "cannot send to peer \"" + Host +
                         "\": not an address of the form ip:port");
  asio::post(Context->Loop, [Self = shared_from_this(), Host,
                             Message = std::move(Message)]() mutable {
    PeerLost Lost{Host, {}};
    Lost.Unsent.push_back(std::move(Message));
    if (Self->Context->Owner)
      Self->Handler.peerLost(std::move(Lost));
  });
}

/// Returns, in this order of preference: the link on which the host's last
/// message arrived, another open one, one that is being opened, or a new one.
/// Returns null when the host id is not a valid address.
LinkPtr PeerTransport::Implementation::findOrOpenLink(const HostId &Host) {
  auto Found = Hosts.find(Host);
  if (Found != Hosts.end()) {
    const HostLinks &Entry = Found->second;
    if (Entry.LastReceivedOn && Entry.LastReceivedOn->phase() == Phase::Open)
      return Entry.LastReceivedOn;
    auto FindByPhase = [&](Phase Low, Phase High) {
      auto Match = std::ranges::find_if(Entry.Links, [&](const LinkPtr &Link) {
        return Link->phase() >= Low && Link->phase() <= High;
      });
      return Match == Entry.Links.end() ? nullptr : *Match;
    };
    if (LinkPtr Open = FindByPhase(Phase::Open, Phase::Open))
      return Open;
    if (LinkPtr Opening = FindByPhase(Phase::Connecting, Phase::AwaitingHello))
      return Opening;
  }
  std::optional<tcp::endpoint> Address = parseEndpoint(Host);
  return Address ? openLink(Host, *Address) : nullptr;
}

LinkPtr PeerTransport::Implementation::openLink(const HostId &Host,
                                                const tcp::endpoint &Address) {
  auto Link = std::make_shared<PeerLink>(Context, tcp::socket(Context->Loop));
  Links.insert(Link);
  Hosts[Host].Links.push_back(Link);
  Link->connect(Host, Address);
  return Link;
}

void PeerTransport::Implementation::reset(const HostId &Host) {
  auto Found = Hosts.find(Host);
  if (Found == Hosts.end())
    return;
  for (const LinkPtr &Link : Found->second.Links)
    Link->closeNow(LinkCloseReason::Reset);
}

void PeerTransport::Implementation::resetAll() {
  ++ResetCount;
  std::vector<LinkPtr> Open(Links.begin(), Links.end());
  for (const LinkPtr &Link : Open)
    Link->closeNow(LinkCloseReason::Reset);
}

void PeerTransport::Implementation::stop() {
  Context->Owner = nullptr;
  error_code Ignored;
  Acceptor.close(Ignored);
  AcceptTimer.cancel();
  IdleTimer.cancel();
  PacerTimer.cancel();
  Context->Pacer.setTimer(nullptr);
  for (const LinkPtr &Link : Links)
    Link->closeNow(LinkCloseReason::Reset);
  Links.clear();
  Hosts.clear();
}

// Public interface.

PeerTransport::PeerTransport(asio::io_context &Context, PeerHandler &Handler,
                             PeerRef Self, LamportClock &Clock,
                             PeerSettings Settings)
    : Impl(std::make_shared<Implementation>(Context, Handler, std::move(Self),
                                            Clock, std::move(Settings))) {
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
  for (const LinkPtr &Link : Impl->Links)
    Link->close();
}

std::uint64_t PeerTransport::bytesSent() const {
  return Impl->Context->BytesSent;
}

std::vector<CrossRegionTraffic> PeerTransport::crossRegionTraffic() const {
  std::vector<CrossRegionTraffic> Sent;
  for (const CrossRegionTraffic &Counters : Impl->Context->Traffic)
    if (Counters.Count > 0)
      Sent.push_back(Counters);
  return Sent;
}

std::uint64_t PeerTransport::bytesReceived() const {
  return Impl->Context->BytesReceived;
}

std::size_t PeerTransport::linkCount() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Impl->Links, [](const LinkPtr &Link) {
        return Link->phase() != Phase::Closed;
      }));
}

} // namespace figsail
