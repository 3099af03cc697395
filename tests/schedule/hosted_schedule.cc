#include <algorithm>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

#include "unit/hosted_world.h"

/// Plays the random schedule of hosted instances for many seeds, and lists
/// those in which a rule breaks, something stays open or a worker has no owner.
namespace gentiandeal {
namespace {

namespace po = boost::program_options;

constexpr int kExitOk = 0;
constexpr int kExitBroken = 1;
constexpr int kExitUsage = 2;

struct Options {
  HostedFleet fleet_;
  HostedTroubles troubles_;
  std::string trouble_names_;
  uint64_t first_seed_ = 1;
  uint64_t seeds_ = 30;
  int steps_ = 2000;
  std::string trace_file_;
};

/// What a seed has broken.
struct Verdict {
  std::map<HostedRule, size_t> rules_;
  bool idle_ = true;
  size_t ownerless_ = 0;

  bool bad() const { return !rules_.empty() || !idle_ || ownerless_ > 0; }
};

std::string_view Name(HostedRule rule) {
  switch (rule) {
    case HostedRule::kRoom:
      return "room";
    case HostedRule::kOneRun:
      return "one-run";
    case HostedRule::kStepOrder:
      return "step-order";
    case HostedRule::kPlace:
      return "place";
    case HostedRule::kFailures:
      return "failures";
    case HostedRule::kOneOwner:
      return "one-owner";
    case HostedRule::kNotRunIsTrue:
      return "not-run-is-true";
    case HostedRule::kCompleteIsTrue:
      return "complete-is-true";
    case HostedRule::kAnsweredOnce:
      return "answered-once";
    case HostedRule::kEndsBeforeResend:
      return "ends-before-resend";
    case HostedRule::kCrashes:
      return "crashes";
    case HostedRule::kFailedIsTrue:
      return "failed-is-true";
    case HostedRule::kBoundedPass:
      return "bounded-pass";
    case HostedRule::kWithdrawn:
      return "withdrawn";
  }
  return "unknown";
}

/// @returns false if a name is unknown.
bool ParseTroubles(const std::string& names, HostedTroubles* out) {
  const std::map<std::string, bool HostedTroubles::*> fields = {
      {"holds", &HostedTroubles::holds_},
      {"stalls", &HostedTroubles::stalls_},
      {"callers", &HostedTroubles::callers_},
      {"requests", &HostedTroubles::requests_},
      {"store", &HostedTroubles::store_},
      {"mutes", &HostedTroubles::mutes_},
      {"restarts", &HostedTroubles::restarts_},
      {"kept", &HostedTroubles::kept_},
      {"deadly", &HostedTroubles::deadly_},
      {"shrinks", &HostedTroubles::shrinks_},
      {"priorities", &HostedTroubles::priorities_},
      {"reservations", &HostedTroubles::reservations_},
      {"wide", &HostedTroubles::wide_},
      {"answers", &HostedTroubles::answers_},
      {"kinds", &HostedTroubles::kinds_}};
  std::istringstream stream(names);
  for (std::string name; std::getline(stream, name, ',');) {
    if (name == "all") {
      *out = HostedTroubles::All();
    } else if (const auto field = fields.find(name); field != fields.end()) {
      out->*(field->second) = true;
    } else if (name != "none") {
      return false;
    }
  }
  return true;
}

Verdict Play(uint64_t seed, const Options& options) {
  HostedWorld world(seed, HostedBreakage::kNone, options.troubles_,
                    options.fleet_);
  std::ofstream trace;
  if (!options.trace_file_.empty()) {
    trace.open(options.trace_file_);
    world.TraceTo(&trace);
  }
  world.Run(options.steps_);
  Verdict verdict;
  for (const HostedViolation& one : world.violations()) {
    ++verdict.rules_[one.rule_];
  }
  verdict.idle_ = world.all_idle();
  verdict.ownerless_ = world.ownerless();
  return verdict;
}

int PlayAll(const Options& options) {
  size_t bad = 0;
  std::map<HostedRule, size_t> seeds_by_rule;
  for (uint64_t i = 0; i < options.seeds_; ++i) {
    const uint64_t seed = options.first_seed_ + i;
    const Verdict verdict = Play(seed, options);
    if (!verdict.bad()) continue;
    ++bad;
    std::cout << "seed " << seed << ":";
    for (const auto& [rule, count] : verdict.rules_) {
      ++seeds_by_rule[rule];
      std::cout << ' ' << Name(rule) << ' ' << count;
    }
    if (!verdict.idle_) std::cout << " left-open";
    if (verdict.ownerless_ > 0) {
      std::cout << " ownerless " << verdict.ownerless_;
    }
    std::cout << std::endl;
  }
  std::cout << "instances " << options.fleet_.instances_ << " workers "
            << options.fleet_.workers_ << " troubles " << options.trouble_names_
            << " steps " << options.steps_ << " seeds " << options.first_seed_
            << " to " << options.first_seed_ + options.seeds_ - 1 << ": bad "
            << bad;
  for (const auto& [rule, count] : seeds_by_rule) {
    std::cout << ", " << Name(rule) << ' ' << count;
  }
  std::cout << "\n";
  return bad == 0 ? kExitOk : kExitBroken;
}

int Main(int argc, char** argv) {
  Options options;
  po::options_description description("hosted_schedule");
  description.add_options()("help", "print this text")(
      "instances", po::value(&options.fleet_.instances_)->default_value(4))(
      "workers", po::value(&options.fleet_.workers_)->default_value(12))(
      "troubles", po::value(&options.trouble_names_)->default_value("none"),
      "none, all, or some of "
      "holds,stalls,callers,requests,store,mutes,restarts,kept,deadly,"
      "shrinks,priorities,reservations,wide,answers,kinds")(
      "seed", po::value(&options.first_seed_)->default_value(1), "first seed")(
      "seeds", po::value(&options.seeds_)->default_value(30), "their number")(
      "steps", po::value(&options.steps_)->default_value(2000))(
      "trace", po::value(&options.trace_file_),
      "file for what happens in the last seed");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.count("help") > 0) {
      std::cout << description;
      return kExitOk;
    }
  } catch (const po::error& error) {
    std::cerr << "hosted_schedule: " << error.what() << ": see --help\n";
    return kExitUsage;
  }
  if (!ParseTroubles(options.trouble_names_, &options.troubles_)) {
    std::cerr << "hosted_schedule: unknown kind in --troubles: see --help\n";
    return kExitUsage;
  }
  return PlayAll(options);
}

}  // namespace
}  // namespace gentiandeal

int main(int argc, char** argv) { return gentiandeal::Main(argc, argv); }
