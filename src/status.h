#ifndef GENTIANDEAL_SRC_STATUS_H_
#define GENTIANDEAL_SRC_STATUS_H_

#include "caller_server.h"
#include "dispatcher.h"
#include "gentiandeal_p.h"
#include "settings.h"

/// Status document and metrics of an instance, for operators.
namespace gentiandeal {

/// Input of `StatusJson` and `MetricsText`. Pointers must stay valid during the
/// call.
struct InstanceView {
  const InstanceId* instance_id_ = nullptr;
  const Dispatcher* dispatcher_ = nullptr;
  const CallerServerStats* caller_stats_ = nullptr;
  const std::vector<PeerView>* peers_ = nullptr;
  const Settings* settings_ = nullptr;
  uint32_t worker_connections_ = 0;
  bool ready_ = false;
  bool draining_ = false;
  /// Counters of other components, by metric name without the prefix.
  std::vector<std::pair<std::string, uint64_t>> extra_counters_;
};

/// Body of `GET /v1/status`; the members are listed in docs/API.md.
std::string StatusJson(const InstanceView& view);

/// Body of `GET /metrics`, in Prometheus' text format.
std::string MetricsText(const InstanceView& view);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_STATUS_H_
