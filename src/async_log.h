#ifndef GENTIANDEAL_SRC_ASYNC_LOG_H_
#define GENTIANDEAL_SRC_ASYNC_LOG_H_

#include <string>

namespace gentiandeal {

/// Logs to standard output from a thread of its own. Never blocks: while the
/// reader of standard output is behind, the oldest lines are dropped.
void SetUpAsyncLog(const std::string& level);

/// Writes what is left and ends the thread.
void ShutDownAsyncLog();

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_ASYNC_LOG_H_
