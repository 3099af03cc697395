#define BOOST_TEST_NO_MAIN
#include <boost/program_options.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <list>
#include <map>
#include <optional>
#include <set>

#include "evacuations.h"
#include "fault_plan.h"
#include "kept_callers.h"
#include "process/hosted_process.h"
#include "soak_record.h"

/// Runs instances, workers and callers as processes, injects seeded faults
/// from outside, and judges by what the stand-in workers and the callers saw.
namespace gentiandeal::soak {
namespace {

using process::Caller;
using process::Folder;
using process::HostedInstanceProcess;
using process::kPatience;
using process::Process;
using process::Proxy;
using process::WaitUntil;

constexpr Duration kCallerWaits{kDeadlineMs};
constexpr Duration kResendAfter{1300};
constexpr size_t kMaxAttempts = 4;
constexpr Duration kStep{4};
/// From the last planned job to the judgement.
constexpr Duration kSettleLimit{12000};
/// Time an instance serves between two faults of its process.
constexpr Duration kProcessRest{2500};
/// How long before a job the faults that are printed with it begin.
constexpr Duration kFaultsBefore{4000};
/// From long jobs to the end of the process that they are meant for.
constexpr Duration kLongJobsAhead{250};
constexpr int64_t kOutlastsLingerMs = 2750;
/// Stops meet calls of the store that are under way.
constexpr char kSlowStore[] = "store_answer_ms=30&";
constexpr size_t kMaxLogLines = 60;
constexpr size_t kMaxPrinted = 5;

struct Options {
  Extent extent_;
  int seeds_ = 1;
  std::string faults_ = "all";
  std::string logs_ = "hosted_soak_logs";
};

bool Contains(const std::vector<std::string>& kinds, const char* kind) {
  return std::count(kinds.begin(), kinds.end(), kind) > 0;
}

/// One seed's processes, callers and judgement.
class Soak {
 public:
  Soak(const Extent& extent, const std::vector<std::string>& kinds,
       std::string logs)
      : extent_(extent),
        plan_(DrawPlan(extent, kinds)),
        logs_(std::move(logs)),
        draw_(extent.seed_ * 31 + 7),
        kept_(extent.seed_),
        centres_(Contains(kinds, kEvacuations) ? 2 : 1),
        changes_configuration_(Contains(kinds, kChanges)),
        platform_("standin_hosted",
                  {"--workers", std::to_string(extent.workers_), "--views",
                   std::to_string(extent.instances_), "--slow-clocks",
                   "--centres", std::to_string(centres_)}) {
    std::filesystem::remove_all(logs_);
    std::filesystem::create_directories(logs_);
  }

  void Run() {
    StartInstances();
    begin_ = clock_.Now();
    for (const Fault& fault : plan_.faults_) {
      Later(begin_ + fault.at_, [this, &fault] { Apply(fault); });
    }
    for (const PlannedJob& job : plan_.jobs_) {
      Later(begin_ + job.at_, [this, &job] { SendNew(job); });
    }
    const Time end = begin_ + extent_.length_;
    while (clock_.Now() < end || !Settled()) {
      if (clock_.Now() > end + kSettleLimit) break;
      caller_.RunUntil([] { return false; }, kStep);
      RunTimers();
      for (auto& [id, job] : jobs_) Advance(&job);
      kept_.Step(clock_.Now(), [&] { return MakeRequest(NextId(), 1, 40); });
    }
    StopInstances();
    BOOST_TEST(Judge() == 0, "seed " << extent_.seed_ << " breaks a rule");
  }

 private:
  struct Instance {
    size_t store_path_ = 0;
    size_t caller_path_ = 0;
    Address callers_;
    std::map<int, size_t> peer_paths_;  ///< To other instances.
    std::vector<size_t> worker_paths_;
    std::unique_ptr<HostedInstanceProcess> process_;
    bool busy_ = false;  ///< With a fault of its process.
    Time rests_until_;
  };

  // Nothing is read from the store before it shows the relays' addresses, so
  // that no path goes past its relay.
  void StartInstances() {
    Control("faults?store_down=1");
    const std::vector<Address> stores = platform_.AllAt("stores");
    instances_.resize(static_cast<size_t>(extent_.instances_));
    for (int i = 0; i < extent_.instances_; ++i) {
      Instance& one = At(i);
      Address store;
      one.store_path_ = proxy_.Add(stores[static_cast<size_t>(i)], &store);
      one.process_ = std::make_unique<HostedInstanceProcess>(
          folder_, FullInstanceName(i), store, "rpc", "info", LogFile(i),
          centres_ > 1 ? Centre(i) : "");
      one.caller_path_ = proxy_.Add(one.process_->callers(), &one.callers_);
    }
    for (int i = 0; i < extent_.instances_; ++i) {
      for (const Address& worker : platform_.AllAt("workers")) {
        At(i).worker_paths_.push_back(Relay(i, worker));
      }
      for (int j = 0; j < extent_.instances_; ++j) {
        if (j == i) continue;
        At(i).peer_paths_[j] = Relay(i, At(j).process_->links());
      }
    }
    SendPlatformFaults();
    for (Instance& one : instances_) {
      BOOST_REQUIRE(WaitUntil([&] { return one.process_->Ready(); }));
      BOOST_REQUIRE(WaitUntil([&] { return Serves(one); }));
    }
    for (const Instance& one : instances_) {
      if (changes_configuration_) kept_.Add(one.process_->callers());
    }
  }

  /// Relays an address that one instance reads in the store.
  size_t Relay(int instance, const Address& to) {
    Address shown;
    const size_t path = proxy_.Add(to, &shown);
    Control("address?view=" + std::to_string(instance) +
            "&from=" + ToString(to) + "&to=" + ToString(shown));
    return path;
  }

  bool Serves(const Instance& instance) {
    const HttpRequest request = MakeRequest(NextId(), 1, 5);
    return Fetch(instance.callers_, request, Duration{2000}).status_ == 200;
  }

  Instance& At(int index) { return instances_[static_cast<size_t>(index)]; }

  std::string LogFile(int instance) const {
    return logs_ + "/" + InstanceName(instance) + ".log";
  }

  Json Control(const std::string& what, const std::string& method = "PUT") {
    const HttpResponse answer =
        Fetch(platform_.At("control"), {method, "/standin/" + what, {}, ""},
              kPatience);
    BOOST_REQUIRE_EQUAL(answer.status_, 200);
    return Json::parse(answer.body_);
  }

  // Timers.

  void Later(Time when, std::function<void()> call) {
    timers_.emplace(when, std::move(call));
  }

  void RunTimers() {
    while (!timers_.empty() && timers_.begin()->first <= clock_.Now()) {
      const auto call = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      call();
    }
  }

  // Callers.

  std::string NextId() {
    char id[17];
    std::snprintf(id, sizeof(id), "%08llx%08llx",
                  static_cast<unsigned long long>(extent_.seed_),
                  static_cast<unsigned long long>(++last_job_));
    return id;
  }

  void SendNew(const PlannedJob& planned) {
    const std::string id = NextId();
    Job& job = jobs_[id];
    job.id_ = id;
    job.request_ = MakeRequest(id, planned.tasks_, planned.run_ms_);
    Send(&job, planned.instance_);
  }

  void Send(Job* job, int instance) {
    Attempt attempt;
    attempt.instance_ = instance;
    attempt.sent_ = clock_.Now();
    attempt.index_ =
        caller_.Send(At(instance).callers_, job->request_, kCallerWaits);
    job->attempts_.push_back(attempt);
    job->send_again_at_.reset();
  }

  void Advance(Job* job) {
    const Time now = clock_.Now();
    if (job->send_again_at_ && now >= *job->send_again_at_) {
      return Send(job,
                  static_cast<int>(draw_.Between(0, extent_.instances_ - 1)));
    }
    Attempt& last = job->attempts_.back();
    if (last.status_ >= 0 || !caller_.Answered(last.index_)) return;
    last.status_ = caller_.Answer(last.index_).status_;
    last.ended_ = now;
    const bool lost =
        last.status_ == 0 || last.status_ == 502 || last.status_ == 504;
    if (lost && job->attempts_.size() < kMaxAttempts) {
      job->send_again_at_ = now + kResendAfter;
    }
  }

  bool Settled() const {
    if (!timers_.empty()) return false;
    return std::all_of(jobs_.begin(), jobs_.end(), [](const auto& entry) {
      const Job& job = entry.second;
      return job.attempts_.back().status_ >= 0 && !job.send_again_at_;
    });
  }

  // Faults.

  void Note(const std::string& text) { done_.emplace_back(clock_.Now(), text); }

  void Apply(const Fault& fault) {
    const size_t dash = fault.kind_.find('-');
    const std::string path = fault.kind_.substr(0, dash);
    const std::string what =
        dash == std::string::npos ? "" : fault.kind_.substr(dash + 1);
    Instance& one = At(fault.instance_);
    std::vector<size_t> pairs;
    std::string to;
    if (path == "caller") {
      pairs = {one.caller_path_};
      to = "callers";
    } else if (path == "peer" && !one.peer_paths_.empty()) {
      pairs = {one.peer_paths_.at(fault.other_)};
      to = InstanceName(fault.other_);
      if (fault.wide_) {
        pairs.clear();
        for (const auto& [other, pair] : one.peer_paths_) {
          pairs.push_back(pair);
        }
        to = "all";
      }
    } else if (path == "worker") {
      pairs = {one.worker_paths_[static_cast<size_t>(fault.worker_)]};
      to = "i-" + std::to_string(fault.worker_);
      if (fault.wide_) {
        pairs = one.worker_paths_;
        to = "all";
      }
    } else if (path == "store" && fault.kind_ != "store-down" &&
               fault.kind_ != "store-mute" && fault.kind_ != "store-stale") {
      pairs = {one.store_path_};
      to = "store";
    }
    if (pairs.empty()) return ApplyToPrograms(fault);
    if (fault.hits_store()) evacuations_.LoseContact(clock_.Now());
    const std::string disturbance = Disturbance(fault, what);
    for (const size_t pair : pairs) proxy_.Disturb(pair, disturbance);
    Note(fault.kind_ + " " + InstanceName(fault.instance_) + "-" + to + " " +
         disturbance);
  }

  void ApplyToPrograms(const Fault& fault) {
    if (fault.kind_ == "stop-short") {
      return Stop(fault, fault.short_ms_, fault.repeats_);
    }
    if (fault.kind_ == "stop-long") return Stop(fault, fault.long_ms_, 1);
    if (fault.kind_ == "kill" || fault.kind_ == "term") return EndOne(fault);
    if (fault.kind_.rfind("crash", 0) == 0) return Crash(fault);
    if (fault.kind_ == kEvacuations) return Evacuate(fault);
    if (fault.kind_ == kChanges) return ChangeConfiguration(fault);
    const std::string worker = "worker=" + std::to_string(fault.worker_);
    if (fault.kind_ == "restart-worker") {
      const int64_t entry_ms = fault.wide_ ? fault.short_ms_ : 0;
      return ChangePlatform(
          fault, "restart?" + worker + "&entry_ms=" + std::to_string(entry_ms));
    }
    if (fault.kind_ == "store-stale") {
      ChangePlatform(fault, "restart?" + worker +
                                "&entry_ms=" + std::to_string(fault.long_ms_));
      return SetPlatformFault(fault, "store_down=1", fault.hold_ms_);
    }
    const char* share = fault.wide_ ? "=0.3" : "=1&";
    const std::string late = (fault.wide_ ? std::string() : worker) +
                             "&late_ms=" + std::to_string(fault.hold_ms_);
    std::string faults;
    if (fault.kind_ == "late-starts") faults = "silent" + (share + late);
    if (fault.kind_ == "late-stops") faults = "silent_stops" + (share + late);
    if (fault.kind_ == "late-polls") faults = "silent_polls" + (share + late);
    if (fault.kind_ == "store-down") faults = "store_down=1";
    if (fault.kind_ == "store-mute") faults = "store_silent=1";
    SetPlatformFault(fault, faults, fault.long_ms_);
  }

  void ChangePlatform(const Fault& fault, const std::string& change) {
    Control(change);
    Note(fault.kind_ + " " + change);
  }

  /// Versions in series.
  void ChangeConfiguration(const Fault& fault) {
    for (int64_t i = 0; i < fault.repeats_; ++i) {
      Later(clock_.Now() + Duration{i * fault.short_ms_}, [this, &fault] {
        ChangePlatform(fault, "config?" + DrawLimits(&draw_));
      });
    }
  }

  void Evacuate(const Fault& fault) {
    if (evacuations_.any_at(clock_.Now())) return;
    const std::string key = "=op/evacuate/" + Centre(fault.worker_);
    ChangePlatform(fault, "key?set" + key);
    const Time now = clock_.Now();
    Later(evacuations_.Begin(Centre(fault.worker_), now, fault.long_ms_),
          [=, this, &fault] { ChangePlatform(fault, "key?remove" + key); });
  }

  /// Faults of the platform overlap; each ends after its own time.
  void SetPlatformFault(const Fault& fault, const std::string& query,
                        int64_t ms) {
    const auto entry = platform_faults_.insert(platform_faults_.end(), query);
    SendPlatformFaults();
    if (fault.hits_store()) evacuations_.LoseContact(clock_.Now());
    Note(fault.kind_ + " " + query + " for " + std::to_string(ms) + " ms");
    Later(clock_.Now() + Duration{ms}, [this, entry] {
      platform_faults_.erase(entry);
      SendPlatformFaults();
    });
  }

  void SendPlatformFaults() {
    std::string query = kSlowStore;
    for (const std::string& one : platform_faults_) query += one + "&";
    Control("faults?" + query);
  }

  bool TakeProcess(const Fault& fault) {
    Instance& one = At(fault.instance_);
    if (one.busy_ || clock_.Now() < one.rests_until_) return false;
    one.busy_ = true;
    return true;
  }

  void ReturnProcess(int instance) {
    At(instance).busy_ = false;
    At(instance).rests_until_ = clock_.Now() + kProcessRest;
  }

  void Stop(const Fault& fault, int64_t ms, int64_t times) {
    if (!TakeProcess(fault)) return;
    Time at = clock_.Now();
    const int instance = fault.instance_;
    for (int64_t i = 0; i < times; ++i) {
      Later(at, [this, instance, ms] {
        At(instance).process_->process().Signal(SIGSTOP);
        evacuations_.LoseContact(clock_.Now());
        Note("stop " + InstanceName(instance) + " " + std::to_string(ms) +
             " ms");
      });
      at = at + Duration{ms};
      Later(at, [this, instance] {
        At(instance).process_->process().Signal(SIGCONT);
        Note("continue " + InstanceName(instance));
      });
      at = at + Duration{draw_.Between(20, 300)};
    }
    Later(at, [this, instance] { ReturnProcess(instance); });
  }

  void EndOne(const Fault& fault) {
    if (!TakeProcess(fault)) return;
    const int instance = fault.instance_;
    const int signal = fault.kind_ == "kill" ? SIGKILL : SIGTERM;
    Time at = clock_.Now();
    if (signal == SIGTERM) {
      // Runs that outlast the time for which a drained instance lingers.
      SendLongJobs((instance + 1) % extent_.instances_, kOutlastsLingerMs);
      at = at + kLongJobsAhead;
    }
    Later(at, [this, &fault, instance, signal] {
      Signal(instance, signal);
      Note(fault.kind_ + " " + InstanceName(instance));
      AwaitEnd(instance, Duration{fault.wide_ ? 0 : fault.hold_ms_});
    });
  }

  void Signal(int instance, int signal) {
    HostedInstanceProcess& process = *At(instance).process_;
    if (signal == SIGKILL) kept_.Excuse(process.callers());
    process.process().Signal(signal);
  }

  void SendLongJobs(int instance, int64_t run_ms) {
    constexpr int kJobs = 3;
    constexpr int kTasks = 2;
    for (int i = 0; i < kJobs; ++i) SendNew({{}, instance, kTasks, run_ms});
  }

  /// A machine that is lost: its callers learn of it, its peers only by its
  /// silence. With `crash-late`, what it sent last arrives late, and mostly one
  /// of the peers stands still shortly before it would notice.
  void Crash(const Fault& fault) {
    constexpr int64_t kExtraHoldMs = 250;
    constexpr int64_t kPeerStopsMs = 600;  // After the bytes have arrived.
    constexpr int64_t kLongMs = 2400;
    if (!TakeProcess(fault)) return;
    const int instance = fault.instance_;
    Time at = clock_.Now();
    if (fault.kind_ == "crash-late") {
      // Long runs at the peers, in progress when the callers send again.
      SendLongJobs(instance, kLongMs);
      at = at + kLongJobsAhead;
      const int64_t hold_ms = fault.short_ms_ + kExtraHoldMs;
      Later(at,
            [this, instance, hold_ms] { HoldPeerPaths(instance, hold_ms); });
      if (fault.close_ || fault.wide_) {
        Fault stop = fault;
        stop.instance_ = fault.other_;
        Later(at + Duration{hold_ms + kPeerStopsMs},
              [this, stop] { Stop(stop, stop.short_ms_, 1); });
      }
      at = at + Duration{draw_.Between(0, hold_ms / 2)};
    }
    const Duration down{fault.long_ms_};
    Later(at, [this, instance, down] {
      Silence(instance);
      Signal(instance, SIGKILL);
      proxy_.Disturb(At(instance).caller_path_, "what=reset");
      Note("crash " + InstanceName(instance));
      AwaitEnd(instance, down);
    });
  }

  /// What the instance sends to its peers arrives late.
  void HoldPeerPaths(int instance, int64_t ms) {
    for (const auto& [other, pair] : At(instance).peer_paths_) {
      proxy_.Disturb(pair, "what=hold&way=up&ms=" + std::to_string(ms));
    }
    Note("hold " + InstanceName(instance) + "-all " + std::to_string(ms) +
         " ms");
  }

  /// Ends all open connections of an instance but its callers' without a sign.
  void Silence(int instance) {
    std::vector<size_t> pairs = At(instance).worker_paths_;
    pairs.push_back(At(instance).store_path_);
    for (const auto& [other, pair] : At(instance).peer_paths_) {
      pairs.push_back(pair);
      pairs.push_back(At(other).peer_paths_.at(instance));
    }
    for (const size_t pair : pairs) proxy_.Disturb(pair, "what=silence");
  }

  void AwaitEnd(int instance, Duration down) {
    constexpr Duration kLook{5};
    Later(clock_.Now() + kLook, [this, instance, down] {
      Process& ending = At(instance).process_->process();
      if (ending.WaitExit(Duration{0}) < 0) return AwaitEnd(instance, down);
      NoteEnd(instance);
      Later(clock_.Now() + down, [this, instance] {
        At(instance).process_->Restart("info");
        Note("start " + InstanceName(instance));
        ReturnProcess(instance);
      });
    });
  }

  /// Records how the process of an instance has ended.
  void NoteEnd(int instance) {
    const std::string& fault = At(instance).process_->process().fault();
    if (fault.empty()) return;
    ++bad_ends_;
    std::cout << "instance " << InstanceName(instance) << " at "
              << Clock(clock_.Now()) << ": " << fault << "\n";
  }

  void StopInstances() {
    // A signal before `main` begins ends any process.
    for (const Instance& one : instances_) {
      WaitUntil([&] { return one.process_->Ready(); });
    }
    for (Instance& one : instances_) one.process_->process().Signal(SIGTERM);
    for (int i = 0; i < extent_.instances_; ++i) {
      if (At(i).process_->process().WaitExit() < 0) {
        ++bad_ends_;
        std::cout << "instance " << InstanceName(i) << " runs on\n";
      }
      NoteEnd(i);
    }
  }

  // Judgement.

  /// @returns the number of broken rules.
  size_t Judge() {
    const Json report = Control("runs", "GET");
    std::map<std::string, std::vector<Json>> runs;
    for (const Json& run : report["runs"]) runs[JobOf(run)].push_back(run);
    size_t answered = 0;
    size_t again = 0;
    size_t refused = 0;
    std::set<std::string> failed;
    for (const auto& [id, job] : jobs_) {
      answered += job.attempts_.back().status_ == 200 ? 1 : 0;
      again += job.attempts_.size() > 1 ? 1 : 0;
      if (!RanThoughRefused(job, runs[id])) continue;
      ++refused;
      std::cout << "refused, but a task started: job " << id << "\n";
      failed.insert(id);
    }
    size_t evacuated = 0;
    for (const Json& run : report["runs"]) {
      const int worker = std::stoi(run["worker"].get<std::string>().substr(2));
      const Time began{run["began"].get<int64_t>()};
      if (!evacuations_.Forbid(Centre(worker), began)) continue;
      ++evacuated;
      std::cout << "began in an evacuated data centre:" << Text(run) << "\n";
      failed.insert(JobOf(run));
    }
    const Json& overlaps = report["overlaps"];
    for (const Json& pair : overlaps) {
      std::cout << "two runs at once: " << pair[0]["task"].get<std::string>()
                << Text(pair[0]) << "\n  while" << Text(pair[1]) << "\n";
      failed.insert(JobOf(pair[0]));
    }
    const auto overbooked = report["overbooked"].get<size_t>();
    std::cout << "seed " << extent_.seed_ << ": " << jobs_.size() << " jobs, "
              << answered << " answered 200, " << again << " sent again, "
              << report["starts"] << " runs, " << done_.size()
              << " fault steps; two runs at once " << overlaps.size()
              << ", overbooked " << overbooked << ", refused but ran "
              << refused << ", evacuations " << evacuations_.count()
              << ", began there " << evacuated << ", bad ends " << bad_ends_
              << ", answered on kept connections " << kept_.answered()
              << ", lost there " << kept_.lost() << std::endl;
    size_t printed = 0;
    for (const std::string& id : failed) {
      if (++printed <= kMaxPrinted) PrintJob(id, runs[id]);
    }
    const size_t broken = overlaps.size() + overbooked + refused + evacuated +
                          bad_ends_ + kept_.lost();
    if (broken == 0) {
      std::filesystem::remove_all(logs_);
    } else {
      std::cout << "logs: " << logs_ << std::endl;
    }
    return broken;
  }

  void PrintJob(const std::string& id, const std::vector<Json>& runs) const {
    std::cout << "job " << id << "\n";
    const auto found = jobs_.find(id);
    Time from = begin_;
    if (found != jobs_.end()) {
      from = found->second.attempts_.front().sent_;
      for (const Attempt& attempt : found->second.attempts_) {
        std::cout << "  sent to " << InstanceName(attempt.instance_) << " "
                  << Clock(attempt.sent_) << ", " << attempt.status_ << " at "
                  << Clock(attempt.ended_) << "\n";
      }
    }
    for (const Json& run : runs) {
      std::cout << "  " << run["task"].get<std::string>() << Text(run) << "\n";
    }
    Time until = from;
    for (const Json& run : runs) {
      until = std::max(until, Time{run["began"].get<int64_t>()});
    }
    for (const auto& [time, text] : done_) {
      if (time < from - kFaultsBefore || time > until) continue;
      std::cout << "  fault " << Clock(time) << " " << text << "\n";
    }
    size_t lines = 0;
    for (int i = 0; i < extent_.instances_; ++i) {
      std::ifstream log(LogFile(i));
      for (std::string line; std::getline(log, line);) {
        if (line.find(id) == std::string::npos) continue;
        if (++lines > kMaxLogLines) return;
        std::cout << "  " << InstanceName(i) << ": " << line << "\n";
      }
    }
    std::cout << std::flush;
  }

  Extent extent_;
  Plan plan_;
  std::string logs_;
  Draw draw_;
  KeptCallers kept_;
  int centres_;
  bool changes_configuration_;
  Evacuations evacuations_;
  MonotonicClock clock_;
  Folder folder_;
  Process platform_;
  Proxy proxy_;
  std::vector<Instance> instances_;
  Caller caller_;
  Time begin_;
  uint64_t last_job_ = 0;
  size_t bad_ends_ = 0;  ///< Of instances' processes.
  std::map<std::string, Job> jobs_;
  std::multimap<Time, std::function<void()>> timers_;
  std::vector<std::pair<Time, std::string>> done_;
  std::list<std::string> platform_faults_;
};

Options options;

bool RegisterSeeds() {
  const std::vector<std::string> kinds = FaultKinds(options.faults_);
  for (int i = 0; i < options.seeds_; ++i) {
    Extent extent = options.extent_;
    extent.seed_ += static_cast<uint64_t>(i);
    const std::string name = "seed_" + std::to_string(extent.seed_);
    const auto run = [extent, kinds, logs = options.logs_ + "/" + name] {
      Soak(extent, kinds, logs).Run();
    };
    boost::unit_test::framework::master_test_suite().add(
        boost::unit_test::make_test_case(run, name, __FILE__, __LINE__));
  }
  return true;
}

int Main(int argc, char** argv) {
  namespace po = boost::program_options;
  std::signal(SIGPIPE, SIG_IGN);
  po::options_description all("Random soak of instances with faults");
  Extent& extent = options.extent_;
  int64_t seconds = extent.length_.ms_ / 1000;
  auto add = all.add_options();
  add("help", "show this text");
  add("seed", po::value(&extent.seed_), "first seed");
  add("seeds", po::value(&options.seeds_), "number of seeds, one by one");
  add("seconds", po::value(&seconds), "length of each");
  add("instances", po::value(&extent.instances_), "at most 26");
  add("workers", po::value(&extent.workers_), "in all");
  add("gap-ms", po::value(&extent.fault_gap_.ms_), "mean gap between faults");
  add("faults", po::value(&options.faults_),
      "kinds or beginnings of their names, separated by commas");
  add("logs", po::value(&options.logs_), "folder for failing seeds' logs");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, all), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  if (values.count("help") > 0 || FaultKinds(options.faults_).empty()) {
    std::cout << all << "kinds:";
    for (const std::string& kind : AllFaultKinds()) std::cout << " " << kind;
    std::cout << std::endl;
    return values.count("help") > 0 ? 0 : 2;
  }
  extent.length_ = Duration{seconds * 1000};
  char level[] = "--log_level=error";
  char* words[] = {argv[0], level};
  return boost::unit_test::unit_test_main(&RegisterSeeds, 2, words);
}

}  // namespace
}  // namespace gentiandeal::soak

int main(int argc, char** argv) { return gentiandeal::soak::Main(argc, argv); }
