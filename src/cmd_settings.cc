#include <array>
#include <boost/program_options.hpp>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

#include "commands.h"
#include "json_text.h"
#include "settings_store.h"

namespace gentiandeal {
namespace {

namespace po = boost::program_options;
using Json = nlohmann::ordered_json;

constexpr char kInstanceService[] = "gentiandeal";
constexpr Duration kInstanceTimeout{1000};

/// Options of all actions of the subcommand.
struct Options {
  bool json_ = false;
  std::string path_;
  Address platform_;
  std::vector<Address> instances_;
  bool without_instances_ = false;
  std::string branch_;
  std::string file_;
  bool remove_ = false;
  std::string author_;
  std::string change_id_;
  Duration timeout_{10000};
  uint32_t count_ = 50;
};

int ExitCodeFor(const std::error_code& error) {
  if (!error || error == Errc::kSettingsUnchanged) return kExitOk;
  if (error == Errc::kSettingsConflict) return kExitConflict;
  if (error == Errc::kReplyLost) return kExitMayHaveRun;
  if (error == Errc::kPlatformUnavailable) return kExitUnavailable;
  if (error == Errc::kPlatformBadAnswer) return kExitUnavailable;
  return kExitFailed;
}

Json ToJson(const Diagnostics& diagnostics) {
  Json list = Json::array();
  for (const Diagnostic& diagnostic : diagnostics) {
    list.push_back({{"file", diagnostic.file_},
                    {"line", diagnostic.line_},
                    {"section", diagnostic.section_},
                    {"key", diagnostic.key_},
                    {"message", diagnostic.message_}});
  }
  return list;
}

/// Prints an error with its diagnostics. @returns the exit code.
int PrintError(const Options& options, const std::error_code& error,
               const Diagnostics& diagnostics,
               const std::string& change_id = {}) {
  const auto code = static_cast<Errc>(error.value());
  if (options.json_) {
    Json line = {{"error", Name(code)}, {"message", error.message()}};
    if (!change_id.empty()) line["change"] = change_id;
    if (!diagnostics.empty()) line["faults"] = ToJson(diagnostics);
    std::cout << ToJsonText(line) << "\n";
    return ExitCodeFor(error);
  }
  for (const Diagnostic& diagnostic : diagnostics) {
    std::cerr << ToString(diagnostic) << "\n";
  }
  std::cerr << "gentiandeal: " << error.message() << "\n";
  if (!change_id.empty()) std::cerr << "change " << change_id << "\n";
  return ExitCodeFor(error);
}

int Check(const Options& options) {
  Settings settings;
  Diagnostics diagnostics;
  const std::error_code error =
      LoadSettings(options.path_, &settings, &diagnostics);
  if (error) return PrintError(options, error, diagnostics);
  if (options.json_) {
    std::cout << ToJsonText({{"branches", settings.teams_.size()}}) << "\n";
  } else {
    std::cout << "valid, branches: " << settings.teams_.size() << "\n";
  }
  return kExitOk;
}

/// Reads the settings from the instances if any are given, else from the store.
std::error_code ReadSettingsContent(const Options& options,
                                    SettingsContent* out,
                                    Diagnostics* diagnostics) {
  if (options.instances_.empty()) {
    return SettingsStore(options.platform_).ReadContent(out, diagnostics);
  }
  NewestInstanceSettings newest =
      FetchNewestSettings(options.instances_, kInstanceTimeout);
  if (newest.answered_ == 0) return Errc::kPlatformUnavailable;
  *out = std::move(newest.content_);
  return {};
}

int ShowBranch(const Options& options, const SettingsContent& content) {
  const auto values = ListEffectiveValues(content.branches_, options.branch_);
  if (values.empty()) {
    return PrintError(options, Errc::kUnknownTeam, {});
  }
  Json list = Json::array();
  std::string section;
  for (const EffectiveValue& value : values) {
    const std::string origin =
        value.origin_.empty() ? "default" : value.origin_;
    list.push_back({{"section", value.section_},
                    {"key", value.key_},
                    {"value", value.value_},
                    {"origin", origin}});
    if (options.json_) continue;
    if (value.section_ != section) std::cout << "[" << value.section_ << "]\n";
    section = value.section_;
    std::cout << value.key_ << " = " << value.value_ << "  ; " << origin
              << "\n";
  }
  if (!options.json_) return kExitOk;
  std::cout << ToJsonText({{"revision", content.revision_.value_},
                           {"branch", options.branch_},
                           {"values", std::move(list)}})
            << "\n";
  return kExitOk;
}

int Show(const Options& options) {
  SettingsContent content;
  Diagnostics diagnostics;
  const std::error_code error =
      ReadSettingsContent(options, &content, &diagnostics);
  if (error) return PrintError(options, error, diagnostics);
  if (!options.branch_.empty()) return ShowBranch(options, content);
  if (options.json_) {
    std::cout << ToJsonText({{"revision", content.revision_.value_},
                             {"branches", content.branches_}})
              << "\n";
    return kExitOk;
  }
  std::cout << "revision " << content.revision_.value_ << "\n";
  for (const auto& [path, text] : content.branches_) {
    std::cout << "\n; branch " << path << "\n" << text;
  }
  return kExitOk;
}

std::string NewChangeId() {
  std::random_device device;
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%08x%08x%08x%08x", device(),
                device(), device(), device());
  return text.data();
}

std::string UtcTimestamp() {
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text.data();
}

/// Instances to ask for their newest settings: those of `--instance`, or else
/// those in the platform's list.
std::error_code FindInstances(const Options& options, SettingsStore* store,
                              std::vector<Address>* out) {
  if (!options.instances_.empty()) {
    *out = options.instances_;
    return {};
  }
  std::vector<ListedService> services;
  const std::error_code error = store->List(kInstanceService, &services);
  for (const ListedService& service : services) {
    out->push_back(service.address_);
  }
  return error;
}

/// Fetches the newest settings that any instance holds, so that an edit never
/// reuses a revision number that the store has lost.
std::error_code FindNewestContent(const Options& options, SettingsStore* store,
                                  SettingsContent* out) {
  if (options.without_instances_) return {};
  std::vector<Address> instances;
  const std::error_code error = FindInstances(options, store, &instances);
  if (error || instances.empty()) return error;
  NewestInstanceSettings newest =
      FetchNewestSettings(instances, kInstanceTimeout);
  if (newest.answered_ == 0) {
    std::cerr << "gentiandeal: no instance answers, so the highest revision "
                 "is not known; try again, or pass --without-instances\n";
    return Errc::kPlatformUnavailable;
  }
  *out = std::move(newest.content_);
  return {};
}

int Apply(const Options& options) {
  BranchEdit edit;
  edit.id_ = options.change_id_.empty() ? NewChangeId() : options.change_id_;
  edit.branch_ = options.branch_;
  edit.author_ = options.author_;
  edit.timestamp_ = UtcTimestamp();
  if (!options.remove_) {
    std::string text;
    const std::error_code error = ReadTextFile(options.file_, &text);
    if (error) {
      std::cerr << "gentiandeal: " << options.file_ << ": " << error.message()
                << "\n";
      return kExitUsage;
    }
    edit.text_ = std::move(text);
  }
  const std::string id = edit.id_;
  SettingsStore store(options.platform_);
  SettingsContent newest;
  if (const auto error = FindNewestContent(options, &store, &newest)) {
    return PrintError(options, error, {});
  }
  SettingsEditor editor(std::move(edit), std::move(newest));
  const EditEnded ended = store.Run(&editor, options.timeout_);
  if (ended.error_) {
    return PrintError(options, ended.error_, editor.diagnostics(), id);
  }
  if (options.json_) {
    std::cout << ToJsonText(
                     {{"revision", ended.revision_.value_}, {"change", id}})
              << "\n";
  } else {
    std::cout << "revision " << ended.revision_.value_ << ", change " << id
              << "\n";
  }
  return kExitOk;
}

void PrintRecord(const Options& options, const ChangeRecord& record) {
  if (options.json_) {
    std::cout << WriteRecord(record) << "\n";
    return;
  }
  std::cout << "revision " << record.revision_.value_ << "  "
            << record.timestamp_ << "  " << record.author_ << "  "
            << record.branch_ << "  change " << record.id_ << "\n";
  const auto print = [](const char* head,
                        const std::optional<std::string>& text) {
    std::cout << head << (text ? "\n" + *text : " none\n");
  };
  print("before:", record.before_);
  print("after:", record.after_);
}

/// Reads change records, newest first: those embedded in the settings document,
/// then older ones from their own keys in the store.
class ChangeHistoryReader {
 public:
  ChangeHistoryReader(SettingsStore* store, const SettingsContent& content)
      : store_(store), embedded_changes_(content.changes_) {}

  /// Sets `out` to the next older record, or to nothing after the last.
  /// @returns an error, and no record, when a record can't be read.
  std::error_code Next(std::optional<ChangeRecord>* out) {
    out->reset();
    if (!embedded_changes_.empty()) {
      last_record_ = std::move(embedded_changes_.back());
      embedded_changes_.pop_back();
      *out = last_record_;
      return {};
    }
    if (last_record_.previous_id_.empty()) return {};
    StoreValue value;
    const Revision revision{last_record_.revision_.value_ - 1};
    std::error_code error =
        store_->Read(RecordKey(revision, last_record_.previous_id_), &value);
    if (error) return error;
    error = ReadRecord(value.value_, &last_record_);
    if (!error) *out = last_record_;
    return error;
  }

 private:
  SettingsStore* store_;
  std::vector<ChangeRecord> embedded_changes_;
  ChangeRecord last_record_;
};

int History(const Options& options) {
  SettingsStore store(options.platform_);
  SettingsContent content;
  Diagnostics diagnostics;
  std::error_code error = store.ReadContent(&content, &diagnostics);
  if (error) return PrintError(options, error, diagnostics);
  ChangeHistoryReader reader(&store, content);
  std::optional<ChangeRecord> record;
  for (uint32_t printed = 0; printed < options.count_;) {
    error = reader.Next(&record);
    if (error) return PrintError(options, error, {});
    if (!record) break;
    if (!options.branch_.empty() && record->branch_ != options.branch_) {
      continue;
    }
    PrintRecord(options, *record);
    ++printed;
  }
  return kExitOk;
}

/// Action of `gentiandeal settings`.
struct Action {
  std::string_view name_;
  std::string_view help_;
  bool needs_platform_ = true;  ///< Needs --platform; show takes --instance.
  int (*run_)(const Options& options);
};

constexpr Action kActions[] = {
    {"check", "check FILE|DIR: check a settings tree on disk", false, &Check},
    {"show", "show [--branch B]: show the settings in the store", true, &Show},
    {"apply", "apply --branch B --file F --author NAME: change one branch",
     true, &Apply},
    {"history", "history [--branch B]: show changes, the newest first", true,
     &History},
};

po::options_description DescribeOptions(std::string_view action) {
  po::options_description all("Options");
  auto add = all.add_options();
  add("help,h", "show this help");
  add("json", "print JSON");
  if (action == "check") {
    add("path", po::value<std::string>(), "file or directory");
    return all;
  }
  add("platform", po::value<std::string>(), "address of the platform, IP:PORT");
  add("branch", po::value<std::string>(), "path of the branch; / is the root");
  if (action != "history") {
    add("instance", po::value<std::vector<std::string>>(),
        "address of an instance to ask, IP:PORT; may be repeated");
  }
  if (action == "history") {
    add("count", po::value<uint32_t>()->default_value(50),
        "maximum number of records");
  }
  if (action == "apply") {
    add("file", po::value<std::string>(), "INI text of the branch");
    add("remove", "remove the branch instead");
    add("author", po::value<std::string>(), "author for the audit record");
    add("change-id", po::value<std::string>(),
        "id of a change whose reply was lost, to look it up or resume it");
    add("without-instances",
        "apply without asking instances for the newest revision");
    add("timeout", po::value<std::string>()->default_value("10s"),
        "time limit of the change");
  }
  return all;
}

std::string GetText(const po::variables_map& values, const char* name) {
  return values.count(name) != 0 ? values[name].as<std::string>() : "";
}

bool IsChangeId(std::string_view text) {
  constexpr size_t kMaxBytes = 64;
  return text.size() <= kMaxBytes &&
         text.find_first_not_of("0123456789abcdefghijklmnopqrstuvwxyz-") ==
             std::string_view::npos;
}

/// Reads the parsed options into `out`. @returns an error message, or an empty
/// string.
std::string ReadOptions(const po::variables_map& values, Options* out) {
  out->json_ = values.count("json") != 0;
  out->remove_ = values.count("remove") != 0;
  out->without_instances_ = values.count("without-instances") != 0;
  out->path_ = GetText(values, "path");
  out->branch_ = GetText(values, "branch");
  out->file_ = GetText(values, "file");
  out->author_ = GetText(values, "author");
  out->change_id_ = GetText(values, "change-id");
  if (!IsChangeId(out->change_id_)) return "--change-id is not valid";
  if (values.count("count") != 0) out->count_ = values["count"].as<uint32_t>();
  const std::string platform = GetText(values, "platform");
  if (!platform.empty() && ParseAddress(platform, &out->platform_)) {
    return "--platform: write IP:PORT";
  }
  if (values.count("instance") != 0) {
    for (const auto& text : values["instance"].as<std::vector<std::string>>()) {
      Address address;
      if (ParseAddress(text, &address)) return "--instance: write IP:PORT";
      out->instances_.push_back(std::move(address));
    }
  }
  if (values.count("timeout") == 0) return {};
  std::string message;
  const auto limit = ParseValue(GetText(values, "timeout"),
                                ValueType::kDuration, {1, 600000}, &message);
  if (!limit) return "--timeout: " + message;
  out->timeout_.ms_ = static_cast<int64_t>(*limit);
  return {};
}

/// Checks the options that `action` needs. @returns an error message, or an
/// empty string.
std::string CheckOptions(const Action& action, const Options& options) {
  if (action.name_ == "check" && options.path_.empty()) {
    return "a file or directory is missing";
  }
  const bool from_instance =
      action.name_ == "show" && !options.instances_.empty();
  if (action.needs_platform_ && options.platform_.port_ == 0 &&
      !from_instance) {
    return "--platform is missing";
  }
  if (!options.branch_.empty()) {
    if (const auto message = CheckBranchPath(options.branch_)) return *message;
  }
  if (action.name_ != "apply") return {};
  constexpr size_t kMaxAuthorBytes = 128;
  if (options.branch_.empty()) return "--branch is missing";
  if (options.author_.empty()) return "--author is missing";
  if (options.author_.size() > kMaxAuthorBytes) return "--author is too long";
  if (options.file_.empty() != options.remove_) {
    return "exactly one of --file and --remove is required";
  }
  return {};
}

int RunAction(const Action& action, const Arguments& words) {
  const po::options_description option_descriptions =
      DescribeOptions(action.name_);
  po::positional_options_description positional;
  if (action.name_ == "check") positional.add("path", 1);
  Options options;
  std::string message;
  try {
    po::variables_map values;
    po::store(po::command_line_parser(words)
                  .options(option_descriptions)
                  .positional(positional)
                  .run(),
              values);
    if (values.count("help") != 0) {
      std::cout << "Usage: gentiandeal settings " << action.help_ << "\n\n"
                << option_descriptions;
      return kExitOk;
    }
    message = ReadOptions(values, &options);
  } catch (const po::error& error) {
    message = error.what();
  }
  if (message.empty()) message = CheckOptions(action, options);
  if (message.empty()) return action.run_(options);
  std::cerr << "gentiandeal: " << message << "; see gentiandeal settings "
            << action.name_ << " --help\n";
  return kExitUsage;
}

int PrintUsage(std::ostream& out, int code) {
  out << "Usage: gentiandeal settings ACTION [OPTIONS]\n\nActions:\n";
  for (const Action& action : kActions) out << "  " << action.help_ << "\n";
  return code;
}

}  // namespace

int RunSettings(const Arguments& words) {
  if (words.empty()) return PrintUsage(std::cerr, kExitUsage);
  if (words[0] == "--help" || words[0] == "-h") {
    return PrintUsage(std::cout, kExitOk);
  }
  for (const Action& action : kActions) {
    if (action.name_ != words[0]) continue;
    return RunAction(action, Arguments(words.begin() + 1, words.end()));
  }
  return PrintUsage(std::cerr, kExitUsage);
}

}  // namespace gentiandeal
