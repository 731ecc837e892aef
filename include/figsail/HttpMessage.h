// HttpMessage.h - Whole HTTP messages as the core sees them.

#ifndef FIGSAIL_HTTPMESSAGE_H
#define FIGSAIL_HTTPMESSAGE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace figsail {

/// Header fields in order of arrival, names as received.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field with that name (case-insensitive), or
/// an empty view.
std::string_view findHeader(const HeaderList &Headers, std::string_view Name);

/// A request whose body has arrived whole.
struct HttpRequest {
  std::string Method;
  std::string Target;
  HeaderList Headers; ///< End-to-end fields only; hop-by-hop fields are removed
                      ///< by the shell.
  std::string Body;

  bool operator==(const HttpRequest &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Method, Target, Headers, Body);
  }
};

/// A response whose body has arrived whole.
struct HttpResponse {
  std::uint32_t Status = 0;
  HeaderList Headers; ///< End-to-end fields only.
  std::string Body;

  bool operator==(const HttpResponse &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Status, Headers, Body);
  }
};

} // namespace figsail

#endif // FIGSAIL_HTTPMESSAGE_H
