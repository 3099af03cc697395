#include <algorithm>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

#include "command_line.h"
#include "explain_endpoint.h"
#include "http_client.h"
#include "http_status.h"
#include "json_text.h"

namespace gentiandeal {
namespace {

namespace po = boost::program_options;
using Json = nlohmann::json;

constexpr Duration kRequestTimeout{2000};

/// Value of a member as text, whatever its type; `-` when absent or null.
std::string GetText(const Json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || found->is_null()) return "-";
  return found->is_string() ? found->get<std::string>() : ToJsonText(*found);
}

/// Value of a member; null when absent.
Json GetMember(const Json& object, const char* key) {
  const auto found = object.find(key);
  return found == object.end() ? Json() : *found;
}

void PrintOwners(const Json& owners) {
  constexpr char kFormat[] = "%-20s %-12s %6s %-18s %8s %10s %8s %8s %8s\n";
  std::printf(kFormat, "owner", "data_centre", "tasks", "reason", "wait_ms",
              "free_milli", "workers", "fitting", "age_ms");
  for (const Json& owner : owners) {
    std::printf(kFormat, GetText(owner, "owner").c_str(),
                GetText(owner, "data_centre").c_str(),
                GetText(owner, "tasks").c_str(),
                GetText(owner, "reason").c_str(),
                GetText(owner, "expected_wait_ms").c_str(),
                GetText(owner, "free_cpu_milli").c_str(),
                GetText(owner, "workers_with_free_cpu").c_str(),
                GetText(owner, "fitting_tasks").c_str(),
                GetText(owner, "report_age_ms").c_str());
  }
}

void PrintOwn(const Json& own) {
  if (!own.is_object()) {
    std::printf("own workers: none\n");
    return;
  }
  std::printf(
      "own workers: accepted=%s reason=%s expected_wait_ms=%s max_wait_ms=%s\n",
      GetText(own, "accepted").c_str(), GetText(own, "reason").c_str(),
      GetText(own, "expected_wait_ms").c_str(),
      GetText(own, "max_wait_ms").c_str());
  for (const char* key :
       {"queue_wait_ms", "planned_wait_ms", "fitting_tasks", "waiting_tasks",
        "cpu_milli_ahead", "cpu_milli_requested", "cpu_milli_per_s_released",
        "cpu_milli_per_s_taken_by_higher_bands", "cpu_milli_per_s_usable",
        "workers_reserved", "held_as_a_whole"}) {
    std::printf("  %-38s %s\n", key, GetText(own, key).c_str());
  }
  for (const Json& start : GetMember(own, "starts")) {
    std::printf("  task %-4s starts on %s\n", GetText(start, "task").c_str(),
                GetText(start, "worker").c_str());
  }
  for (const Json& reservation : GetMember(own, "reservations")) {
    std::printf("  reserved for %s in %s ms\n",
                GetText(reservation, "step").c_str(),
                GetText(reservation, "begins_in_ms").c_str());
  }
}

void PrintTable(const Address& target, const Json& answer) {
  const Json job = GetMember(answer, "job");
  const Json decision = GetMember(answer, "decision");
  std::printf("%s  instance=%s data_centre=%s\n", ToString(target).c_str(),
              GetText(answer, "instance").c_str(),
              GetText(answer, "data_centre").c_str());
  std::printf("queue=%s pool=%s priority_band=%s objective_ms=%s slack_ms=%s\n",
              GetText(job, "queue").c_str(), GetText(job, "pool").c_str(),
              GetText(job, "priority_band").c_str(),
              GetText(job, "objective_ms").c_str(),
              GetText(job, "slack_ms").c_str());
  std::printf("decision: %s admission=%s expected_wait_ms=%s",
              GetText(decision, "action").c_str(),
              GetText(decision, "admission").c_str(),
              GetText(decision, "expected_wait_ms").c_str());
  if (decision.contains("reason")) {
    std::printf(" reason=%s retry_after_s=%s",
                GetText(decision, "reason").c_str(),
                GetText(decision, "retry_after_s").c_str());
  }
  std::printf("\n");
  PrintOwners(GetMember(answer, "owners"));
  PrintOwn(GetMember(answer, "own"));
}

/// Asks one instance and prints its answer. @returns an `ExitCode`.
int ExplainAt(const Address& target, const std::string& path, bool json) {
  const HttpResponse response =
      Fetch(target, {"GET", path, {}, ""}, kRequestTimeout);
  const Json answer = Json::parse(response.body_, nullptr, false);
  if (!response.complete_ || !answer.is_object()) {
    std::cerr << "gentiandeal explain: " << ToString(target)
              << " does not answer; check that this is the metrics address of "
                 "a hosted instance\n";
    return kExitUnavailable;
  }
  if (response.status_ != http_status::kOk) {
    std::cerr << "gentiandeal explain: " << ToString(target) << ": "
              << GetText(answer, "error") << "\n";
    const bool invalid = response.status_ == http_status::kBadRequest ||
                         response.status_ == http_status::kNotFound;
    return invalid ? kExitUsage : kExitUnavailable;
  }
  if (json) {
    std::cout << response.body_ << std::endl;
  } else {
    PrintTable(target, answer);
  }
  return kExitOk;
}

}  // namespace

int RunExplain(const Arguments& words) {
  TargetOptions target_options;
  ExplainQuery query;
  bool json = false;
  po::options_description all(
      "gentiandeal explain --to IP:PORT --queue NAME [OPTIONS]\n"
      "Shows where a job of one step would be placed now, and why, without "
      "submitting it");
  AddTargetOptions(&all, &target_options,
                   "metrics address of a hosted instance; may be repeated");
  auto add = all.add_options();
  add("queue", po::value(&query.queue_)->value_name("NAME"),
      "queue of the job");
  for (size_t i = 0; i < kExplainNumbers.size(); ++i) {
    const ExplainNumber& number = kExplainNumbers[i];
    std::string option(number.name_);
    std::replace(option.begin(), option.end(), '_', '-');
    const std::string help(number.meaning_);
    add(option.c_str(),
        po::value(&query.numbers_[i])
            ->default_value(number.default_)
            ->value_name("N"),
        help.c_str());
  }
  add("json", po::bool_switch(&json),
      "print one JSON document for each instance");
  if (const auto end = ParseArguments(words, "explain", all)) return *end;
  const std::string path = "/explain?" + ToQuery(query);
  ExplainQuery checked;
  const std::string error = ParseExplainQuery(ToQuery(query), &checked);
  if (!error.empty()) return PrintUsageError("explain", error);
  std::vector<Address> targets;
  if (const auto end = ReadTargets(target_options, "explain", &targets)) {
    return *end;
  }
  int code = kExitOk;
  for (const Address& target : targets) {
    code = std::max(code, ExplainAt(target, path, json));
  }
  return code;
}

}  // namespace gentiandeal
