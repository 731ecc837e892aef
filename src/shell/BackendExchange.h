// BackendExchange.h - HTTP exchange of one request and response with the
// backend server.

#ifndef FIGSAIL_BACKENDEXCHANGE_H
#define FIGSAIL_BACKENDEXCHANGE_H

#include "BackendFields.h"

#include "figsail/Events.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace figsail {

/// Memory budget for the response bodies of all exchanges of a BackendClient. A
/// faulty server may send an endless body on each of its connections.
class ResponseMemoryBudget {
public:
  explicit ResponseMemoryBudget(std::size_t Limit) : Limit(Limit) {}
  /// Reserves bytes if the budget has them left. Returns whether it did.
  bool reserve(std::size_t Bytes) {
    if (Used + Bytes > Limit)
      return false;
    Used += Bytes;
    return true;
  }
  void release(std::size_t Bytes) { Used -= Bytes; }

private:
  std::size_t Limit; ///< Bytes.
  std::size_t Used = 0;
};

/// Exchange of one request and its response on an open connection. Reports its
/// outcome once, unless it is abandoned.
class BackendExchange : public std::enable_shared_from_this<BackendExchange> {
public:
  using Result = std::variant<HttpResponse, BackendError>;
  /// Reusable is true if the connection may carry another request.
  using EndHandler = std::function<void(Result Outcome, bool Reusable)>;
  /// Called for each response that is skipped or unusable, and for bytes after
  /// the response.
  using RejectionHandler = std::function<void(RejectionReason Reason)>;
  using Message = BackendFields::Message;

  /// The request must not change until the outcome is reported or abandon() is
  /// called. Fields must outlive the exchange.
  BackendExchange(std::shared_ptr<boost::asio::ip::tcp::socket> Socket,
                  std::shared_ptr<const Message> Request,
                  std::size_t MaxResponseBody, const BackendFields &Fields,
                  std::shared_ptr<ResponseMemoryBudget> Memory,
                  RejectionHandler OnRejection, EndHandler OnEnd);
  ~BackendExchange();

  /// Starts to write the request and to read the response. With a delay, the
  /// last bytes of the request are written this much later than the others.
  void start(Duration LastBytesDelay);
  /// Suppresses the report of the outcome. The code that calls this closes the
  /// socket.
  void abandon() { OnEnd = nullptr; }

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void writeSlowly(Duration LastBytesDelay);
  void writeLast(const std::shared_ptr<const std::string> &Whole);
  void readHead();
  void headRead(boost::beast::error_code Error);
  void readBody();
  void bodyRead(boost::beast::error_code Error);
  bool reserveBodyMemory();
  void skipResponse();
  HttpResponse buildResponse();
  void writeDone(boost::beast::error_code Error, std::size_t Bytes);
  void readFailed();
  void end(Result Outcome, bool Reusable);

  std::shared_ptr<boost::asio::ip::tcp::socket> Socket;
  std::shared_ptr<const Message> Request;
  std::size_t MaxResponseBody; ///< Largest response body, in bytes.
  const BackendFields &Fields;
  std::shared_ptr<ResponseMemoryBudget> Memory;
  std::size_t ReservedBytes = 0; ///< Bytes reserved in Memory.
  unsigned SkippedResponses = 0; ///< Interim, or to other requests.
  RejectionHandler OnRejection;
  EndHandler OnEnd; ///< Null once reported or abandoned.
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Response;
  HeaderList Headers; ///< Fields of the response head, without trailer fields.
  bool RequestWritten = false; ///< The complete request was written.
  bool EndIsError = false;     ///< The connection broke: its end completes no
                               ///< response.
};

/// Builds the HTTP request for the backend server. Host is the value of the
/// Host field if the request has none.
BackendExchange::Message backendMessage(HttpRequest Request,
                                        const std::string &Host);

} // namespace figsail

#endif // FIGSAIL_BACKENDEXCHANGE_H
