// AnswerPieces.cpp - Division of large answers into pieces.

#include "AnswerPieces.h"

#include <algorithm>
#include <utility>

namespace figsail {

std::size_t answerPieceCount(std::uint64_t BodyBytes) {
  return static_cast<std::size_t>((BodyBytes + AnswerPieceBytes - 1) /
                                  AnswerPieceBytes);
}

std::vector<AnswerPiece> splitAnswer(Answer Whole) {
  std::string Body = std::exchange(Whole.Response.Body, {});
  std::vector<AnswerPiece> Pieces(answerPieceCount(Body.size()));
  for (std::size_t Index = 0; Index < Pieces.size(); ++Index) {
    AnswerPiece &Piece = Pieces[Index];
    Piece.Call = Whole.Call;
    Piece.Size = Body.size();
    Piece.Index = static_cast<std::uint32_t>(Index);
    Piece.Bytes = Body.substr(Index * AnswerPieceBytes, AnswerPieceBytes);
  }
  if (!Pieces.empty())
    Pieces.back().Head = std::move(Whole);
  return Pieces;
}

/// Returns the large answer that an effect sends to another host, or null.
static Answer *largeAnswer(const HostId &Self, SidecarEffect &Effect) {
  auto *Sent = std::get_if<SendPeer>(&Effect);
  auto *Body = Sent ? std::get_if<Answer>(&Sent->Message) : nullptr;
  bool Large = Body && Body->Response.Body.size() > AnswerPieceBytes;
  return Large && Sent->Host != Self ? Body : nullptr;
}

void splitLargeAnswers(const HostId &Self, SidecarEffects &Out) {
  bool Any = std::ranges::any_of(Out, [&](SidecarEffect &Effect) {
    return largeAnswer(Self, Effect) != nullptr;
  });
  if (!Any)
    return;
  for (SidecarEffect &Effect : std::exchange(Out, {})) {
    Answer *Large = largeAnswer(Self, Effect);
    if (!Large) {
      Out.push_back(std::move(Effect));
      continue;
    }
    HostId To = std::get<SendPeer>(Effect).Host;
    Out.emplace_back(SendPeer{To, Received{Large->Call}});
    for (AnswerPiece &Piece : splitAnswer(std::move(*Large)))
      Out.emplace_back(SendPeer{To, std::move(Piece)});
  }
}

} // namespace figsail
