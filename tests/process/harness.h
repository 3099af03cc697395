#ifndef GENTIANDEAL_TESTS_PROCESS_HARNESS_H_
#define GENTIANDEAL_TESTS_PROCESS_HARNESS_H_

#include <sys/types.h>

#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "gentiandeal_p.h"
#include "http_client.h"

/// Starts and steers real processes, and speaks to them as a caller does.
namespace gentiandeal::process {

/// Longest wait for anything that is bound to happen.
inline constexpr Duration kPatience{10000};

/// Fresh folder for the files of one test, removed with its content.
class Folder {
 public:
  Folder();
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  std::string Path(const std::string& name) const { return path_ + "/" + name; }
  /// Writes a file. @returns its path.
  std::string Write(const std::string& name, const std::string& content) const;

 private:
  std::string path_;
};

/// Content of a file, empty when it can't be read.
std::string ReadFile(const std::string& path);

/// One child process, killed and reaped at the latest by its destructor. It is
/// also killed by the kernel when the test program ends in any other way.
class Process {
 public:
  /// Starts a program of the build folder. Its standard error goes to the
  /// test's own; standard input stays open until it is destroyed.
  /// @param output_file File that standard output is appended to instead of
  /// the pipe that `StartUpLine` and `ReadOutput` read.
  Process(const std::string& program, const std::vector<std::string>& words,
          const std::string& output_file = "");
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Waits for the start-up line and reads it. Fails the test when it does
  /// not come.
  const nlohmann::json& StartUpLine();
  /// Address under `key` of the start-up line.
  Address At(const std::string& key);
  /// Addresses under `key` of the start-up line.
  std::vector<Address> AllAt(const std::string& key);

  void Signal(int number);
  /// Waits for the end. @returns the exit status, 128 + signal when killed, or
  /// -1 when the process still runs at the end of `patience`.
  int WaitExit(Duration patience = kPatience);
  /// Everything written to standard output until its end.
  std::string ReadOutput();
  /// Kills the process unless it has ended, and reaps it.
  void Kill();
  /// How it has ended otherwise than by the signals sent to it: with status 0
  /// after SIGTERM, killed by nothing but SIGKILL. Each such end also fails the
  /// test. Empty while it runs.
  const std::string& fault() const { return fault_; }

  pid_t pid() const { return pid_; }
  /// Resident memory, in KiB.
  int64_t ResidentKib() const;

 private:
  bool ReadLine(std::string* line);
  /// @param program_decides Whether any exit status will do where no signal
  ///     has been sent.
  void OnReaped(int status, bool program_decides);

  std::string program_;
  pid_t pid_ = -1;
  int status_ = -1;
  bool terminated_ = false;  ///< SIGTERM was sent,
  bool killed_ = false;      ///< or SIGKILL.
  std::string fault_;
  int input_ = -1;
  int output_ = -1;
  std::string unread_;
  nlohmann::json start_up_;
};

/// Calls `holds` until it is true. @returns false when it was not within
/// `patience`.
bool WaitUntil(const std::function<bool()>& holds,
               Duration patience = kPatience);

/// Caller with any number of open requests.
class Caller {
 public:
  Caller();
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  /// @returns the index of the request for `Answered` and `Answer`.
  size_t Send(const Address& to, const HttpRequest& request,
              Duration timeout = kPatience);
  /// Closes the connection of an open request.
  void GiveUp(size_t index);
  /// Runs the loop until `holds` or the end of `patience`.
  bool RunUntil(const std::function<bool()>& holds,
                Duration patience = kPatience);
  /// Runs the loop until every request is answered, failed or given up.
  bool WaitAll(Duration patience = kPatience);

  bool Answered(size_t index) const { return slots_[index].done_; }
  /// Meaningful once answered.
  const HttpResponse& Answer(size_t index) const {
    return slots_[index].response_;
  }
  size_t open() const { return client_->open(); }

 private:
  struct Slot {
    bool done_ = false;
    HttpClient::ExchangeId exchange_ = 0;
    HttpResponse response_;
  };
  event_base* base_;
  std::unique_ptr<HttpClient> client_;
  std::deque<Slot> slots_;
};

/// Values of a boot file; empty ones are left out.
struct BootFile {
  std::string data_centre_ = "rennes";
  std::string region_ = "bretagne";
  Address callers_{"127.0.0.1", 0};
  Address peers_{"127.0.0.1", 0};
  Address peers_advertised_;
  Address platform_;
  std::string service_ = "dossier";
  std::vector<Address> seed_workers_;
  std::vector<Address> seed_peers_;
  std::string linger_ = "1s";
  std::string limit_ = "10s";
  std::string settings_file_;
  uint32_t memory_mb_ = 0;
};
std::string ToIni(const BootFile& boot);

/// One start as a worker logged it.
struct LoggedStart {
  std::string task_id_;
  std::string method_;
  std::string path_;
  uint16_t port_ = 0;
};
std::vector<LoggedStart> ReadStarts(const std::string& log);

/// Workers of one process with their common log.
class Workers {
 public:
  Workers(const Folder& folder, uint32_t count, uint32_t slots = 8);
  std::vector<Address> addresses() { return process_.AllAt("addresses"); }
  /// @param worker Index, or -1 for all. @param faults Query such as
  /// `fail_ms=1&times=3`; empty ends all faults.
  void SetFaults(int worker, const std::string& faults);
  std::vector<LoggedStart> starts() const { return ReadStarts(log_); }
  size_t StartsOf(const std::string& path) const;
  Process& process() { return process_; }

 private:
  std::string log_;
  Process process_;
};

/// Links through one fault-injecting proxy.
class Proxy {
 public:
  Proxy() : process_("standin_proxy", {"--exit-on-eof"}) {}
  /// Adds a pair. @param address Set to the address that stands for `target`.
  /// @returns the index of the pair.
  size_t Add(const Address& target, Address* address);
  /// @param faults Query such as `mode=cut`; empty passes everything.
  void SetFaults(size_t pair, const std::string& faults);
  /// @param disturbance Query such as `what=hold&way=up&ms=300`.
  void Disturb(size_t pair, const std::string& disturbance);

 private:
  Process process_;
};

/// One entry instance.
class Instance {
 public:
  Instance(const Folder& folder, const BootFile& boot);
  Address callers() { return process_.At("callers"); }
  Address peers() { return process_.At("peers"); }
  Process& process() { return process_; }
  bool Ready();
  nlohmann::json Status();
  /// Waits until it serves and knows this many workers and peers.
  bool WaitFor(size_t workers, size_t peers);

 private:
  Process process_;
};

}  // namespace gentiandeal::process

#endif  // GENTIANDEAL_TESTS_PROCESS_HARNESS_H_
