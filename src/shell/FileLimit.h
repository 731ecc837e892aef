// FileLimit.h - The limit on open files of this process.

#ifndef FIGSAIL_FILELIMIT_H
#define FIGSAIL_FILELIMIT_H

namespace figsail {

/// Raises the limit on open files to the hard limit. A daemon has hundreds of
/// connections to peers, clients and its backend server, and the usual default
/// is 1024.
void raiseFileLimit();

} // namespace figsail

#endif // FIGSAIL_FILELIMIT_H
