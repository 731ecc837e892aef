// HttpMessage.h - Complete HTTP requests and responses, as the core handles
// them.

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

/// Removes all fields with that name (case-insensitive).
void removeHeader(HeaderList &Headers, std::string_view Name);

/// Request with its complete body.
struct HttpRequest {
  std::string Method;
  std::string Target;
  HeaderList Headers; ///< End-to-end fields only; the shell removes hop-by-hop
                      ///< fields.
  std::string Body;

  bool operator==(const HttpRequest &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Method, Target, Headers, Body);
  }
};

/// Response with its complete body.
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
