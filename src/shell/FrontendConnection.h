// FrontendConnection.h - One connection of a caller.

#ifndef FIGSAIL_FRONTENDCONNECTION_H
#define FIGSAIL_FRONTENDCONNECTION_H

#include "HttpFrontend.h"
#include "RequestHead.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message_generator.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

namespace figsail {

class FrontendConnection;

/// What a connection needs of its listener. It outlives the listener's public
/// object, so that handlers of closed sockets still find it.
class ConnectionOwner {
public:
  virtual ~ConnectionOwner() = default;
  virtual const FrontendSettings &settings() const = 0;
  virtual bool draining() const = 0;
  virtual HeadVerdict checkHead(std::string_view Method,
                                std::string_view Target) = 0;
  /// Passes a whole request on and returns at once.
  virtual void dispatch(const std::shared_ptr<FrontendConnection> &Connection,
                        HttpRequest Request) = 0;
  /// The connection is closed. Called once.
  virtual void
  closed(const std::shared_ptr<FrontendConnection> &Connection) = 0;
};

/// Reads requests one after the other and writes their answers in order. At
/// most one request is with the handler; later ones wait in a bounded buffer.
class FrontendConnection
    : public std::enable_shared_from_this<FrontendConnection> {
public:
  FrontendConnection(boost::asio::ip::tcp::socket Socket,
                     std::shared_ptr<ConnectionOwner> Owner);

  void start();
  /// Answers the request that was dispatched last.
  void answer(HttpResponse Response);
  /// Closes unless a request is under way, bytes of one wait to be read, or the
  /// connection was just opened: then its first request is on the way.
  void drain();
  void close();

  /// Returns whether a request is being read, handled or answered.
  bool busy() const;
  /// Returns whether a request is with the handler.
  bool handling() const { return CurrentPhase == Phase::Handling; }

  CallerId Caller = 0; ///< Number of the dispatched request.

private:
  enum class Phase : std::uint8_t {
    Idle,     ///< No byte of the next request has arrived.
    Head,     ///< Reading a head.
    Body,     ///< Reading a body.
    Handling, ///< The request is with the handler.
    Writing,  ///< Writing the answer.
    Linger,   ///< The answer is written; discards what still arrives.
    Closed,
  };
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void nextRequest();
  void process();
  void processHead();
  void headComplete(std::size_t Size);
  void startBody(std::size_t MaxBody);
  void processBody();
  void requestComplete();
  bool hasClientDisconnected();
  void handleEndOfInput();
  void sendContinue();
  void reject(ErrorKind Kind, std::string_view Detail = {});
  void write(HttpResponse Response);
  void writeSome();
  void written();
  void linger();

  void read();
  void readDone(boost::beast::error_code Error, std::size_t Bytes);
  void watchForReset();
  void startTimer(Duration Timeout);
  void timedOut();

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Timer;
  std::shared_ptr<ConnectionOwner> Owner;
  Phase CurrentPhase = Phase::Idle;
  std::array<char, 4096> ReadBuffer; ///< Target of the pending read.
  std::string Unparsed;              ///< Bytes not yet parsed.
  HeadScanner Scanner;
  std::optional<Parser> RequestParser; ///< The request being read.
  HeaderList
      Fields; ///< Of its head; the parser adds trailer fields to its own.
  std::optional<boost::beast::http::message_generator>
      Outgoing;                   ///< The answer being written.
  unsigned Version = 11;          ///< 10 or 11, of the present request.
  bool IsHeadRequest = false;     ///< The present request is a HEAD request.
  bool KeepAlive = false;         ///< Another request may follow.
  bool RequestFullyRead = true;   ///< The present request was read to its end.
  bool ReadPending = false;       ///< A read is pending.
  bool ResetWatchPending = false; ///< A wait for a reset is pending.
  bool InputEnded = false;        ///< The caller closed its sending half.
  bool AwaitsFirstByte = true;    ///< No byte of a request has arrived yet.
};

} // namespace figsail

#endif // FIGSAIL_FRONTENDCONNECTION_H
