#include "command_line.h"

#include <iostream>

namespace gentiandeal {
namespace {

namespace po = boost::program_options;

bool IsLoopback(const Address& address) {
  return address.host_.rfind("127.", 0) == 0 || address.host_ == "::1";
}

}  // namespace

void AddTargetOptions(po::options_description* options, TargetOptions* out,
                      const char* to_help) {
  auto add = options->add_options();
  add("help,h", "show this text");
  add("to", po::value(&out->address_texts_)->composing()->value_name("IP:PORT"),
      to_help);
  add("allow-remote", po::bool_switch(&out->allow_remote_),
      "allow addresses other than loopback");
}

std::optional<int> ParseArguments(const Arguments& words,
                                  const std::string& name,
                                  const po::options_description& options,
                                  const std::string& operand) {
  po::positional_options_description operands;
  if (!operand.empty()) operands.add(operand.c_str(), 1);
  try {
    po::variables_map values;
    po::store(po::command_line_parser(words)
                  .options(options)
                  .positional(operands)
                  .run(),
              values);
    if (values.count("help") > 0) {
      std::cout << options;
      return kExitOk;
    }
    po::notify(values);
  } catch (const po::error& error) {
    return PrintUsageError(name, error.what());
  }
  return std::nullopt;
}

std::optional<int> ReadTargets(const TargetOptions& options,
                               const std::string& name,
                               std::vector<Address>* out) {
  if (options.address_texts_.empty()) {
    return PrintUsageError(name, "--to IP:PORT is missing");
  }
  for (const std::string& text : options.address_texts_) {
    Address address;
    if (const auto error = ParseAddress(text, &address)) {
      return PrintUsageError(name, text + ": " + error.message());
    }
    if (!options.allow_remote_ && !IsLoopback(address)) {
      return PrintUsageError(name, text +
                                       " is not a loopback address; pass "
                                       "--allow-remote to call it");
    }
    out->push_back(address);
  }
  return std::nullopt;
}

int PrintUsageError(const std::string& name, const std::string& message) {
  std::cerr << "gentiandeal " << name << ": " << message << "\nSee gentiandeal "
            << name << " --help.\n";
  return kExitUsage;
}

}  // namespace gentiandeal
