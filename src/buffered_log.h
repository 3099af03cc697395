#ifndef GENTIANDEAL_SRC_BUFFERED_LOG_H_
#define GENTIANDEAL_SRC_BUFFERED_LOG_H_

#include <string>

namespace gentiandeal {

/// Sets up logging to standard output through a buffer, so that lines cost no
/// system call each. Logging never blocks: lines are dropped while the reader
/// of standard output is behind. Errors are written at once.
void SetUpBufferedLog(const std::string& level);

/// Writes the buffered lines, as far as standard output takes them without
/// blocking. To be called from a timer, and before the process exits.
void FlushLog();

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_BUFFERED_LOG_H_
