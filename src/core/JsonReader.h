// JsonReader.h - Typed access to fields of JSON objects, with the first error.

#ifndef FIGSAIL_JSONREADER_H
#define FIGSAIL_JSONREADER_H

#include <boost/json.hpp>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>

namespace figsail {

/// Reader of the fields of one JSON object. It keeps the first error; after it,
/// reads do nothing.
class JsonReader {
public:
  JsonReader(const boost::json::value &Source, std::string &Error)
      : Object(Source.if_object()), Error(Error) {
    if (!Object)
      fail("expected a JSON object");
  }

  /// Returns the field, or null after an error.
  const boost::json::value *value(std::string_view Name) {
    if (!Error.empty() || !Object)
      return nullptr;
    const boost::json::value *Found = Object->if_contains(Name);
    if (!Found)
      fail("field \"" + std::string(Name) + "\" is missing");
    return Found;
  }

  JsonReader &field(std::string_view Name, std::string &Out) {
    const boost::json::value *Found = value(Name);
    if (!Found)
      return *this;
    if (const boost::json::string *Text = Found->if_string())
      Out.assign(Text->data(), Text->size());
    else
      failType(Name, "a string");
    return *this;
  }

  JsonReader &field(std::string_view Name, bool &Out) {
    const boost::json::value *Found = value(Name);
    if (!Found)
      return *this;
    if (const bool *Flag = Found->if_bool())
      Out = *Flag;
    else
      failType(Name, "true or false");
    return *this;
  }

  template <class Integer>
  requires std::is_integral_v<Integer> JsonReader &field(std::string_view Name,
                                                         Integer &Out) {
    const boost::json::value *Found = value(Name);
    if (!Found)
      return *this;
    boost::json::error_code Code;
    auto Number = Found->to_number<Integer>(Code);
    if (Code || Found->is_double())
      failType(Name, "a whole number in range");
    else
      Out = Number;
    return *this;
  }

  /// Return the field as an object or an array, or null after an error.
  const boost::json::object *object(std::string_view Name) {
    const boost::json::value *Found = value(Name);
    if (Found && !Found->is_object())
      failType(Name, "an object");
    return Error.empty() && Found ? &Found->get_object() : nullptr;
  }
  const boost::json::array *array(std::string_view Name) {
    const boost::json::value *Found = value(Name);
    if (Found && !Found->is_array())
      failType(Name, "an array");
    return Error.empty() && Found ? &Found->get_array() : nullptr;
  }

  void fail(std::string Text) {
    if (Error.empty())
      Error = std::move(Text);
  }

private:
  void failType(std::string_view Name, std::string_view Expected) {
    fail("field \"" + std::string(Name) + "\" must be " +
         std::string(Expected));
  }

  const boost::json::object *Object;
  std::string &Error;
};

} // namespace figsail

#endif // FIGSAIL_JSONREADER_H
