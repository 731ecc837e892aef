// AnswerAssembly.cpp - Assembly of large answers from their pieces.

#include "AnswerAssembly.h"

#include "AnswerPieces.h"

#include <algorithm>

namespace figsail {

/// Bound on the bodies of unfinished answers. It holds 30 answers of 540 KB,
/// more than arrive within 10 s on a link of 10 Mbit/s; the smallest host has
/// 160 MB.
static constexpr std::size_t MaxBytes = std::size_t{16} * 1024 * 1024;

/// Returns whether the piece has the bytes that its index and the size of the
/// body demand.
static bool isValid(const AnswerPiece &Piece) {
  if (Piece.Size <= AnswerPieceBytes || Piece.Size > MaxBytes)
    return false;
  std::size_t Count = answerPieceCount(Piece.Size);
  if (Piece.Index >= Count)
    return false;
  bool Last = Piece.Index + 1 == Count;
  std::size_t Start = Piece.Index * AnswerPieceBytes;
  std::uint64_t Expected =
      std::min<std::uint64_t>(AnswerPieceBytes, Piece.Size - Start);
  return Piece.Bytes.size() == Expected && Piece.Head.has_value() == Last;
}

AnswerAssembly::Unfinished *
AnswerAssembly::findOrAdd(const PeerRef &From, const AnswerPiece &Piece) {
  auto Found = Answers.find(Piece.Call);
  if (Found != Answers.end()) {
    bool Same = Found->second.Sender == From.Inc &&
                Found->second.Body.size() == Piece.Size;
    if (Same)
      return &Found->second;
    remove(Piece.Call);
  }
  if (!hasRoom(Piece))
    return nullptr;
  Unfinished &New = Answers[Piece.Call];
  New.Sender = From.Inc;
  New.Body.resize(Piece.Size);
  New.Missing = answerPieceCount(Piece.Size);
  New.Arrived.resize(New.Missing);
  Bytes += Piece.Size;
  return &New;
}

std::optional<Answer> AnswerAssembly::add(const PeerRef &From,
                                          AnswerPiece Piece) {
  if (!isValid(Piece))
    return std::nullopt;
  Unfinished *Current = findOrAdd(From, Piece);
  if (!Current || Current->Arrived[Piece.Index])
    return std::nullopt;
  Current->Arrived[Piece.Index] = true;
  std::ranges::copy(Piece.Bytes, Current->Body.begin() +
                                     static_cast<std::ptrdiff_t>(
                                         Piece.Index * AnswerPieceBytes));
  if (Piece.Head)
    Current->Head = std::move(*Piece.Head);
  if (--Current->Missing > 0)
    return std::nullopt;
  Answer Whole = std::move(Current->Head);
  Whole.Call = Piece.Call;
  Whole.Response.Body = std::move(Current->Body);
  Bytes -= Piece.Size;
  Answers.erase(Piece.Call);
  return Whole;
}

bool AnswerAssembly::hasRoom(const AnswerPiece &Piece) const {
  return Answers.contains(Piece.Call) || Piece.Size <= MaxBytes - Bytes;
}

void AnswerAssembly::remove(const CallId &Call) {
  auto Found = Answers.find(Call);
  if (Found == Answers.end())
    return;
  Bytes -= Found->second.Body.size();
  Answers.erase(Found);
}

} // namespace figsail
