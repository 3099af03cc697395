#include <algorithm>
#include <utility>

#include "job_coordinator.h"
#include "wait_estimate.h"

/// Explains where the tasks of a job would go.
namespace gentiandeal {
namespace {

/// Describes the workers of a pool at an owner.
void FillFree(const PoolLoad& load, const HostedJobStep& step,
              OwnerExplanation* out) {
  for (const Resources& free : load.free_) out->free_ += free;
  out->workers_with_free_cpu_ = static_cast<uint32_t>(load.free_.size());
  out->fitting_ = CountFitting(load.free_, step.need_, step.count_);
}

}  // namespace

std::string_view Name(OwnerVerdict verdict) {
  switch (verdict) {
    case OwnerVerdict::kStartsAll:
      return "starts-all";
    case OwnerVerdict::kStartsPart:
      return "starts-part";
    case OwnerVerdict::kInTime:
      return "in-time";
    case OwnerVerdict::kLowestCost:
      return "lowest-cost";
    case OwnerVerdict::kNotDrawn:
      return "not-drawn";
    case OwnerVerdict::kNotNeeded:
      return "not-needed";
    case OwnerVerdict::kTooLittleFree:
      return "too-little-free";
    case OwnerVerdict::kOtherCentre:
      return "other-data-centre";
    case OwnerVerdict::kLongerWait:
      return "longer-wait";
    case OwnerVerdict::kHigherCost:
      return "higher-cost";
    case OwnerVerdict::kRefusedLately:
      return "refused-lately";
    case OwnerVerdict::kDraining:
      return "draining";
    case OwnerVerdict::kNoWorkers:
      return "no-workers";
    case OwnerVerdict::kRefusedAtEntry:
      return "refused-at-entry";
  }
  return "unknown";
}

OwnerVerdict JobCoordinator::VerdictOn(const BatchPlan& plan,
                                       const BatchCandidate& candidate,
                                       size_t tasks, Duration slack) {
  const bool selected = std::any_of(plan.shares_.begin(), plan.shares_.end(),
                                    [&](const BatchShare& share) {
                                      return share.owner_ == *candidate.name_;
                                    });
  if (!selected && candidate.refused_lately_) {
    return OwnerVerdict::kRefusedLately;
  }
  switch (plan.rule_) {
    case BatchRule::kOneNear:
    case BatchRule::kOneAnywhere:
      if (selected) return OwnerVerdict::kStartsAll;
      if (plan.rule_ == BatchRule::kOneNear && !candidate.near_) {
        return OwnerVerdict::kOtherCentre;
      }
      return candidate.fitting_ >= tasks ? OwnerVerdict::kNotDrawn
                                         : OwnerVerdict::kTooLittleFree;
    case BatchRule::kSplitNear:
    case BatchRule::kSplitAnywhere:
      if (selected) return OwnerVerdict::kStartsPart;
      if (plan.rule_ == BatchRule::kSplitNear && !candidate.near_) {
        return OwnerVerdict::kOtherCentre;
      }
      return candidate.fitting_ == 0 ? OwnerVerdict::kTooLittleFree
                                     : OwnerVerdict::kNotNeeded;
    case BatchRule::kInTime:
      break;
  }
  if (selected) return OwnerVerdict::kInTime;
  return candidate.wait_ <= slack ? OwnerVerdict::kNotDrawn
                                  : OwnerVerdict::kLongerWait;
}

// The decision is made by the code that makes it, on a coordinator that has the
// same view of owners and workers and no other jobs.
PlacementExplanation JobCoordinator::Explain(const HostedJob& job,
                                             const OwnerLoad* own_load,
                                             Time now) const {
  JobCoordinator scratch(self_, data_centre_, link_rate_);
  scratch.owners_ = owners_;
  scratch.workers_ = workers_;
  if (own_load != nullptr) {
    scratch.OwnerLoadReported(self_, data_centre_, *own_load);
  }
  const HostedJobStep& step = job.steps_[0];
  PlacementExplanation explanation;
  explanation.slack_ = Slack(job);
  explanation.by_owners_ =
      job.admitted_by_owners_ && scratch.FitsOneOwner(job, now);
  const BatchPlan plan = scratch.PlanBatch(job, 0, step.count_, {}, now);
  if (explanation.by_owners_) explanation.expected_wait_ = plan.expected_wait_;
  // The view changes with the decision: describe it before.
  std::map<std::string, OwnerExplanation> owners;
  for (auto& [name, owner] : scratch.owners_) {
    OwnerExplanation& one = owners[name];
    one.owner_ = {name};
    one.data_centre_ = owner.data_centre_;
    one.verdict_ = owner.load_.draining_     ? OwnerVerdict::kDraining
                   : now < owner.full_until_ ? OwnerVerdict::kRefusedLately
                                             : OwnerVerdict::kNoWorkers;
  }
  for (const BatchCandidate& candidate : plan.candidates_) {
    OwnerExplanation& one = owners[*candidate.name_];
    FillFree(*candidate.load_, step, &one);
    one.expected_wait_ = candidate.wait_;
    one.verdict_ = explanation.by_owners_
                       ? VerdictOn(plan, candidate, step.count_, Slack(job))
                       : OwnerVerdict::kHigherCost;
    if (!explanation.by_owners_) {
      one.cost_ = scratch.OwnerCost(job, 0, {}, {}, now, *candidate.name_,
                                    &scratch.owners_.at(*candidate.name_));
    }
  }
  CoordinatorOutbox out;
  scratch.On(SubmitHostedJob{{1}, job, {}}, now, &out);
  explanation.batch_ = MakeAssign(job, 0, {});
  explanation.batch_.refusable_ = explanation.by_owners_;
  for (uint32_t i = 0; i < step.count_; ++i) {
    explanation.batch_.tasks_.push_back({{}, i});
  }
  for (CoordinatorCommand& command : out) {
    if (const auto* answer = std::get_if<AnswerHostedJob>(&command)) {
      explanation.refused_ = true;
      explanation.reason_ = answer->reason_;
      explanation.retry_after_ = answer->retry_after_;
      explanation.expected_wait_ = answer->expected_wait_;
    } else if (auto* send = std::get_if<SendAssign>(&command)) {
      OwnerExplanation& one = owners[send->owner_.value_];
      one.tasks_ += static_cast<uint32_t>(send->assign_.tasks_.size());
      if (!explanation.by_owners_) one.verdict_ = OwnerVerdict::kLowestCost;
      if (send->owner_ == self_ && one.tasks_ == step.count_) {
        explanation.batch_ = std::move(send->assign_);
      }
    }
  }
  for (auto& [name, one] : owners) {
    if (explanation.refused_ && one.expected_wait_) {
      one.verdict_ = OwnerVerdict::kRefusedAtEntry;
    }
    explanation.owners_.push_back(std::move(one));
  }
  return explanation;
}

}  // namespace gentiandeal
