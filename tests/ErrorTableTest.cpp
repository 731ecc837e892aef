// ErrorTableTest.cpp - Tests that error answers agree with the error table.

#include "figsail/ErrorKind.h"

#include <gtest/gtest.h>

using namespace figsail;

TEST(ErrorTable, UnknownOutcomeIsNotReportedAsNotRun) {
  HttpResponse Response = errorResponse(ErrorKind::OutcomeUnknown);
  EXPECT_EQ(findHeader(Response.Headers, "figsail-run"), "unknown");
  EXPECT_NE(Response.Status, errorEntry(ErrorKind::Overloaded).Status);
}

TEST(ErrorTable, RetryableRefusalsHaveRetryAfter) {
  for (std::size_t I = 0; I < ErrorKindCount; ++I) {
    const ErrorEntry &Entry = errorEntry(static_cast<ErrorKind>(I));
    if (Entry.Status != 503 && Entry.Status != 429)
      continue;
    EXPECT_GT(Entry.RetryAfter.count(), 0) << Entry.Name;
  }
}
