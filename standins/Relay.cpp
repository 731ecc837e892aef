// Relay.cpp - TCP relay that can play a slow link.

#include "Relay.h"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <vector>

namespace figsail {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

static constexpr std::size_t BufferBytes = std::size_t{64} * 1024;

// A limited link carries pieces of a hundredth of a second, so that its
// connections take turns.
static constexpr std::uint64_t PiecesPerSecond = 100;

// Bytes that a direction of a connection has read and not delivered. Beyond
// them it reads nothing, so that a receiver that does not read slows its sender
// down.
static constexpr std::size_t MaxBytesInFlight = std::size_t{16} * 1024 * 1024;

namespace {

/// One direction of the link, shared by all connections.
class LinkDirection {
public:
  explicit LinkDirection(const RelaySettings &Settings) : Settings(Settings) {}

  bool isPlain() const {
    return Settings.BytesPerSecond == 0 && Settings.Delay.count() == 0;
  }
  std::chrono::milliseconds delay() const { return Settings.Delay; }

  /// Returns the largest number of bytes to be read at once.
  std::size_t pieceBytes() const {
    if (Settings.BytesPerSecond == 0)
      return BufferBytes;
    return std::clamp<std::size_t>(Settings.BytesPerSecond / PiecesPerSecond, 1,
                                   BufferBytes);
  }

  /// Occupies the link for a number of bytes. Returns when the last one has
  /// left.
  Clock::time_point send(std::size_t Bytes) {
    FreeAt = std::max(FreeAt, Clock::now());
    if (Settings.BytesPerSecond == 0)
      return FreeAt;
    std::chrono::duration<double> Time(
        static_cast<double>(Bytes) /
        static_cast<double>(Settings.BytesPerSecond));
    // Rounded up, since the link must never be faster than its limit.
    FreeAt += std::chrono::ceil<Clock::duration>(Time);
    return FreeAt;
  }

private:
  RelaySettings Settings;
  Clock::time_point FreeAt; ///< When all bytes so far have left.
};

/// Bytes on their way. No bytes: the end of the direction.
struct Piece {
  std::vector<char> Bytes;
  Clock::time_point DeliverAt;
};

/// One direction of a connection.
struct Flow {
  Flow(tcp::socket &From, tcp::socket &To, LinkDirection &Link)
      : From(From), To(To), Link(Link), ReadTimer(From.get_executor()),
        DeliveryTimer(From.get_executor()) {}

  tcp::socket &From;
  tcp::socket &To;
  LinkDirection &Link;
  asio::steady_timer ReadTimer;     ///< Fires when the link is free.
  asio::steady_timer DeliveryTimer; ///< Fires when the first piece is due.
  std::array<char, BufferBytes> Buffer{};
  std::deque<Piece> InFlight;
  std::size_t BytesInFlight = 0;
  bool Delivering = false;    ///< The first piece is waited for or written.
  bool ReadingPaused = false; ///< Too many bytes are in flight.
};

/// Both directions of the link.
struct Link {
  explicit Link(const RelaySettings &Settings)
      : Requests(Settings), Responses(Settings) {}

  LinkDirection Requests;
  LinkDirection Responses;
};

/// Copies bytes in both directions between two connections. The end of one
/// direction shuts it down at the other side; an error closes both connections.
class RelayConnection : public std::enable_shared_from_this<RelayConnection> {
public:
  RelayConnection(tcp::socket Accepted, std::shared_ptr<Link> Shared)
      : Shared(std::move(Shared)), Client(std::move(Accepted)),
        Server(Client.get_executor()),
        Requests(Client, Server, this->Shared->Requests),
        Responses(Server, Client, this->Shared->Responses) {}

  void start(const tcp::endpoint &To) {
    Server.async_connect(To,
                         [Self = shared_from_this()](const error_code &Error) {
                           if (Error)
                             return Self->close();
                           Self->disableNagle();
                           Self->read(Self->Requests);
                           Self->read(Self->Responses);
                         });
  }

  void close() {
    error_code Ignored;
    Client.close(Ignored);
    Server.close(Ignored);
    for (Flow *Closed : {&Requests, &Responses}) {
      Closed->ReadTimer.cancel();
      Closed->DeliveryTimer.cancel();
    }
  }

private:
  /// Disables Nagle's algorithm, as the daemons do.
  void disableNagle() {
    error_code Ignored;
    Client.set_option(tcp::no_delay(true), Ignored);
    Server.set_option(tcp::no_delay(true), Ignored);
  }

  void read(Flow &Current) {
    Current.From.async_read_some(
        asio::buffer(Current.Buffer, Current.Link.pieceBytes()),
        [this, Self = shared_from_this(), &Current](const error_code &Error,
                                                    std::size_t Count) {
          if (Error && Error != asio::error::eof)
            return close();
          if (Current.Link.isPlain())
            forward(Current, Count);
          else
            sendPiece(Current, Count);
        });
  }

  /// Writes what was read at once. The relay is also the baseline of latency
  /// measurements, so this path has neither timers nor copies.
  void forward(Flow &Current, std::size_t Count) {
    if (Count == 0)
      return shutdownSend(Current.To);
    asio::async_write(Current.To, asio::buffer(Current.Buffer, Count),
                      [this, Self = shared_from_this(),
                       &Current](const error_code &Error, std::size_t) {
                        if (Error)
                          return close();
                        read(Current);
                      });
  }

  /// Puts what was read on the link, and reads on when the link is free.
  void sendPiece(Flow &Current, std::size_t Count) {
    Clock::time_point SentAt = Current.Link.send(Count);
    Piece Sent;
    Sent.Bytes.assign(Current.Buffer.begin(), Current.Buffer.begin() + Count);
    Sent.DeliverAt = SentAt + Current.Link.delay();
    Current.InFlight.push_back(std::move(Sent));
    Current.BytesInFlight += Count;
    awaitDelivery(Current);
    if (Count > 0)
      readAt(Current, SentAt);
  }

  void readAt(Flow &Current, Clock::time_point At) {
    Current.ReadTimer.expires_at(At);
    Current.ReadTimer.async_wait(
        [this, Self = shared_from_this(), &Current](const error_code &Error) {
          if (Error)
            return;
          Current.ReadingPaused = Current.BytesInFlight >= MaxBytesInFlight;
          if (!Current.ReadingPaused)
            read(Current);
        });
  }

  void awaitDelivery(Flow &Current) {
    if (Current.Delivering || Current.InFlight.empty())
      return;
    Current.Delivering = true;
    Current.DeliveryTimer.expires_at(Current.InFlight.front().DeliverAt);
    Current.DeliveryTimer.async_wait(
        [this, Self = shared_from_this(), &Current](const error_code &Error) {
          if (!Error)
            deliver(Current);
        });
  }

  void deliver(Flow &Current) {
    const Piece &Due = Current.InFlight.front();
    if (Due.Bytes.empty())
      return shutdownSend(Current.To);
    asio::async_write(Current.To, asio::buffer(Due.Bytes),
                      [this, Self = shared_from_this(),
                       &Current](const error_code &Error, std::size_t) {
                        if (Error)
                          return close();
                        delivered(Current);
                      });
  }

  void delivered(Flow &Current) {
    Current.BytesInFlight -= Current.InFlight.front().Bytes.size();
    Current.InFlight.pop_front();
    Current.Delivering = false;
    awaitDelivery(Current);
    if (!Current.ReadingPaused || Current.BytesInFlight >= MaxBytesInFlight)
      return;
    Current.ReadingPaused = false;
    read(Current);
  }

  static void shutdownSend(tcp::socket &To) {
    error_code Ignored;
    To.shutdown(tcp::socket::shutdown_send, Ignored);
  }

  std::shared_ptr<Link> Shared;
  tcp::socket Client;
  tcp::socket Server;
  Flow Requests;
  Flow Responses;
};

} // namespace

struct Relay::State : std::enable_shared_from_this<State> {
  State(asio::io_context &Context, const RelaySettings &Settings)
      : Settings(Settings), Shared(std::make_shared<Link>(Settings)),
        Acceptor(Context) {}

  void acceptNext() {
    Acceptor.async_accept([Self = shared_from_this()](const error_code &Error,
                                                      tcp::socket Accepted) {
      if (Error == asio::error::operation_aborted || Self->IsShutDown)
        return;
      if (!Error)
        Self->open(std::move(Accepted));
      Self->acceptNext();
    });
  }

  void open(tcp::socket Accepted) {
    auto Opened =
        std::make_shared<RelayConnection>(std::move(Accepted), Shared);
    std::erase_if(Connections, [](const auto &Weak) { return Weak.expired(); });
    Connections.push_back(Opened);
    Opened->start(Settings.To);
  }

  void shutDown() {
    IsShutDown = true;
    error_code Ignored;
    Acceptor.close(Ignored);
    for (const auto &Weak : Connections)
      if (auto Connection = Weak.lock())
        Connection->close();
  }

  RelaySettings Settings;
  std::shared_ptr<Link> Shared;
  tcp::acceptor Acceptor;
  std::vector<std::weak_ptr<RelayConnection>> Connections;
  bool IsShutDown = false;
};

Relay::Relay(asio::io_context &Context, const RelaySettings &Settings)
    : Impl(std::make_shared<State>(Context, Settings)) {}

Relay::~Relay() { Impl->shutDown(); }

std::optional<std::string> Relay::listen(const tcp::endpoint &Address) {
  error_code Error;
  Impl->Acceptor.open(Address.protocol(), Error);
  if (!Error)
    Impl->Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Impl->Acceptor.bind(Address, Error);
  if (!Error)
    Impl->Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return "cannot listen: " + Error.message();
  Impl->acceptNext();
  return std::nullopt;
}

tcp::endpoint Relay::address() const { return Impl->Acceptor.local_endpoint(); }

} // namespace figsail
