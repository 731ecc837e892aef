// PeerArchive.h - Input archive for cereal's portable binary format that bounds
// allocation.

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

/// Input archive for data that cereal::PortableBinaryOutputArchive saved. It
/// reads from a string view, without a stream. cereal's own input archive
/// allocates any length that the input states; this one rejects a length beyond
/// the end of the input.
class ViewInputArchive
    : public cereal::InputArchive<ViewInputArchive,
                                  cereal::AllowEmptyClassElision> {
public:
  /// Throws cereal::Exception when the input is big-endian. No supported host
  /// writes that byte order.
  explicit ViewInputArchive(std::string_view Input)
      : InputArchive(this), Unread(Input) {
    std::uint8_t LittleEndian = 0;
    loadBinary(&LittleEndian, sizeof(LittleEndian));
    if (LittleEndian != 1)
      throw cereal::Exception("the input is not little-endian");
  }

  /// Copies the next Size bytes of the input to Data. Throws cereal::Exception
  /// when fewer are left.
  void loadBinary(void *Data, std::size_t Size) {
    if (Size > Unread.size())
      throw cereal::Exception("the input ends within a value");
    if (Size == 0)
      return;
    std::memcpy(Data, Unread.data(), Size);
    Unread.remove_prefix(Size);
  }

  /// Returns the number of bytes not read yet.
  std::size_t remaining() const { return Unread.size(); }

private:
  std::string_view Unread;
};

// cereal finds the following overloads by their name.

template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> load(ViewInputArchive &Ar, T &Value) {
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t Byte = 0;
    Ar.loadBinary(&Byte, 1);
    if (Byte > 1)
      throw cereal::Exception("a boolean is neither 0 nor 1");
    Value = Byte == 1;
  } else {
    Ar.loadBinary(&Value, sizeof(Value));
  }
}

template <class T>
void load(ViewInputArchive &Ar, cereal::BinaryData<T> &Data) {
  Ar.loadBinary(Data.data, static_cast<std::size_t>(Data.size));
}

/// Loads the size of a container. Every element takes at least one byte, so a
/// size beyond the remaining bytes is invalid.
template <class T> void load(ViewInputArchive &Ar, cereal::SizeTag<T> &Tag) {
  Ar(Tag.size);
  if (Tag.size > Ar.remaining())
    throw cereal::Exception("a length exceeds the rest of the input");
}

template <class T>
void load(ViewInputArchive &Ar, cereal::NameValuePair<T> &Pair) {
  Ar(Pair.value);
}

/// Loads elements one by one, so that the vector grows only with the input.
/// Resizing it to the stated size first would let a short input allocate that
/// number times the size of an element.
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

// cereal needs the output archive that belongs to an input archive, to know the
// integer type in which an enumerator was saved.
template <>
struct cereal::traits::detail::get_output_from_input<
    figsail::ViewInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};

#endif // FIGSAIL_PEERARCHIVE_H
