#ifndef GENTIANDEAL_SRC_ASYNC_LOG_H_
#define GENTIANDEAL_SRC_ASYNC_LOG_H_

#include <string>

namespace gentiandeal {

/// Sets up logging to standard output from a separate thread. Logging never
/// blocks: lines are dropped while the reader of standard output is behind.
void SetUpAsyncLog(const std::string& level);

/// Writes the queued lines and ends the thread.
void ShutDownAsyncLog();

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_ASYNC_LOG_H_
