#include "http_limits.h"

namespace gentiandeal {
namespace {

HttpServerOptions ProbeOptions(uint64_t memory_mb, uint32_t connections,
                               std::string_view name) {
  HttpServerOptions options;
  options.limits_ = LimitForMemory({}, memory_mb);
  if (memory_mb > 0) options.memory_ = ProbeLimits(connections);
  options.memory_mb_ = memory_mb;
  options.uses_bodies_ = false;
  options.name_ = name;
  return options;
}

}  // namespace

HttpServerOptions CallerHttpOptions(uint64_t memory_mb, uint64_t max_fds,
                                    const HttpLimits& limits) {
  HttpServerOptions options;
  options.limits_ = LimitForMemory(limits, memory_mb);
  options.memory_ = LimitsForMemory(memory_mb, max_fds);
  options.memory_mb_ = memory_mb;
  return options;
}

HttpServerOptions ReadinessHttpOptions(uint64_t memory_mb) {
  return ProbeOptions(memory_mb, kReadinessConnections, "readiness");
}

HttpServerOptions MetricsHttpOptions(uint64_t memory_mb) {
  return ProbeOptions(memory_mb, kMetricsConnections, "metrics");
}

HttpLimits LimitForMemory(HttpLimits limits, uint64_t memory_mb) {
  if (memory_mb == 0) return limits;
  // Proxies add some fields to those of a caller; common servers take 100.
  limits.sizes_.max_head_fields_ = 128;
  // A body of 4 KB takes at most 0.25 s, and 2 % of the thinnest link of an
  // instance carry it.
  limits.min_bytes_per_s_ = 16 * 1024;
  limits.read_ahead_bytes_ = 32 * 1024;
  // The kernel doubles it. 64 KiB in flight are 640 KB/s over a round trip of
  // 100 ms.
  limits.socket_buffer_bytes_ = 32 * 1024;
  return limits;
}

}  // namespace gentiandeal
