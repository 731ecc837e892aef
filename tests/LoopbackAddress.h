// LoopbackAddress.h - Distinct loopback addresses for tests that run in
// parallel.

#ifndef FIGSAIL_LOOPBACKADDRESS_H
#define FIGSAIL_LOOPBACKADDRESS_H

#include <string>
#include <unistd.h>

namespace figsail {

/// Returns a loopback address "ip:port" that no other test process uses: the
/// process id is part of the IP address.
inline std::string loopbackAddress(unsigned Index) {
  auto Pid = static_cast<unsigned>(getpid());
  // Process ids have up to 22 bits; the lowest octet is never 0 or 255.
  return "127." + std::to_string((Pid >> 14 & 0xff)) + "." +
         std::to_string((Pid >> 6 & 0xff)) + "." +
         std::to_string((Pid & 0x3f) + 1) + ":" + std::to_string(20000 + Index);
}

} // namespace figsail

#endif // FIGSAIL_LOOPBACKADDRESS_H
