#include "harness.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

namespace gentiandeal::process {
namespace {

constexpr int kPollMs = 2;

/// Programs lie beside the test program unless the environment says otherwise.
std::string ProgramPath(const std::string& program) {
  const char* folder = getenv("GENTIANDEAL_BIN_DIR");
  if (folder != nullptr) return std::string(folder) + "/" + program;
  return std::filesystem::read_symlink("/proc/self/exe")
      .replace_filename(program)
      .string();
}

[[noreturn]] void Exec(const std::string& path,
                       const std::vector<std::string>& words, pid_t parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(127);
  std::vector<char*> argv{const_cast<char*>(path.c_str())};
  for (const std::string& word : words) {
    argv.push_back(const_cast<char*>(word.c_str()));
  }
  argv.push_back(nullptr);
  execv(path.c_str(), argv.data());
  _exit(127);
}

int ExitStatus(int status) {
  constexpr int kSignalBase = 128;
  return WIFEXITED(status) ? WEXITSTATUS(status)
                           : kSignalBase + WTERMSIG(status);
}

void WriteList(const char* key, const std::vector<Address>& addresses,
               std::ostream* out) {
  for (const Address& address : addresses) {
    *out << key << " = " << ToString(address) << "\n";
  }
}

void Pause() { poll(nullptr, 0, kPollMs); }

}  // namespace

Folder::Folder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "gentiandeal-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::system_error(errno, std::generic_category(),
                            "no temporary folder " + pattern);
  }
  path_ = pattern;
}

Folder::~Folder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

std::string Folder::Write(const std::string& name,
                          const std::string& content) const {
  std::ofstream(Path(name)) << content;
  return Path(name);
}

std::string ReadFile(const std::string& path) {
  std::ostringstream content;
  content << std::ifstream(path).rdbuf();
  return content.str();
}

Process::Process(const std::string& program,
                 const std::vector<std::string>& words,
                 const std::string& output_file)
    : program_(program) {
  const std::string path = ProgramPath(program);
  int input[2];
  int output[2];
  if (pipe2(input, O_CLOEXEC) != 0 || pipe2(output, O_CLOEXEC) != 0) {
    throw std::runtime_error("no pipe");
  }
  constexpr mode_t kLogMode = 0644;
  const int file =
      output_file.empty()
          ? -1
          : open(output_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                 kLogMode);
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) {
    dup2(input[0], STDIN_FILENO);
    dup2(file >= 0 ? file : output[1], STDOUT_FILENO);
    Exec(path, words, parent);
  }
  if (file >= 0) close(file);
  close(input[0]);
  close(output[1]);
  input_ = input[1];
  output_ = output[0];
}

Process::~Process() {
  Kill();
  close(input_);
  close(output_);
}

bool Process::ReadLine(std::string* line) {
  const Time end = MonotonicClock().Now() + kPatience;
  while (unread_.find('\n') == std::string::npos) {
    pollfd wanted{output_, POLLIN, 0};
    const Duration left = end - MonotonicClock().Now();
    if (left.ms_ <= 0) return false;
    if (poll(&wanted, 1, static_cast<int>(left.ms_)) <= 0) return false;
    char bytes[4096];
    const ssize_t got = read(output_, bytes, sizeof(bytes));
    if (got <= 0) return false;
    unread_.append(bytes, static_cast<size_t>(got));
  }
  const size_t end_of_line = unread_.find('\n');
  *line = unread_.substr(0, end_of_line);
  unread_.erase(0, end_of_line + 1);
  return true;
}

const nlohmann::json& Process::StartUpLine() {
  if (!start_up_.is_null()) return start_up_;
  std::string line;
  BOOST_REQUIRE_MESSAGE(ReadLine(&line), "no start-up line from " << pid_);
  start_up_ = nlohmann::json::parse(line);
  return start_up_;
}

Address Process::At(const std::string& key) {
  Address address;
  BOOST_REQUIRE(
      !ParseAddress(StartUpLine().at(key).get<std::string>(), &address));
  return address;
}

std::vector<Address> Process::AllAt(const std::string& key) {
  std::vector<Address> addresses;
  for (const auto& text : StartUpLine().at(key)) {
    BOOST_REQUIRE(
        !ParseAddress(text.get<std::string>(), &addresses.emplace_back()));
  }
  return addresses;
}

void Process::Signal(int number) {
  if (pid_ <= 0) return;
  terminated_ = terminated_ || number == SIGTERM;
  killed_ = killed_ || number == SIGKILL;
  kill(pid_, number);
}

void Process::OnReaped(int status, bool program_decides) {
  const pid_t pid = std::exchange(pid_, -1);
  status_ = ExitStatus(status);
  const bool expected =
      WIFSIGNALED(status)
          ? killed_ && WTERMSIG(status) == SIGKILL
          : status_ == 0 || (program_decides && !terminated_ && !killed_);
  if (expected) return;
  fault_ = program_ + " " + std::to_string(pid) + " ended with status " +
           std::to_string(status_);
  BOOST_ERROR(fault_);
}

int Process::WaitExit(Duration patience) {
  WaitUntil(
      [&] {
        if (pid_ <= 0) return true;
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
        OnReaped(status, /*program_decides=*/true);
        return true;
      },
      patience);
  return status_;
}

std::string Process::ReadOutput() {
  std::string output = std::move(unread_);
  char bytes[4096];
  for (;;) {
    const ssize_t got = read(output_, bytes, sizeof(bytes));
    if (got <= 0) return output;
    output.append(bytes, static_cast<size_t>(got));
  }
}

void Process::Kill() {
  if (pid_ <= 0) return;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) {
    Signal(SIGKILL);
    waitpid(pid_, &status, 0);
  }
  OnReaped(status, /*program_decides=*/false);
}

int64_t Process::ResidentKib() const {
  std::istringstream lines(
      ReadFile("/proc/" + std::to_string(pid_) + "/status"));
  std::string line;
  while (std::getline(lines, line)) {
    if (line.rfind("VmRSS:", 0) == 0) return std::stoll(line.substr(6));
  }
  return -1;
}

bool WaitUntil(const std::function<bool()>& holds, Duration patience) {
  const Time end = MonotonicClock().Now() + patience;
  while (!holds()) {
    if (MonotonicClock().Now() >= end) return false;
    Pause();
  }
  return true;
}

Caller::Caller()
    : base_(event_base_new()), client_(std::make_unique<HttpClient>(base_)) {}

Caller::~Caller() {
  client_.reset();
  event_base_free(base_);
}

size_t Caller::Send(const Address& to, const HttpRequest& request,
                    Duration timeout) {
  const size_t index = slots_.size();
  Slot& slot = slots_.emplace_back();
  slot.exchange_ =
      client_->Send(to, request, timeout, [&slot](const HttpResponse& answer) {
        slot.response_ = answer;
        slot.done_ = true;
      });
  return index;
}

void Caller::GiveUp(size_t index) { client_->Cancel(slots_[index].exchange_); }

bool Caller::RunUntil(const std::function<bool()>& holds, Duration patience) {
  const Time end = MonotonicClock().Now() + patience;
  const timeval step{0, kPollMs * 1000};
  while (!holds()) {
    if (MonotonicClock().Now() >= end) return false;
    event_base_loopexit(base_, &step);
    event_base_dispatch(base_);
  }
  return true;
}

bool Caller::WaitAll(Duration patience) {
  return RunUntil([this] { return open() == 0; }, patience);
}

std::string ToIni(const BootFile& boot) {
  std::ostringstream text;
  text << "[instance]\ndata_centre = " << boot.data_centre_
       << "\nregion = " << boot.region_
       << "\ncallers = " << ToString(boot.callers_)
       << "\npeers = " << ToString(boot.peers_) << "\n";
  if (boot.peers_advertised_.port_ != 0) {
    text << "peers_advertised = " << ToString(boot.peers_advertised_) << "\n";
  }
  text << "placement_seed = 1\n[platform]\nservice = " << boot.service_ << "\n";
  if (boot.platform_.port_ != 0) {
    text << "address = " << ToString(boot.platform_) << "\n";
  }
  text << "[seeds]\n";
  WriteList("workers", boot.seed_workers_, &text);
  WriteList("peers", boot.seed_peers_, &text);
  text << "[drain]\nlinger = " << boot.linger_ << "\nlimit = " << boot.limit_
       << "\n";
  text << "[settings]\nwait = 200ms\n";
  if (!boot.settings_file_.empty()) {
    text << "file = " << boot.settings_file_ << "\n";
  }
  if (boot.memory_mb_ > 0) {
    text << "[limits]\nmemory_mb = " << boot.memory_mb_ << "\n";
  }
  return text.str();
}

std::vector<LoggedStart> ReadStarts(const std::string& log) {
  std::vector<LoggedStart> starts;
  std::istringstream lines(ReadFile(log));
  std::string time;
  LoggedStart start;
  while (lines >> time >> start.task_id_ >> start.method_ >> start.path_ >>
         start.port_) {
    starts.push_back(start);
  }
  return starts;
}

Workers::Workers(const Folder& folder, uint32_t count, uint32_t slots)
    : log_(folder.Path("starts-" +
                       std::to_string(reinterpret_cast<uintptr_t>(this)))),
      process_("standin_worker",
               {"--exit-on-eof", "--count", std::to_string(count), "--slots",
                std::to_string(slots), "--log", log_}) {}

void Workers::SetFaults(int worker, const std::string& faults) {
  std::string path = "/standin/faults?worker=" + std::to_string(worker);
  if (!faults.empty()) path += "&" + faults;
  const HttpResponse response =
      Fetch(process_.At("control"), {"PUT", path, {}, ""}, kPatience);
  BOOST_REQUIRE_EQUAL(response.status_, 200);
}

size_t Workers::StartsOf(const std::string& path) const {
  size_t count = 0;
  for (const LoggedStart& start : starts()) count += start.path_ == path;
  return count;
}

size_t Proxy::Add(const Address& target, Address* address) {
  const HttpResponse response =
      Fetch(process_.At("control"),
            {"PUT", "/pairs?target=" + ToString(target), {}, ""}, kPatience);
  BOOST_REQUIRE_EQUAL(response.status_, 200);
  const auto answer = nlohmann::json::parse(response.body_);
  BOOST_REQUIRE(
      !ParseAddress(answer.at("address").get<std::string>(), address));
  return answer.at("pair").get<size_t>();
}

void Proxy::SetFaults(size_t pair, const std::string& faults) {
  std::string path = "/faults?pair=" + std::to_string(pair);
  if (!faults.empty()) path += "&" + faults;
  const HttpResponse response =
      Fetch(process_.At("control"), {"PUT", path, {}, ""}, kPatience);
  BOOST_REQUIRE_EQUAL(response.status_, 200);
}

void Proxy::Disturb(size_t pair, const std::string& disturbance) {
  const std::string path =
      "/disturb?pair=" + std::to_string(pair) + "&" + disturbance;
  const HttpResponse response =
      Fetch(process_.At("control"), {"PUT", path, {}, ""}, kPatience);
  BOOST_REQUIRE_EQUAL(response.status_, 200);
}

Instance::Instance(const Folder& folder, const BootFile& boot)
    : process_("gentiandeal",
               {"serve", "--boot",
                folder.Write(
                    "boot-" + std::to_string(reinterpret_cast<uintptr_t>(this)),
                    ToIni(boot))}) {}

bool Instance::Ready() {
  return Fetch(callers(), {"GET", "/readyz", {}, ""}, kPatience).status_ == 200;
}

nlohmann::json Instance::Status() {
  const HttpResponse response =
      Fetch(callers(), {"GET", "/v1/status", {}, ""}, kPatience);
  return nlohmann::json::parse(response.body_, nullptr, false);
}

bool Instance::WaitFor(size_t workers, size_t peers) {
  return WaitUntil([&] {
    if (!Ready()) return false;
    const nlohmann::json status = Status();
    return status.is_object() &&
           status.value("workers", nlohmann::json::array()).size() == workers &&
           status.value("peers", nlohmann::json::array()).size() == peers;
  });
}

}  // namespace gentiandeal::process
