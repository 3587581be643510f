#pragma once

namespace wisteriadale::common {

/// Catches the signals that stop and reload a process and counts them, so that
/// none ends it before its event loop handles them. Ignores those of writes to
/// a closed connection (SIGPIPE) and beyond the limit on the size of a file
/// (SIGXFSZ), which the failing calls report as well. May be called again.
void CatchSignals();

/// @return number of SIGTERM and SIGINT caught so far
int StopSignalCount();
/// @return number of SIGHUP caught so far
int ReloadSignalCount();

/// Sets what is called after each signal that is counted.
/// @param wake safe to call from a signal handler; null for nothing
void SetSignalWaker(void (*wake)());

}  // namespace wisteriadale::common
