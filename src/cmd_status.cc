#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

#include "command_line.h"
#include "http_client.h"
#include "json_text.h"

namespace gentiandeal {
namespace {

namespace po = boost::program_options;
using Json = nlohmann::json;

constexpr Duration kRequestTimeout{2000};

/// Value of a member as text, whatever its type; empty when absent.
std::string GetText(const Json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end()) return {};
  return found->is_string() ? found->get<std::string>() : ToJsonText(*found);
}

/// Value of a member; null when absent.
Json GetMember(const Json& object, const char* key) {
  const auto found = object.find(key);
  return found == object.end() ? Json() : *found;
}

void PrintRow(std::initializer_list<std::string> cells) {
  constexpr int kColumnWidth = 22;
  for (const std::string& cell : cells) {
    std::printf("%-*s ", kColumnWidth, cell.c_str());
  }
  std::printf("\n");
}

void PrintTable(const Address& target, const Json& status) {
  const Json instance = GetMember(status, "instance");
  std::printf(
      "%s  %s  ready=%s draining=%s settings=%s free_slots=%s\n",
      ToString(target).c_str(), GetText(instance, "data_centre").c_str(),
      GetText(status, "ready").c_str(), GetText(status, "draining").c_str(),
      GetText(status, "settings_revision").c_str(),
      GetText(status, "free_slots").c_str());
  PrintRow({"worker", "state", "in_use/slots", "slowness"});
  for (const Json& worker : GetMember(status, "workers")) {
    PrintRow({GetText(worker, "address"), GetText(worker, "state"),
              GetText(worker, "in_use") + "/" + GetText(worker, "slots"),
              GetText(worker, "slowness")});
  }
  PrintRow({"peer", "data_centre", "draining", "free_slots"});
  for (const Json& peer : GetMember(status, "peers")) {
    PrintRow({GetText(peer, "peers"), GetText(peer, "data_centre"),
              GetText(peer, "draining"), GetText(peer, "free_slots")});
  }
  const Json stats = GetMember(status, "stats");
  for (const auto& [name, value] : stats.items()) {
    std::printf("%-32s %s\n", name.c_str(), ToJsonText(value).c_str());
  }
}

}  // namespace

int RunStatus(const Arguments& words) {
  TargetOptions target_options;
  bool json = false;
  po::options_description all(
      "gentiandeal status --to IP:PORT [OPTIONS]\n"
      "Shows workers, peers, settings and counters of entry instances");
  AddTargetOptions(&all, &target_options);
  all.add_options()("json", po::bool_switch(&json),
                    "print one JSON document for each instance");
  if (const auto end = ParseArguments(words, "status", all)) return *end;
  std::vector<Address> targets;
  if (const auto end = ReadTargets(target_options, "status", &targets)) {
    return *end;
  }
  int code = kExitOk;
  for (const Address& target : targets) {
    const HttpResponse response =
        Fetch(target, {"GET", "/v1/status", {}, ""}, kRequestTimeout);
    const Json status = Json::parse(response.body_, nullptr, false);
    if (!response.complete_ || !status.is_object()) {
      std::cerr << "gentiandeal status: " << ToString(target)
                << " does not answer; check the address and /healthz\n";
      code = kExitUnavailable;
      continue;
    }
    if (json) {
      std::cout << response.body_ << std::endl;
    } else {
      PrintTable(target, status);
    }
  }
  return code;
}

}  // namespace gentiandeal
