#include "platform.h"

namespace gentiandeal {

std::vector<WorkerInfo> ToWorkers(const std::vector<ListedService>& services,
                                  std::string_view data_centre,
                                  uint16_t default_slots,
                                  uint16_t default_connections) {
  std::vector<WorkerInfo> workers;
  for (const ListedService& service : services) {
    if (service.data_centre_ != data_centre) continue;
    WorkerInfo worker;
    worker.address_ = service.address_;
    worker.data_centre_ = service.data_centre_;
    worker.rack_ = service.rack_;
    worker.slots_ = service.slots_ != 0 ? service.slots_ : default_slots;
    worker.max_connections_ = service.max_connections_ != 0
                                  ? service.max_connections_
                                  : default_connections;
    worker.leaving_ = service.leaving_;
    workers.push_back(std::move(worker));
  }
  return workers;
}

}  // namespace gentiandeal
