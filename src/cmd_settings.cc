#include <array>
#include <boost/program_options.hpp>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

#include "commands.h"
#include "settings_store.h"

namespace gentiandeal {
namespace {

namespace po = boost::program_options;
using Json = nlohmann::ordered_json;

constexpr char kInstanceService[] = "gentiandeal";
constexpr Duration kInstanceTimeout{1000};

/// Options of all forms of the command.
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
  Duration limit_{10000};
  uint32_t count_ = 50;
};

int ExitOf(const std::error_code& error) {
  if (!error || error == Errc::kSettingsUnchanged) return kExitOk;
  if (error == Errc::kSettingsConflict) return kExitConflict;
  if (error == Errc::kReplyLost) return kExitMayHaveRun;
  if (error == Errc::kPlatformUnavailable) return kExitUnavailable;
  if (error == Errc::kPlatformBadAnswer) return kExitUnavailable;
  return kExitFailed;
}

Json ToJson(const Diagnostics& faults) {
  Json list = Json::array();
  for (const Diagnostic& fault : faults) {
    list.push_back({{"file", fault.file_},
                    {"line", fault.line_},
                    {"section", fault.section_},
                    {"key", fault.key_},
                    {"message", fault.message_}});
  }
  return list;
}

/// Tells an error with all its faults. @returns the exit code.
int Fail(const Options& options, const std::error_code& error,
         const Diagnostics& faults, const std::string& change_id = {}) {
  const auto code = static_cast<Errc>(error.value());
  if (options.json_) {
    Json line = {{"error", Name(code)}, {"message", error.message()}};
    if (!change_id.empty()) line["change"] = change_id;
    if (!faults.empty()) line["faults"] = ToJson(faults);
    std::cout << line.dump() << "\n";
    return ExitOf(error);
  }
  for (const Diagnostic& fault : faults) std::cerr << ToString(fault) << "\n";
  std::cerr << "gentiandeal: " << error.message() << "\n";
  if (!change_id.empty()) std::cerr << "change " << change_id << "\n";
  return ExitOf(error);
}

int Check(const Options& options) {
  Settings settings;
  Diagnostics faults;
  const std::error_code error = LoadSettings(options.path_, &settings, &faults);
  if (error) return Fail(options, error, faults);
  if (options.json_) {
    std::cout << Json{{"branches", settings.teams_.size()}}.dump() << "\n";
  } else {
    std::cout << "valid, branches: " << settings.teams_.size() << "\n";
  }
  return kExitOk;
}

/// Reads from an instance where one is named, else from the store.
std::error_code ReadContent(const Options& options, SettingsContent* out,
                            Diagnostics* faults) {
  if (options.instances_.empty()) {
    return SettingsStore(options.platform_).ReadContent(out, faults);
  }
  HeldSettings held = AskInstances(options.instances_, kInstanceTimeout);
  if (held.answered_ == 0) return Errc::kPlatformUnavailable;
  *out = std::move(held.content_);
  return {};
}

int ShowBranch(const Options& options, const SettingsContent& content) {
  const auto values = ListEffectiveValues(content.branches_, options.branch_);
  if (values.empty()) {
    return Fail(options, Errc::kUnknownTeam, {});
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
  std::cout << Json{{"revision", content.revision_.value_},
                    {"branch", options.branch_},
                    {"values", std::move(list)}}
                   .dump()
            << "\n";
  return kExitOk;
}

int Show(const Options& options) {
  SettingsContent content;
  Diagnostics faults;
  const std::error_code error = ReadContent(options, &content, &faults);
  if (error) return Fail(options, error, faults);
  if (!options.branch_.empty()) return ShowBranch(options, content);
  if (options.json_) {
    std::cout << Json{{"revision", content.revision_.value_},
                      {"branches", content.branches_}}
                     .dump()
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

std::string NowText() {
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text.data();
}

/// Instances to ask for the highest revision held: those named, or those that
/// the platform lists.
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

/// Asks the instances, so that an edit never reuses a revision number that
/// the store forgot.
std::error_code FindHeld(const Options& options, SettingsStore* store,
                         SettingsContent* out) {
  if (options.without_instances_) return {};
  std::vector<Address> instances;
  const std::error_code error = FindInstances(options, store, &instances);
  if (error || instances.empty()) return error;
  HeldSettings held = AskInstances(instances, kInstanceTimeout);
  if (held.answered_ == 0) {
    std::cerr << "gentiandeal: no instance answers, so the highest revision "
                 "is not known: try again, or apply --without-instances\n";
    return Errc::kPlatformUnavailable;
  }
  *out = std::move(held.content_);
  return {};
}

int Apply(const Options& options) {
  BranchEdit edit;
  edit.id_ = options.change_id_.empty() ? NewChangeId() : options.change_id_;
  edit.branch_ = options.branch_;
  edit.who_ = options.author_;
  edit.when_ = NowText();
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
  SettingsContent held;
  if (const auto error = FindHeld(options, &store, &held)) {
    return Fail(options, error, {});
  }
  SettingsEditor editor(std::move(edit), std::move(held));
  const EditEnded ended = store.Run(&editor, options.limit_);
  if (ended.error_) return Fail(options, ended.error_, editor.faults(), id);
  if (options.json_) {
    std::cout
        << Json{{"revision", ended.revision_.value_}, {"change", id}}.dump()
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
  std::cout << "revision " << record.revision_.value_ << "  " << record.when_
            << "  " << record.who_ << "  " << record.branch_ << "  change "
            << record.id_ << "\n";
  const auto print = [](const char* head,
                        const std::optional<std::string>& text) {
    std::cout << head << (text ? "\n" + *text : " none\n");
  };
  print("before:", record.before_);
  print("after:", record.after_);
}

/// Records from the newest, out of the document and then by their own keys.
class HistoryWalk {
 public:
  HistoryWalk(SettingsStore* store, const SettingsContent& content)
      : store_(store), kept_(content.changes_) {}

  /// @returns an error, with no record, when the trail can't be followed.
  std::error_code Next(std::optional<ChangeRecord>* out) {
    out->reset();
    if (!kept_.empty()) {
      last_ = std::move(kept_.back());
      kept_.pop_back();
      *out = last_;
      return {};
    }
    if (last_.previous_.empty()) return {};
    StoreValue value;
    const Revision revision{last_.revision_.value_ - 1};
    std::error_code error =
        store_->Read(RecordKey(revision, last_.previous_), &value);
    if (error) return error;
    error = ReadRecord(value.value_, &last_);
    if (!error) *out = last_;
    return error;
  }

 private:
  SettingsStore* store_;
  std::vector<ChangeRecord> kept_;
  ChangeRecord last_;
};

int History(const Options& options) {
  SettingsStore store(options.platform_);
  SettingsContent content;
  Diagnostics faults;
  std::error_code error = store.ReadContent(&content, &faults);
  if (error) return Fail(options, error, faults);
  HistoryWalk walk(&store, content);
  std::optional<ChangeRecord> record;
  for (uint32_t printed = 0; printed < options.count_;) {
    error = walk.Next(&record);
    if (error) return Fail(options, error, {});
    if (!record) break;
    if (!options.branch_.empty() && record->branch_ != options.branch_) {
      continue;
    }
    PrintRecord(options, *record);
    ++printed;
  }
  return kExitOk;
}

struct Form {
  std::string_view name_;
  std::string_view help_;
  bool platform_ = true;  ///< Needs --platform, or --instance for show.
  int (*run_)(const Options& options);
};

constexpr Form kForms[] = {
    {"check", "check FILE|DIR: check a settings tree on disk", false, &Check},
    {"show", "show [--branch B]: show the settings in the store", true, &Show},
    {"apply", "apply --branch B --file F --author NAME: change one branch",
     true, &Apply},
    {"history", "history [--branch B]: show changes, the newest first", true,
     &History},
};

po::options_description Describe(std::string_view form) {
  po::options_description all("Options");
  auto add = all.add_options();
  add("help,h", "show this help");
  add("json", "print JSON");
  if (form == "check") {
    add("path", po::value<std::string>(), "file or directory");
    return all;
  }
  add("platform", po::value<std::string>(), "address of the platform, IP:PORT");
  add("branch", po::value<std::string>(), "path of the branch; / is the root");
  if (form != "history") {
    add("instance", po::value<std::vector<std::string>>(),
        "address of an instance to ask, IP:PORT; may be repeated");
  }
  if (form == "history") {
    add("count", po::value<uint32_t>()->default_value(50), "most records");
  }
  if (form == "apply") {
    add("file", po::value<std::string>(), "INI text of the branch");
    add("remove", "remove the branch instead");
    add("author", po::value<std::string>(), "name for the audit record");
    add("change-id", po::value<std::string>(),
        "id of a change whose reply was lost, to look it up or go on");
    add("without-instances", "apply though no instance can be asked");
    add("timeout", po::value<std::string>()->default_value("10s"),
        "give up after this time");
  }
  return all;
}

std::string Text(const po::variables_map& values, const char* name) {
  return values.count(name) != 0 ? values[name].as<std::string>() : "";
}

bool IsChangeId(std::string_view text) {
  constexpr size_t kMaxBytes = 64;
  return text.size() <= kMaxBytes &&
         text.find_first_not_of("0123456789abcdefghijklmnopqrstuvwxyz-") ==
             std::string_view::npos;
}

/// Reads addresses and the time limit. @returns a fault or an empty string.
std::string ReadValues(const po::variables_map& values, Options* out) {
  out->json_ = values.count("json") != 0;
  out->remove_ = values.count("remove") != 0;
  out->without_instances_ = values.count("without-instances") != 0;
  out->path_ = Text(values, "path");
  out->branch_ = Text(values, "branch");
  out->file_ = Text(values, "file");
  out->author_ = Text(values, "author");
  out->change_id_ = Text(values, "change-id");
  if (!IsChangeId(out->change_id_)) return "--change-id is not valid";
  if (values.count("count") != 0) out->count_ = values["count"].as<uint32_t>();
  const std::string platform = Text(values, "platform");
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
  std::string fault;
  const auto limit =
      ParseValue(Text(values, "timeout"), Unit::kDuration, {1, 600000}, &fault);
  if (!limit) return "--timeout: " + fault;
  out->limit_.ms_ = static_cast<int64_t>(*limit);
  return {};
}

std::string CheckValues(const Form& form, const Options& options) {
  if (form.name_ == "check" && options.path_.empty()) {
    return "name a file or directory";
  }
  const bool from_instance =
      form.name_ == "show" && !options.instances_.empty();
  if (form.platform_ && options.platform_.port_ == 0 && !from_instance) {
    return "--platform is missing";
  }
  if (!options.branch_.empty()) {
    if (const auto fault = CheckBranchPath(options.branch_)) return *fault;
  }
  if (form.name_ != "apply") return {};
  constexpr size_t kMaxAuthorBytes = 128;
  if (options.branch_.empty()) return "--branch is missing";
  if (options.author_.empty()) return "--author is missing";
  if (options.author_.size() > kMaxAuthorBytes) return "--author is too long";
  if (options.file_.empty() != options.remove_) {
    return "give either --file or --remove";
  }
  return {};
}

int RunForm(const Form& form, const Words& words) {
  const po::options_description described = Describe(form.name_);
  po::positional_options_description positional;
  if (form.name_ == "check") positional.add("path", 1);
  Options options;
  std::string fault;
  try {
    po::variables_map values;
    po::store(po::command_line_parser(words)
                  .options(described)
                  .positional(positional)
                  .run(),
              values);
    if (values.count("help") != 0) {
      std::cout << "Usage: gentiandeal settings " << form.help_ << "\n\n"
                << described;
      return kExitOk;
    }
    fault = ReadValues(values, &options);
  } catch (const po::error& error) {
    fault = error.what();
  }
  if (fault.empty()) fault = CheckValues(form, options);
  if (fault.empty()) return form.run_(options);
  std::cerr << "gentiandeal: " << fault << "; see gentiandeal settings "
            << form.name_ << " --help\n";
  return kExitUsage;
}

int PrintUsage(std::ostream& out, int code) {
  out << "Usage: gentiandeal settings FORM [OPTIONS]\n\nForms:\n";
  for (const Form& form : kForms) out << "  " << form.help_ << "\n";
  return code;
}

}  // namespace

int RunSettings(const Words& words) {
  if (words.empty()) return PrintUsage(std::cerr, kExitUsage);
  if (words[0] == "--help" || words[0] == "-h") {
    return PrintUsage(std::cout, kExitOk);
  }
  for (const Form& form : kForms) {
    if (form.name_ != words[0]) continue;
    return RunForm(form, Words(words.begin() + 1, words.end()));
  }
  return PrintUsage(std::cerr, kExitUsage);
}

}  // namespace gentiandeal
