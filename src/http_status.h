#ifndef GENTIANDEAL_SRC_HTTP_STATUS_H_
#define GENTIANDEAL_SRC_HTTP_STATUS_H_

/// HTTP status codes that responses of other processes are checked for.
namespace gentiandeal::http_status {

inline constexpr int kOk = 200;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kPreconditionFailed = 412;
inline constexpr int kMisdirected = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kServerError = 500;
inline constexpr int kUnavailable = 503;

}  // namespace gentiandeal::http_status

#endif  // GENTIANDEAL_SRC_HTTP_STATUS_H_
