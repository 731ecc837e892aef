// FileLimit.h - The limit of open files of this process.

#ifndef FIGSAIL_FILELIMIT_H
#define FIGSAIL_FILELIMIT_H

namespace figsail {

/// Allows as many open files as the system grants: a daemon has hundreds of
/// connections to peers, clients and its backend server, and the usual default
/// is 1024.
void raiseFileLimit();

} // namespace figsail

#endif // FIGSAIL_FILELIMIT_H
