// PeerArchive.h - Bounded loading of cereal's portable binary format.

#ifndef FIGSAIL_PEERARCHIVE_H
#define FIGSAIL_PEERARCHIVE_H

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <cstring>
#include <streambuf>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace figsail {

/// Stream buffer that appends to a string.
class AppendBuffer : public std::streambuf {
public:
  explicit AppendBuffer(std::string &Target) : Target(Target) {}

protected:
  std::streamsize xsputn(const char *Data, std::streamsize Size) override {
    Target.append(Data, static_cast<std::size_t>(Size));
    return Size;
  }
  int_type overflow(int_type Byte) override {
    Target.push_back(static_cast<char>(Byte));
    return Byte;
  }

private:
  std::string &Target;
};

/// Loads what cereal::PortableBinaryOutputArchive saved, out of a view and
/// without a stream. cereal's own input archive allocates whatever length the
/// input names; this one refuses lengths beyond the end of the input.
class ViewInputArchive
    : public cereal::InputArchive<ViewInputArchive,
                                  cereal::AllowEmptyClassElision> {
public:
  /// Throws cereal::Exception when the input has the other byte order, which no
  /// supported host uses.
  explicit ViewInputArchive(std::string_view Input)
      : InputArchive(this), Unread(Input) {
    std::uint8_t LittleEndian = 0;
    loadBinary(&LittleEndian, sizeof(LittleEndian));
    if (LittleEndian != 1)
      throw cereal::Exception("the byte order is not supported");
  }

  /// Copies Size bytes of input. Throws cereal::Exception when fewer are left.
  void loadBinary(void *Data, std::size_t Size) {
    if (Size > Unread.size())
      throw cereal::Exception("the input ends early");
    if (Size == 0)
      return;
    std::memcpy(Data, Unread.data(), Size);
    Unread.remove_prefix(Size);
  }

  /// Returns the bytes that are left.
  std::size_t remaining() const { return Unread.size(); }

private:
  std::string_view Unread;
};

// The names below are the ones that cereal looks up.

template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> load(ViewInputArchive &Ar, T &Value) {
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t Byte = 0;
    Ar.loadBinary(&Byte, 1);
    if (Byte > 1)
      throw cereal::Exception("a truth value is neither 0 nor 1");
    Value = Byte == 1;
  } else {
    Ar.loadBinary(&Value, sizeof(Value));
  }
}

template <class T>
void load(ViewInputArchive &Ar, cereal::BinaryData<T> &Data) {
  Ar.loadBinary(Data.data, static_cast<std::size_t>(Data.size));
}

/// Every element takes at least one byte, so a higher count is an error.
template <class T> void load(ViewInputArchive &Ar, cereal::SizeTag<T> &Tag) {
  Ar(Tag.size);
  if (Tag.size > Ar.remaining())
    throw cereal::Exception("a length exceeds the input");
}

template <class T>
void load(ViewInputArchive &Ar, cereal::NameValuePair<T> &Pair) {
  Ar(Pair.value);
}

/// Grows with the input that is really there: a count alone would allocate it
/// times the size of an element.
template <class T, class A>
std::enable_if_t<!std::is_arithmetic_v<T>> load(ViewInputArchive &Ar,
                                                std::vector<T, A> &Elements) {
  cereal::size_type Size = 0;
  Ar(cereal::make_size_tag(Size));
  Elements.clear();
  for (cereal::size_type I = 0; I < Size; ++I)
    Ar(Elements.emplace_back());
}

} // namespace figsail

// cereal loads an enumerator through the type that its saving archive would
// write.
template <>
struct cereal::traits::detail::get_output_from_input<
    figsail::ViewInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};

#endif // FIGSAIL_PEERARCHIVE_H
