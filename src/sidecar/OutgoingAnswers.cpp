// OutgoingAnswers.cpp - Large answers that this host's link still has to send.

#include "OutgoingAnswers.h"

#include "AnswerPieces.h"

#include "figsail/DurationLimits.h"

#include <algorithm>

namespace figsail {

/// Weight of one answer in the moving averages.
static constexpr double SizeWeight = 0.1;
/// Entries kept; the entries of removed routes remain until the limit is
/// reached.
static constexpr std::size_t MaxRoutes = 65536;

void OutgoingAnswers::add(TimePoint Now, const std::string &Route,
                          std::size_t BodyBytes, bool OverLink) {
  if (Rate <= 0)
    return;
  if (MeanBytes.size() >= MaxRoutes)
    MeanBytes.clear();
  auto Size = static_cast<double>(BodyBytes);
  auto [Mean, Inserted] = MeanBytes.try_emplace(Route, Size);
  if (!Inserted)
    Mean->second += (Size - Mean->second) * SizeWeight;
  if (!OverLink || BodyBytes <= AnswerPieceBytes)
    return;
  Unsent = unsent(Now) + Size;
  LastAdded = Now;
}

std::size_t OutgoingAnswers::expectedBytes(const std::string &Route) const {
  auto Found = MeanBytes.find(Route);
  if (Found == MeanBytes.end() || Found->second <= AnswerPieceBytes)
    return 0;
  return static_cast<std::size_t>(Found->second);
}

double OutgoingAnswers::unsent(TimePoint Now) const {
  std::chrono::duration<double> Elapsed = Now - LastAdded;
  return std::max(0.0, Unsent - Elapsed.count() * Rate);
}

Duration OutgoingAnswers::timeAlone(std::size_t Bytes) const {
  if (Rate <= 0)
    return Duration(0);
  return boundedDuration(
      std::chrono::duration<double>(static_cast<double>(Bytes) / Rate));
}

Duration OutgoingAnswers::timeQueued(TimePoint Now, std::size_t Bytes) const {
  return timeAlone(Bytes + static_cast<std::size_t>(unsent(Now)));
}

} // namespace figsail
