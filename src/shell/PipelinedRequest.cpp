// PipelinedRequest.cpp - Requests that a client sends before the response to an
// earlier one.

#include "PipelinedRequest.h"

#include "HttpFieldFunctions.h"
#include "RequestHead.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <limits>

namespace figsail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

bool isSafe(const HttpRequest &Request) {
  return (Request.Method == "GET" || Request.Method == "HEAD") &&
         Request.Body.empty();
}

std::optional<SafeRequest> readSafeRequest(std::string_view Received,
                                           std::size_t MaxHead) {
  SafeRequest Next;
  // Some legacy clients send an extra CRLF after a body.
  while (Received.substr(Next.Size).starts_with("\r\n"))
    Next.Size += 2;
  std::string_view Rest = Received.substr(Next.Size);
  HeadScanner Scanner;
  HeadScanner::Result Scanned = Scanner.scan(Rest, MaxHead);
  const auto *Complete = std::get_if<HeadScanner::Complete>(&Scanned);
  if (!Complete)
    return std::nullopt;
  http::request_parser<http::string_body> Parser;
  Parser.header_limit(std::numeric_limits<std::uint32_t>::max());
  beast::error_code Error;
  Parser.put(asio::buffer(Rest.data(), Complete->Size), Error);
  if (Error || !Parser.is_done() || checkRequestFields(Parser.get()))
    return std::nullopt;
  const auto &Head = Parser.get();
  Next.Request.Method = std::string(Head.method_string());
  Next.Request.Target = std::string(originForm(Head.target()));
  Next.Request.Headers = copyFields(Head);
  removeHopByHopFields(Next.Request.Headers);
  Next.Size += Complete->Size;
  Next.Version = Head.version() == 10 ? 10 : 11;
  Next.KeepAlive = Parser.keep_alive();
  return isSafe(Next.Request) ? std::optional(std::move(Next)) : std::nullopt;
}

} // namespace figsail
