#ifndef GENTIANDEAL_SRC_TERMINATE_LOG_H_
#define GENTIANDEAL_SRC_TERMINATE_LOG_H_

namespace gentiandeal {

/// From now on, an exception that nobody catches is logged with the calls that
/// led to it, and the buffered log is written, before the process aborts.
void LogBeforeTerminate();

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_TERMINATE_LOG_H_
