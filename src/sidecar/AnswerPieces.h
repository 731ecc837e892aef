// AnswerPieces.h - Division of large answers into pieces.

#ifndef FIGSAIL_SIDECAR_ANSWERPIECES_H
#define FIGSAIL_SIDECAR_ANSWERPIECES_H

#include "SidecarEvents.h"

#include <cstddef>

namespace figsail {

/// Bytes of the body in each piece but the last one. An answer with a larger
/// body is sent in pieces. Other messages wait for one piece at most: 13 ms on
/// a link of 10 Mbit/s.
inline constexpr std::size_t AnswerPieceBytes = std::size_t{16} * 1024;

/// Returns the number of pieces of a body of this size.
std::size_t answerPieceCount(std::uint64_t BodyBytes);

/// Returns the pieces of an answer, in order. Those of one answer are always
/// the same, so a piece may be replaced by one of a later sending.
std::vector<AnswerPiece> splitAnswer(Answer Whole);

/// Replaces the large answers to other hosts than Self by their pieces. A
/// receipt goes ahead of them: bulk may wait for longer than an ingress waits
/// for the reply to a query.
void splitLargeAnswers(const HostId &Self, SidecarEffects &Out);

} // namespace figsail

#endif // FIGSAIL_SIDECAR_ANSWERPIECES_H
