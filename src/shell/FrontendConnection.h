// FrontendConnection.h - Server side of one client connection.

#ifndef FIGSAIL_FRONTENDCONNECTION_H
#define FIGSAIL_FRONTENDCONNECTION_H

#include "HttpFrontend.h"
#include "PipelinedRequest.h"
#include "RequestHead.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message_generator.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace figsail {

class FrontendConnection;

/// Interface that a connection uses of its server. It outlives the
/// HttpFrontend, since completion handlers of closed sockets still use it.
class ConnectionOwner {
public:
  virtual ~ConnectionOwner() = default;
  virtual const FrontendSettings &settings() const = 0;
  virtual bool draining() const = 0;
  virtual HeadDecision checkHead(std::string_view Method,
                                 std::string_view Target) = 0;
  /// Returns the id for the next request.
  virtual CallerId nextCaller() = 0;
  /// Passes a complete request to the handler and returns without waiting for
  /// the reply.
  virtual void dispatch(const std::shared_ptr<FrontendConnection> &Connection,
                        CallerId Caller, HttpRequest Request) = 0;
  /// Called once, after the connection was closed.
  virtual void
  closed(const std::shared_ptr<FrontendConnection> &Connection) = 0;
};

/// Server side of one client connection. It reads requests in sequence and
/// writes their responses in order. While a safe request is being handled, the
/// safe ones that follow it are handled too, up to
/// FrontendSettings::MaxPipelined together; others wait in a bounded buffer.
///
/// Load pattern: clients send several requests at once, and the work of one
/// takes most of the target latency of the next.
class FrontendConnection
    : public std::enable_shared_from_this<FrontendConnection> {
public:
  FrontendConnection(boost::asio::ip::tcp::socket Socket,
                     std::shared_ptr<ConnectionOwner> Owner);

  void start();
  /// Sends the response to a request, once those before it are answered.
  void reply(CallerId Replied, HttpResponse Response);
  /// Writes bytes outside any response, as far as the socket accepts them.
  void writeRaw(std::string_view Bytes);
  /// Ends the connection with these bytes in place of the response to the
  /// request that is being handled.
  void endRaw(std::string_view Bytes);
  /// Closes the connection if it is idle. A connection with an unfinished
  /// request, with bytes to read or without a first request stays open for that
  /// request.
  void drain();
  /// Answers a request that is being read, without waiting for its end.
  void refuseUnread();
  void close();

  /// Returns whether the request that was dispatched last came on a kept
  /// connection, with its last byte after the drain began.
  bool arrivedLate() const { return Late; }
  /// Returns whether a request is being read or handled, or its response
  /// written.
  bool busy() const;
  /// Returns whether the handler has not replied to a request yet.
  bool handling() const { return CurrentPhase == Phase::Handling; }

  /// Returns the requests that have been dispatched and not yet answered.
  std::vector<CallerId> unanswered() const;

private:
  enum class Phase : std::uint8_t {
    Idle,     ///< No byte of the next request has arrived yet.
    Head,     ///< Reading a head.
    Body,     ///< Reading a body.
    Handling, ///< Waiting for the handler's reply.
    Writing,  ///< Writing the response.
    Linger,   ///< The response is written; discarding further input.
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
  bool mayDispatchAhead() const;
  void dispatchAhead();
  void handleNextDispatched();
  bool hasClientDisconnected();
  void handleEndOfInput();
  void sendContinue();
  void reject(ErrorKind Kind, std::string_view Detail = {});
  void write(HttpResponse Response);
  void writeSome();
  void responseWritten();
  void linger();

  void read();
  void readDone(boost::beast::error_code Error, std::size_t Bytes);
  void watchForReset();
  void startTimer(Duration Timeout);
  void timedOut();
  void endReading();

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Timer;
  std::shared_ptr<ConnectionOwner> Owner;
  Phase CurrentPhase = Phase::Idle;
  std::array<char, 4096> ReadBuffer; ///< Target of the pending read.
  std::string Unparsed;              ///< Received bytes not parsed yet.
  HeadScanner Scanner;
  std::optional<Parser> RequestParser; ///< Parser of the request being read.
  HeaderList Fields; ///< Fields of the request head. The parser's own fields
                     ///< also get trailer fields.
  std::optional<boost::beast::http::message_generator>
      Outgoing;          ///< The response being written.
  unsigned Version = 11; ///< HTTP version of the current request: 10 or 11.
  bool IsHeadRequest = false;   ///< The method of the current request is HEAD.
  bool KeepAlive = false;       ///< Another request may follow.
  bool Safe = false;            ///< The current request is safe.
  bool Closing = false;         ///< No further request is dispatched ahead.
  bool RequestFullyRead = true; ///< The current request was read to its end.
  bool Kept = false;            ///< An earlier request was answered.
  bool Late = false;            ///< See arrivedLate().
  bool ReadPending = false;     ///< A read is pending.
  bool ResetWatchPending = false; ///< A wait for a connection reset is pending.
  bool InputEnded = false;        ///< The client closed its sending side.
  bool AwaitsFirstByte = true;    ///< No byte has arrived yet.
  CallerId Caller = 0;            ///< Of the current request.
  std::deque<PipelinedRequest> Ahead; ///< Dispatched after the current one.
};

} // namespace figsail

#endif // FIGSAIL_FRONTENDCONNECTION_H
