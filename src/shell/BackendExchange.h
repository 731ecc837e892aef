// BackendExchange.h - One request and its response on one connection to the
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

/// Memory for the response bodies of all exchanges of a client. A server in
/// trouble may send a body without end on each of its connections.
class ResponseMemoryBudget {
public:
  explicit ResponseMemoryBudget(std::size_t Limit) : Limit(Limit) {}
  /// Returns whether there is room for so many bytes more, and takes them then.
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

/// Writes a request and reads its response. Ends once, unless it is abandoned.
class BackendExchange : public std::enable_shared_from_this<BackendExchange> {
public:
  using Result = std::variant<HttpResponse, BackendError>;
  /// Reusable: the connection may carry another request.
  using EndHandler = std::function<void(Result Outcome, bool Reusable)>;
  using Message = BackendFields::Message;

  /// The request must not change until the end or abandon(). Fields outlives
  /// the exchange.
  BackendExchange(std::shared_ptr<boost::asio::ip::tcp::socket> Socket,
                  std::shared_ptr<const Message> Request,
                  std::size_t MaxResponseBody, const BackendFields &Fields,
                  std::shared_ptr<ResponseMemoryBudget> Memory,
                  EndHandler OnEnd);
  ~BackendExchange();

  /// Starts to write and to read.
  void start();
  /// Reports nothing from now on. The caller closes the socket.
  void abandon() { OnEnd = nullptr; }

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

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
  std::size_t MaxResponseBody; ///< Bytes of the response body.
  const BackendFields &Fields;
  std::shared_ptr<ResponseMemoryBudget> Memory;
  std::size_t ReservedBytes = 0; ///< Bytes taken of Memory.
  unsigned SkippedResponses = 0; ///< Answers that were not the wanted one.
  EndHandler OnEnd;              ///< Null after the end.
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Response;
  HeaderList Headers; ///< Fields of the response head, without trailers.
  bool RequestWritten = false; ///< The whole request was written.
};

/// Builds the message for the backend server. Host is used when the request has
/// no Host field.
BackendExchange::Message backendMessage(HttpRequest Request,
                                        const std::string &Host);

} // namespace figsail

#endif // FIGSAIL_BACKENDEXCHANGE_H
