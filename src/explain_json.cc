#include "explain_json.h"

#include <nlohmann/json.hpp>

#include "json_text.h"

namespace gentiandeal {
namespace {

using Json = nlohmann::json;

template <typename T>
Json OrNull(const std::optional<T>& value) {
  return value ? Json(*value) : Json();
}

Json OrNull(const std::optional<Duration>& value) {
  return value ? Json(value->ms_) : Json();
}

Json ToJson(const OwnerExplanation& owner) {
  return {{"owner", owner.owner_.value_},
          {"data_centre", owner.data_centre_},
          {"selected", owner.tasks_ > 0},
          {"reason", Name(owner.verdict_)},
          {"tasks", owner.tasks_},
          {"report_age_ms", OrNull(owner.report_age_)},
          {"free_cpu_milli", owner.free_.cpu_milli_},
          {"free_memory_mb", owner.free_.memory_mb_},
          {"free_gpu", owner.free_.gpu_},
          {"workers_with_free_cpu", owner.workers_with_free_cpu_},
          {"fitting_tasks", owner.fitting_},
          {"expected_wait_ms", OrNull(owner.expected_wait_)},
          {"cost", OrNull(owner.cost_)}};
}

Json ToJson(const BatchExplanation& batch) {
  const BatchAdmission& admission = batch.admission_;
  const WaitEstimate& queue = admission.queue_;
  Json json = {{"accepted", batch.accepted_},
               {"reason", batch.reason_},
               {"expected_wait_ms", admission.wait_.ms_},
               {"max_wait_ms", admission.max_wait_.ms_},
               {"queue_wait_ms", queue.wait_.ms_},
               {"planned_wait_ms", admission.planned_wait_.ms_},
               {"fitting_tasks", queue.fitting_},
               {"waiting_tasks", batch.waiting_tasks_},
               {"cpu_milli_ahead", queue.ahead_milli_},
               {"cpu_milli_requested", queue.requested_milli_},
               {"cpu_milli_per_s_released", queue.released_per_s_},
               {"cpu_milli_per_s_taken_by_higher_bands", queue.taken_per_s_},
               {"cpu_milli_per_s_usable", queue.usable_per_s_},
               {"workers_reserved", batch.workers_reserved_},
               {"held_as_a_whole", batch.held_as_a_whole_},
               {"starts", Json::array()},
               {"reservations", Json::array()}};
  for (const TaskStart& start : batch.starts_) {
    json["starts"].push_back(
        {{"task", start.index_}, {"worker", start.worker_.value_}});
  }
  for (const BlockingReservation& reservation : batch.reservations_) {
    json["reservations"].push_back(
        {{"step", reservation.step_},
         {"begins_in_ms", reservation.begins_in_.ms_}});
  }
  return json;
}

}  // namespace

std::string ExplanationToJson(const HostedJob& job,
                              const InstanceExplanation& explanation) {
  const HostedJobStep& step = job.steps_[0];
  const PlacementExplanation& placement = explanation.placement_;
  Json json;
  json["instance"] = explanation.instance_.value_;
  json["data_centre"] = explanation.data_centre_;
  json["job"] = {{"queue", job.queue_},
                 {"pool", job.pool_},
                 {"tasks", step.count_},
                 {"cpu_milli", step.need_.cpu_milli_},
                 {"memory_mb", step.need_.memory_mb_},
                 {"gpu", step.need_.gpu_},
                 {"expected_ms", step.expected_.ms_},
                 {"deadline_ms", job.deadline_.ms_},
                 {"objective_ms", job.objective_.ms_},
                 {"priority_band", job.band_},
                 {"slack_ms", placement.slack_.ms_}};
  json["decision"] = {{"action", placement.refused_ ? "refuse" : "send"},
                      {"admission", placement.by_owners_ ? "owner" : "entry"},
                      {"expected_wait_ms", placement.expected_wait_.ms_}};
  if (placement.refused_) {
    json["decision"]["reason"] = placement.reason_;
    json["decision"]["retry_after_s"] =
        (placement.retry_after_.ms_ + 999) / 1000;
  }
  json["owners"] = Json::array();
  for (const OwnerExplanation& owner : placement.owners_) {
    json["owners"].push_back(ToJson(owner));
  }
  json["own"] = explanation.own_ ? ToJson(*explanation.own_) : Json();
  // Names of workers and instances may have been written by others.
  return ToJsonText(json);
}

}  // namespace gentiandeal
