#include "hosted_metrics.h"

#include <prometheus/text_serializer.h>

namespace gentiandeal {
namespace {

using Families = std::vector<prometheus::MetricFamily>;

prometheus::MetricFamily& AddFamily(Families* out, const char* name,
                                    bool gauge = false) {
  prometheus::MetricFamily& family = out->emplace_back();
  family.name = std::string("gentiandeal_") + name + (gauge ? "" : "_total");
  family.help = "See docs/OPERATIONS.md.";
  family.type =
      gauge ? prometheus::MetricType::Gauge : prometheus::MetricType::Counter;
  return family;
}

void Add(Families* out, const char* name, double value, bool gauge = false) {
  prometheus::ClientMetric& metric =
      AddFamily(out, name, gauge).metric.emplace_back();
  (gauge ? metric.gauge.value : metric.counter.value) = value;
}

/// Value of a counter for one value of its label.
using Labelled = std::pair<std::string_view, uint64_t>;

void AddLabelled(Families* out, const char* name, const char* label,
                 const std::vector<Labelled>& values) {
  prometheus::MetricFamily& family = AddFamily(out, name);
  for (const auto& [text, value] : values) {
    prometheus::ClientMetric& metric = family.metric.emplace_back();
    metric.label = {{label, std::string(text)}};
    metric.counter.value = static_cast<double>(value);
  }
}

constexpr std::array<const char*, 3> kServerNames = {"callers", "readiness",
                                                     "metrics"};

/// Adds a value for each server and each name of `label`.
template <typename Names, typename Select>
void AddByServer(Families* out, const char* name, const char* label,
                 const Names& names, const std::array<HttpLoad, 3>& loads,
                 Select select, bool gauge = false) {
  prometheus::MetricFamily& family = AddFamily(out, name, gauge);
  for (size_t server = 0; server < loads.size(); ++server) {
    for (size_t i = 0; i < names.size(); ++i) {
      prometheus::ClientMetric& metric = family.metric.emplace_back();
      metric.label = {{"server", kServerNames[server]},
                      {label, std::string(names[i])}};
      const auto value = static_cast<double>(select(loads[server])[i]);
      (gauge ? metric.gauge.value : metric.counter.value) = value;
    }
  }
}

void AddClients(Families* out, const std::array<HttpLoad, 3>& loads) {
  AddByServer(
      out, "client_bytes", "kind", kHeldKindNames, loads,
      [](const HttpLoad& load) { return load.held_; }, /*gauge=*/true);
  AddByServer(out, "requests_shed", "reason", kHttpRefusalNames, loads,
              [](const HttpLoad& load) { return load.refused_; });
  AddByServer(out, "connections_shed", "reason", kHttpCloseNames, loads,
              [](const HttpLoad& load) { return load.closed_; });
  AddByServer(out, "requests_unanswered", "left", kHttpUnansweredNames, loads,
              [](const HttpLoad& load) { return load.unanswered_; });
  prometheus::MetricFamily& open =
      AddFamily(out, "client_connections", /*gauge=*/true);
  for (size_t server = 0; server < loads.size(); ++server) {
    prometheus::ClientMetric& metric = open.metric.emplace_back();
    metric.label = {{"server", kServerNames[server]}};
    metric.gauge.value = static_cast<double>(loads[server].connections_);
  }
}

std::vector<Labelled> ByFrame(
    const std::array<uint64_t, kMeshFrameKinds>& values) {
  std::vector<Labelled> labelled;
  for (size_t i = 0; i < kMeshFrameKinds; ++i) {
    labelled.emplace_back(kMeshFrameNames[i], values[i]);
  }
  return labelled;
}

std::vector<Labelled> ByReason(
    const std::array<uint64_t, kLapseReasons>& values) {
  std::vector<Labelled> labelled;
  for (size_t i = 0; i < kLapseReasons; ++i) {
    labelled.emplace_back(Name(static_cast<LapseReason>(i)), values[i]);
  }
  return labelled;
}

/// Upper bounds in seconds. Latency objectives lie between 0.1 and 2.
const prometheus::Histogram::BucketBoundaries kJobBuckets = {
    0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.45, 0.7, 1, 1.5, 2.5, 5};
/// Ticks are due each 20 ms.
const prometheus::Histogram::BucketBoundaries kTickGapBuckets = {
    0.03, 0.06, 0.1, 0.2, 0.45, 1, 2, 4};

}  // namespace

HostedMetrics::HostedMetrics()
    : job_seconds_(prometheus::BuildHistogram()
                       .Name("gentiandeal_job_seconds")
                       .Help("From acceptance to the answer, by outcome.")
                       .Register(registry_)),
      pauses_(prometheus::BuildCounter()
                  .Name("gentiandeal_pauses_total")
                  .Help("Times the process stood still.")
                  .Register(registry_)
                  .Add({})),
      tick_gap_seconds_(prometheus::BuildHistogram()
                            .Name("gentiandeal_tick_gap_seconds")
                            .Help("Between two ticks of the event loop.")
                            .Register(registry_)
                            .Add({}, kTickGapBuckets)) {}

void HostedMetrics::RecordTickGap(Duration gap) {
  tick_gap_seconds_.Observe(static_cast<double>(gap.ms_) / 1000);
}

void HostedMetrics::RecordJob(std::string_view outcome, Duration age) {
  job_seconds_.Add({{"outcome", std::string(outcome)}}, kJobBuckets)
      .Observe(static_cast<double>(age.ms_) / 1000);
}

std::string HostedMetrics::ToText(const JobCoordinatorStats& coordinator,
                                  const WorkerSchedulerStats& owner,
                                  const MeshStats& mesh,
                                  const BackendTraffic& backend,
                                  const HostedGauges& gauges) const {
  Families families = registry_.Collect();
  const auto count = [&](const char* name, uint64_t value) {
    Add(&families, name, static_cast<double>(value));
  };
  const auto gauge = [&](const char* name, size_t value) {
    Add(&families, name, static_cast<double>(value), /*gauge=*/true);
  };
  count("room_jobs", coordinator.jobs_);
  count("room_jobs_complete", coordinator.complete_);
  count("room_jobs_failed", coordinator.failed_);
  count("room_jobs_crashing", coordinator.crashing_);
  count("room_jobs_refused", coordinator.refused_);
  count("batches_refused_by_owners", coordinator.batches_refused_);
  count("room_jobs_interrupted", coordinator.interrupted_);
  count("room_jobs_timed_out", coordinator.timed_out_);
  count("room_callers_gone", coordinator.caller_disconnected_);
  count("room_jobs_recalled", coordinator.recalled_);
  count("room_tasks_assigned", coordinator.tasks_assigned_);
  count("room_tasks_moved", coordinator.tasks_reassigned_);
  count("room_jobs_awaited", coordinator.awaited_room_);
  count("runs_started", owner.starts_);
  count("starts_refused", owner.starts_refused_);
  count("starts_unanswered", owner.starts_unanswered_);
  count("runs_stopped", owner.stops_);
  count("holds", owner.polls_);
  count("holds_failed", owner.polls_failed_);
  count("runs_done", owner.done_);
  count("runs_failed", owner.failed_);
  count("runs_lapsed", owner.leases_expired_);
  count("runs_stalled", owner.stalled_);
  count("tasks_expired", owner.expired_);
  count("tasks_without_room", owner.without_room_);
  AddLabelled(
      &families, "batches_refused", "when",
      {{"arrived", owner.batches_refused_}, {"queued", owner.batches_shed_}});
  count("tasks_withdrawn", owner.cancelled_);
  count("foreign_runs", owner.foreign_runs_);
  count("runs_inferred_over", owner.runs_inferred_over_);
  count("workers_restarted", owner.workers_restarted_);
  count("workers_crashed", owner.workers_crashed_);
  count("workers_silenced", owner.workers_silenced_);
  count("tasks_given_up", owner.tasks_given_up_);
  count("tasks_evacuated", owner.evacuated_);
  const ReservationStats& reservations = owner.reservations_;
  count("reservations_made", reservations.made_);
  count("reservations_kept", reservations.kept_);
  AddLabelled(&families, "reservations_lapsed", "reason",
              ByReason(reservations.lapsed_));
  count("backfills", reservations.backfills_);
  count("reservation_late_ms", reservations.late_ms_);
  count("reservation_early_ms", reservations.early_ms_);
  count("workers_set_aside", owner.ejections_);
  count("workers_slowed", owner.workers_slowed_);
  count("links_opened", mesh.links_opened_);
  count("links_lost", mesh.links_lost_);
  AddLabelled(&families, "link_frames_sent", "frame",
              ByFrame(mesh.frames_sent_));
  AddLabelled(&families, "link_bytes_sent", "frame", ByFrame(mesh.bytes_sent_));
  const HttpTraffic& workers = backend.workers_;
  const HttpTraffic& store = backend.store_;
  AddLabelled(&families, "http_requests_sent", "to",
              {{"workers", workers.requests_}, {"store", store.requests_}});
  AddLabelled(&families, "http_bytes_sent", "to",
              {{"workers", workers.bytes_sent_}, {"store", store.bytes_sent_}});
  AddLabelled(
      &families, "http_bytes_received", "from",
      {{"workers", workers.bytes_received_}, {"store", store.bytes_received_}});
  const WorkerEntryStats& entries = backend.entries_;
  AddLabelled(&families, "worker_entries_read", "as",
              {{"changed", entries.changed_},
               {"unchanged", entries.unchanged_},
               {"unusable", entries.unusable_}});
  AddClients(&families, backend.clients_);
  gauge("open_jobs", gauges.open_jobs_);
  gauge("owned_workers", gauges.owned_workers_);
  gauge("workers_of_unknown_kind", gauges.undescribed_workers_);
  gauge("reachable_owners", gauges.reachable_owners_);
  gauge("evacuated_data_centres", gauges.evacuated_data_centres_);
  gauge("draining", gauges.draining_ ? 1 : 0);
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace gentiandeal
