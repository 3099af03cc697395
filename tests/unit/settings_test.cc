#include "settings.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>

#include "boot_settings.h"
#include "job_json.h"

namespace gentiandeal {
namespace {

/// Parses a tree and returns its diagnostics, one line each.
std::vector<std::string> DiagnosticLinesOf(const BranchTexts& branches) {
  Settings settings;
  Diagnostics diagnostics;
  const std::error_code error =
      ParseSettingsTree(branches, {1}, &settings, &diagnostics);
  BOOST_TEST((error == Errc::kBadSettings) == !diagnostics.empty());
  std::vector<std::string> lines;
  for (const Diagnostic& diagnostic : diagnostics) {
    lines.push_back(ToString(diagnostic));
  }
  return lines;
}

Settings Parse(const BranchTexts& branches) {
  Settings settings;
  Diagnostics diagnostics;
  BOOST_REQUIRE(!ParseSettingsTree(branches, {7}, &settings, &diagnostics));
  return settings;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(BranchesInheritAndOverride) {
  const Settings settings =
      Parse({{"/",
              "[service]\nworker_slots = 4\nejection = on\n"
              "[team]\nweight = 2\nmax_buffered_bytes = 8MiB\n"},
             {"care", "[team]\ndefault_deadline = 3s ; seconds\n"},
             {"care-day", "[team]\nweight = 9\n"},
             {"care/night", "[team]\nweight = 0.5\n"}});
  BOOST_TEST(settings.revision_.value_ == 7);
  BOOST_TEST(settings.service_.worker_slots_ == 4);
  BOOST_TEST(settings.service_.ejection_);
  BOOST_TEST(settings.teams_.size() == 4);
  BOOST_TEST(settings.FindTeam("").value_ == 0);
  BOOST_TEST(settings.FindTeam("/").value_ == 0);
  BOOST_TEST(!settings.FindTeam("care/day").valid());
  const TeamHandle night = settings.FindTeam("care/night");
  BOOST_REQUIRE(night.valid());
  const TeamSettings& team = settings.teams_[night.value_];
  BOOST_TEST(team.name_ == "care/night");
  BOOST_TEST(team.weight_ == 0.5);
  BOOST_TEST(team.default_deadline_.ms_ == 3000);
  BOOST_TEST(team.max_buffered_bytes_ == 8 * 1024 * 1024);
}

BOOST_AUTO_TEST_CASE(AllErrorsOfATreeAreReportedTogether) {
  const auto diagnostics = DiagnosticLinesOf(
      {{"/", "[service]\nworker_slots = 0\nfast = on\n[extra]\na = 1\n"},
       {"care",
        "[team]\nweight = nan\ndefault_deadline = 5\nweight = 1\n"
        "[service]\nejection = on\n"},
       {"care/Night", ""},
       {"desk/day", "[team]\n"},
       {"old", "weight 3\n[team\n" + std::string(300, 'x') + "\n"}});
  // NOLINTBEGIN(bugprone-suspicious-missing-comma): long lines are joined.
  const std::vector<std::string> expected = {
      "old:1: line is neither a section nor a value: write key = value",
      "old:2: section has no closing bracket: write [name]",
      "old:3: line is longer than 197 bytes: shorten it",
      "/:2: [service] worker_slots: '0' is out of range: write 1 to 64",
      "/:5: [extra] a: unknown section: use [team], or [service] in the root",
      "care:2: [team] weight: 'nan' does not parse: write a number such as 1.5",
      "care:3: [team] default_deadline: '5' does not parse: write a time such "
      "as 250ms, 10s or 2min",
      "care:4: [team] weight: is given twice: keep one line",
      "care:6: [service] ejection: [service] belongs to the root: apply it to "
      "branch /",
      "care/Night: branch 'care/Night' is not a valid path: use words of a-z, "
      "0-9, - and _ that start with a letter or digit, joined by /, such as "
      "care/night",
      "desk/day: branch 'desk/day' has no parent: apply 'desk' first"};
  // NOLINTEND(bugprone-suspicious-missing-comma)
  for (const std::string& line : expected) {
    BOOST_TEST(std::count(diagnostics.begin(), diagnostics.end(), line) == 1,
               line);
  }
  BOOST_TEST(diagnostics.size() ==
             expected.size() + 1);  // Plus the unknown key.
}

BOOST_AUTO_TEST_CASE(BranchesCannotExceedTheirParentsLimits) {
  const std::string root = "[team]\ntask_quota = 100\nmax_deadline = 20s\n";
  BOOST_TEST(DiagnosticLinesOf({{"/", root},
                                {"a", "[team]\ntask_quota = 60\n"},
                                {"b", "[team]\ntask_quota = 40\n"},
                                {"c", ""}})
                 .empty());
  // A quota above the parent's (its sum, too: two errors), siblings whose sum
  // is above it, and an unlimited quota under a limited parent.
  BOOST_TEST(
      DiagnosticLinesOf({{"/", root}, {"a", "[team]\ntask_quota = 101\n"}})
          .size() == 2);
  BOOST_TEST(DiagnosticLinesOf({{"/", root},
                                {"a", "[team]\ntask_quota = 60\n"},
                                {"b", "[team]\ntask_quota = 41\n"}})
                 .size() == 1);
  BOOST_TEST(DiagnosticLinesOf({{"/", root}, {"a", "[team]\ntask_quota = 0\n"}})
                 .size() == 1);
  BOOST_TEST(
      DiagnosticLinesOf({{"/", root}, {"a", "[team]\nmax_deadline = 21s\n"}})
          .size() == 1);
  BOOST_TEST(
      DiagnosticLinesOf({{"/", "[team]\ndefault_deadline = 70s\n"}}).size() ==
      1);
}

BOOST_AUTO_TEST_CASE(NumberOfBranchesIsLimited) {
  BranchTexts branches;
  for (uint32_t i = 1; i < config::kMaxTeams; ++i) {
    branches["t" + std::to_string(i)] = "";
  }
  BOOST_TEST(DiagnosticLinesOf(branches).empty());
  branches["one-more"] = "";
  BOOST_TEST(DiagnosticLinesOf(branches).size() == 1);
}

BOOST_AUTO_TEST_CASE(EffectiveValuesNameTheBranchThatSetThem) {
  const BranchTexts branches = {{"/", "[team]\nweight = 2\n"},
                                {"care", "[team]\ntask_quota = 5\n"},
                                {"care/night", ""}};
  std::map<std::string, EffectiveValue> values;
  for (auto& value : ListEffectiveValues(branches, "care/night")) {
    values[value.key_] = value;
  }
  BOOST_TEST(values["weight"].value_ == "2");
  BOOST_TEST(values["weight"].origin_ == "/");
  BOOST_TEST(values["task_quota"].origin_ == "care");
  BOOST_TEST(values["max_deadline"].value_ == "1min");
  BOOST_TEST(values["max_deadline"].origin_.empty());
  BOOST_TEST(!values.contains("worker_slots"));
}

BOOST_AUTO_TEST_CASE(BootFileFillsInitAndReportsAllErrors) {
  Init init;
  Diagnostics diagnostics;
  BOOST_REQUIRE(!ParseBootSettings(
      "boot/rennes.ini",
      "[instance]\ndata_centre = rennes\nregion = bretagne\n"
      "callers = 127.0.0.1:8080\npeers = [::1]:8081\n"
      "[platform]\naddress = 127.0.0.1:8500\nservice = dossier\n"
      "[settings]\nfile = ../settings\nwait = 1s\n"
      "[seeds]\nworkers = 127.0.0.1:1, 127.0.0.1:2\n  127.0.0.1:3\n"
      "[drain]\nlinger = 1s\nlimit = 2min\n"
      "[limits]\nmemory_mb = 160\nmax_body_bytes = 256KiB\n"
      "head_timeout = 3s\n",
      &init, &diagnostics));
  BOOST_TEST(init.data_centre_ == "rennes");
  BOOST_TEST(init.service_ == "dossier");
  BOOST_TEST(init.settings_file_ == "boot/../settings");
  BOOST_TEST(init.seed_workers_.size() == 3);
  BOOST_TEST(init.drain_limit_.ms_ == 120000);
  BOOST_TEST(init.memory_mb_ == 160U);
  BOOST_TEST(init.max_body_bytes_ == 262144U);
  BOOST_TEST(init.head_timeout_.ms_ == 3000);

  const Address before = init.callers_;
  BOOST_TEST((ParseBootSettings("b.ini",
                                "[instance]\ncallers = localhost:1\n"
                                "data_centre = a b\nzone = x\n"
                                "[drain]\nlinger = 5\nlimit = 11min\n",
                                &init, &diagnostics) == Errc::kBadSettings));
  BOOST_TEST(diagnostics.size() == 5);
  BOOST_TEST((init.callers_ == before));
}

// Guards against seeds that are left out without a word.
BOOST_AUTO_TEST_CASE(MoreSeedsThanCanBeUsedAreAnError) {
  const auto count_errors = [](const std::string& key, size_t seeds) {
    std::string text =
        "[instance]\ndata_centre = rennes\nregion = bretagne\n"
        "callers = 127.0.0.1:8080\npeers = 127.0.0.1:8081\n[seeds]\n";
    for (size_t i = 1; i <= seeds; ++i) {
      text += key + " = 127.0.0.1:" + std::to_string(i) + "\n";
    }
    Init init;
    Diagnostics diagnostics;
    ParseBootSettings("b.ini", text, &init, &diagnostics);
    return diagnostics.size();
  };
  BOOST_TEST(count_errors("workers", config::kMaxWorkers) == 0U);
  BOOST_TEST(count_errors("workers", config::kMaxWorkers + 1) == 1U);
  BOOST_TEST(count_errors("peers", config::kMaxPeers) == 0U);
  BOOST_TEST(count_errors("peers", config::kMaxPeers + 1) == 1U);
}

BOOST_AUTO_TEST_CASE(ExamplesAreValidWithLimitsAndEjectionOff) {
  const auto examples =
      std::filesystem::path(__FILE__).parent_path() / "../../examples";
  int jobs = 0;
  for (const char* name : {"armor", "salvavidas"}) {
    const auto folder = examples / name;
    Settings tree;
    Diagnostics diagnostics;
    BOOST_REQUIRE(!LoadSettings(folder / "settings", &tree, &diagnostics));
    BOOST_TEST(!tree.service_.ejection_);
    for (const TeamSettings& team : tree.teams_) {
      BOOST_TEST(team.task_quota_ == 0);
      BOOST_TEST(team.starts_per_second_ == 0);
    }
    for (const auto& boot :
         std::filesystem::directory_iterator(folder / "boot")) {
      Init init;
      BOOST_TEST(!LoadBootSettings(boot.path(), &init, &diagnostics));
      BOOST_TEST(init.data_centre_ == boot.path().stem());
      BOOST_TEST(std::filesystem::is_directory(init.settings_file_));
    }
    for (const auto& file :
         std::filesystem::directory_iterator(folder / "jobs")) {
      std::string text;
      std::string detail;
      JobSpec job;
      BOOST_REQUIRE(!ReadTextFile(file.path(), &text));
      BOOST_TEST(!ParseJob(text, &job, &detail), detail);
      BOOST_TEST(tree.FindTeam(job.team_).valid());
      ++jobs;
    }
  }
  BOOST_TEST(jobs == 6);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
