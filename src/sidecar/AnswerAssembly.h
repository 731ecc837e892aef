// AnswerAssembly.h - Assembly of large answers from their pieces.

#ifndef FIGSAIL_SIDECAR_ANSWERASSEMBLY_H
#define FIGSAIL_SIDECAR_ANSWERASSEMBLY_H

#include "figsail/PeerMessages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace figsail {

/// The answers of which pieces have arrived at the ingress, bounded in bytes.
/// Pieces may arrive in any order and more than once. An answer is complete
/// when each byte of its body has arrived, and its head.
class AnswerAssembly {
public:
  /// Adds a piece. Returns the answer if the piece completes it. A piece that
  /// does not fit in the bound or is not valid is dropped.
  std::optional<Answer> add(const PeerRef &From, AnswerPiece Piece);
  /// Returns whether the piece belongs to a known answer, or there is memory
  /// for another one.
  bool hasRoom(const AnswerPiece &Piece) const;
  /// Returns whether a piece of the call's answer has arrived.
  bool contains(const CallId &Call) const { return Answers.contains(Call); }
  /// The call has ended or was sent elsewhere. Drops its pieces.
  void remove(const CallId &Call);
  /// Returns the size of all unfinished bodies, in bytes.
  std::size_t bytes() const { return Bytes; }

private:
  struct Unfinished {
    Incarnation Sender = 0;
    std::string Body;          ///< Has its final size.
    std::vector<bool> Arrived; ///< By index of the piece.
    std::size_t Missing = 0;   ///< Pieces that have not arrived.
    Answer Head;               ///< Set once the last piece has arrived.
  };
  Unfinished *findOrAdd(const PeerRef &From, const AnswerPiece &Piece);

  std::map<CallId, Unfinished> Answers;
  std::size_t Bytes = 0;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_ANSWERASSEMBLY_H
