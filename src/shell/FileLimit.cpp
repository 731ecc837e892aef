// FileLimit.cpp - The limit on open files of this process.

#include "FileLimit.h"

#include <sys/resource.h>

namespace figsail {

void raiseFileLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return;
  Limit.rlim_cur = Limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Limit);
}

} // namespace figsail
