#include "status.h"

#include <prometheus/client_metric.h>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <nlohmann/json.hpp>

#include "json_text.h"

namespace gentiandeal {
namespace {

using Json = nlohmann::json;

/// Maps a member of `Stats` to its name in the status document and metrics.
struct StatsField {
  const char* name_;
  const char* help_;
  uint64_t Stats::*value_;
  bool gauge_ = false;
};

constexpr StatsField kStatsFields[] = {
    {"jobs_accepted", "Submissions accepted.", &Stats::jobs_accepted_},
    {"jobs_complete", "Jobs answered whole.", &Stats::jobs_complete_},
    {"jobs_not_run", "Jobs refused before a start.", &Stats::jobs_not_run_},
    {"jobs_may_have_run", "Jobs failed after a start.",
     &Stats::jobs_may_have_run_},
    {"jobs_cancelled", "Jobs cancelled by callers.", &Stats::jobs_cancelled_},
    {"duplicates_joined", "Retries answered by their first submission.",
     &Stats::duplicates_joined_},
    {"task_starts", "Requests sent to workers.", &Stats::task_starts_},
    {"answers_unused", "Starts whose answer was dropped.",
     &Stats::answers_unused_},
    {"dispatches_refused", "Marked refusals by workers.",
     &Stats::dispatches_refused_},
    {"connects_failed", "Attempts that could not connect.",
     &Stats::connects_failed_},
    {"task_retries", "Tasks moved after they provably did not start.",
     &Stats::task_retries_},
    {"forwards_to_owner", "Submissions handed to their owner.",
     &Stats::forwards_to_owner_},
    {"forwards_to_data_centre", "Submissions handed to another data centre.",
     &Stats::forwards_to_data_centre_},
    {"workers_set_aside", "Times a failing worker was set aside.",
     &Stats::workers_set_aside_},
    {"answers_expired", "Answers dropped before they were acknowledged.",
     &Stats::answers_expired_},
    {"pauses", "Gaps after which held work was reviewed.", &Stats::pauses_},
    {"cut_at_exit", "Requests cut by the drain limit.", &Stats::cut_at_exit_},
    {"queued_tasks", "Tasks waiting.", &Stats::queued_tasks_now_, true},
    {"running_tasks", "Tasks at workers.", &Stats::running_tasks_now_, true},
    {"buffered_bytes", "Bytes of jobs and answers held.",
     &Stats::buffered_bytes_now_, true},
};

std::string_view Name(WorkerState state) {
  switch (state) {
    case WorkerState::kActive:
      return "active";
    case WorkerState::kEjected:
      return "set-aside";
    case WorkerState::kOnTrial:
      return "on-trial";
    case WorkerState::kBackingOff:
      return "refusing";
    case WorkerState::kLeaving:
      return "leaving";
  }
  return "unknown";
}

Json InstanceJson(const InstanceId& id) {
  Json json;
  json["data_centre"] = id.data_centre_;
  json["peers"] = ToString(id.peer_address_);
  json["incarnation"] = id.incarnation_.value_;
  return json;
}

Json WorkersJson(const WorkerTable& table) {
  Json workers = Json::array();
  table.ForEach([&](WorkerHandle worker) {
    const WorkerInfo& info = table.info(worker);
    Json json;
    json["address"] = ToString(info.address_);
    json["state"] = Name(table.state(worker));
    json["slots"] = info.slots_;
    json["in_use"] = table.in_use(worker);
    json["slowness"] = table.slowness(worker);
    workers.push_back(std::move(json));
  });
  return workers;
}

Json PeersJson(const std::vector<PeerView>& peers) {
  Json list = Json::array();
  for (const PeerView& peer : peers) {
    Json json = InstanceJson(peer.id_);
    json["draining"] = peer.draining_;
    json["free_slots"] = peer.free_slots_;
    list.push_back(std::move(json));
  }
  return list;
}

prometheus::MetricFamily MakeFamily(const std::string& name,
                                    const std::string& help, uint64_t value,
                                    bool gauge) {
  prometheus::MetricFamily family;
  family.name = "gentiandeal_" + name + (gauge ? "" : "_total");
  family.help = help;
  family.type =
      gauge ? prometheus::MetricType::Gauge : prometheus::MetricType::Counter;
  prometheus::ClientMetric& metric = family.metric.emplace_back();
  if (gauge) {
    metric.gauge.value = static_cast<double>(value);
  } else {
    metric.counter.value = static_cast<double>(value);
  }
  return family;
}

}  // namespace

std::string StatusJson(const InstanceView& view) {
  const DispatcherLoad load = view.dispatcher_->load();
  Json json;
  json["instance"] = InstanceJson(*view.instance_id_);
  json["ready"] = view.ready_;
  json["draining"] = view.draining_;
  json["settings_revision"] = view.settings_->revision_.value_;
  json["free_slots"] = load.free_slots_;
  json["worker_connections"] = view.worker_connections_;
  json["workers"] = WorkersJson(view.dispatcher_->workers());
  json["peers"] = PeersJson(*view.peers_);
  const Stats counters = view.dispatcher_->stats();
  Json& stats = json["stats"] = Json::object();
  for (const StatsField& field : kStatsFields) {
    stats[field.name_] = counters.*field.value_;
  }
  stats["requests"] = view.caller_stats_->requests_;
  stats["refused_malformed"] = view.caller_stats_->refused_malformed_;
  for (const auto& [name, value] : view.extra_counters_) stats[name] = value;
  return ToJsonText(json);
}

std::string MetricsText(const InstanceView& view) {
  std::vector<prometheus::MetricFamily> families;
  const Stats stats = view.dispatcher_->stats();
  for (const StatsField& field : kStatsFields) {
    families.push_back(MakeFamily(field.name_, field.help_, stats.*field.value_,
                                  field.gauge_));
  }
  const WorkerTable& workers = view.dispatcher_->workers();
  const CallerServerStats& callers = *view.caller_stats_;
  const auto gauge = [&](const char* name, const char* help, uint64_t value) {
    families.push_back(MakeFamily(name, help, value, true));
  };
  gauge("ready", "1 when the balancer may send requests.", view.ready_ ? 1 : 0);
  gauge("settings_revision", "Revision in force.",
        view.settings_->revision_.value_);
  gauge("workers_listed", "Workers of this data centre.", workers.size());
  gauge("workers_placeable", "Workers that may be given tasks.",
        workers.placeable());
  gauge("free_slots", "Slots nobody uses, as far as known.",
        workers.free_slots());
  gauge("peers", "Peers believed alive.", view.peers_->size());
  gauge("worker_connections", "Open connections to workers.",
        view.worker_connections_);
  gauge("caller_connections", "Open connections of callers.",
        callers.open_connections_);
  families.push_back(MakeFamily("requests", "Requests read from callers.",
                                callers.requests_, false));
  families.push_back(MakeFamily("refused_malformed",
                                "Requests refused as malformed.",
                                callers.refused_malformed_, false));
  for (const auto& [name, value] : view.extra_counters_) {
    families.push_back(
        MakeFamily(name, "See docs/OPERATORS.md.", value, false));
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace gentiandeal
