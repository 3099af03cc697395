#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

#include "command_line.h"
#include "http_client.h"

namespace gentiandeal {
namespace {

namespace po = boost::program_options;
using Json = nlohmann::json;

constexpr Duration kTimeout{2000};

/// Text of a member, whatever its type; empty when absent.
std::string Text(const Json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end()) return {};
  return found->is_string() ? found->get<std::string>() : found->dump();
}

Json Member(const Json& object, const char* key) {
  const auto found = object.find(key);
  return found == object.end() ? Json() : *found;
}

void PrintRow(std::initializer_list<std::string> cells) {
  constexpr int kWidth = 22;
  for (const std::string& cell : cells) {
    std::printf("%-*s ", kWidth, cell.c_str());
  }
  std::printf("\n");
}

void PrintTable(const Address& target, const Json& status) {
  const Json instance = Member(status, "instance");
  std::printf("%s  %s  ready=%s draining=%s settings=%s free_slots=%s\n",
              ToString(target).c_str(), Text(instance, "data_centre").c_str(),
              Text(status, "ready").c_str(), Text(status, "draining").c_str(),
              Text(status, "settings_revision").c_str(),
              Text(status, "free_slots").c_str());
  PrintRow({"worker", "state", "in_use/slots", "slowness"});
  for (const Json& worker : Member(status, "workers")) {
    PrintRow({Text(worker, "address"), Text(worker, "state"),
              Text(worker, "in_use") + "/" + Text(worker, "slots"),
              Text(worker, "slowness")});
  }
  PrintRow({"peer", "data_centre", "draining", "free_slots"});
  for (const Json& peer : Member(status, "peers")) {
    PrintRow({Text(peer, "peers"), Text(peer, "data_centre"),
              Text(peer, "draining"), Text(peer, "free_slots")});
  }
  const Json stats = Member(status, "stats");
  for (const auto& [name, value] : stats.items()) {
    std::printf("%-32s %s\n", name.c_str(), value.dump().c_str());
  }
}

}  // namespace

int RunStatus(const Words& words) {
  TargetOptions target_options;
  bool json = false;
  po::options_description all(
      "gentiandeal status --to IP:PORT [OPTIONS]\n"
      "Shows what an entry instance sees: workers, peers, settings, counters");
  AddTargetOptions(&all, &target_options);
  all.add_options()("json", po::bool_switch(&json),
                    "print one JSON document for each instance");
  if (const auto end = ReadWords(words, "status", all)) return *end;
  std::vector<Address> targets;
  if (const auto end = ReadTargets(target_options, "status", &targets)) {
    return *end;
  }
  int code = kExitOk;
  for (const Address& target : targets) {
    const HttpResponse response =
        Fetch(target, {"GET", "/v1/status", {}, ""}, kTimeout);
    const Json status = Json::parse(response.body_, nullptr, false);
    if (!response.whole_ || !status.is_object()) {
      std::cerr << "gentiandeal status: " << ToString(target)
                << " does not answer: check the address and /healthz\n";
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
