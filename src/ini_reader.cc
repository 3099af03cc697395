#include "ini_reader.h"

#include <ini.h>

#include <array>
#include <charconv>
#include <cmath>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace gentiandeal {
namespace {

/// inih's buffer holds a line with its end and a NUL.
constexpr size_t kMaxLineBytes = INI_MAX_LINE - 3;
/// inih cuts longer section and key names silently.
constexpr size_t kMaxNameBytes = 49;

struct Reading {
  const std::string& file_;
  std::string_view rest_;
  int line_ = 0;
  std::vector<IniEntry> entries_;
};

/// Hands inih one line; over-long ones are blanked, ReadIni reports them.
char* NextLine(char* buffer, int size, void* context) {
  auto* reading = static_cast<Reading*>(context);
  if (reading->rest_.empty()) return nullptr;
  const size_t end = reading->rest_.find('\n');
  std::string_view line = reading->rest_.substr(0, end);
  reading->rest_.remove_prefix(end == std::string_view::npos ? line.size()
                                                             : end + 1);
  ++reading->line_;
  if (line.size() > kMaxLineBytes || size < INI_MAX_LINE) line = "";
  std::memcpy(buffer, line.data(), line.size());
  buffer[line.size()] = '\n';
  buffer[line.size() + 1] = '\0';
  return buffer;
}

int OnEntry(void* context, const char* section, const char* name,
            const char* value) {
  auto* reading = static_cast<Reading*>(context);
  reading->entries_.push_back(
      {reading->file_, reading->line_, section, name, value});
  return 1;
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t\r";
  const size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

bool HasControlCharacter(std::string_view line) {
  for (const char c : line) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20 && c != '\t' && c != '\r') return true;
  }
  return false;
}

/// Fault of one line that inih would not report, or null.
const char* LineFault(std::string_view line) {
  if (line.size() > kMaxLineBytes) {
    return "line is longer than 197 bytes: shorten it";
  }
  if (HasControlCharacter(line)) {
    return "line has a control character: remove it";
  }
  const std::string_view text = Trim(line);
  if (text.empty() || text.front() == ';' || text.front() == '#') {
    return nullptr;
  }
  if (text.front() == '[') {
    const size_t end = text.find(']');
    if (end == std::string_view::npos) {
      return "section has no closing bracket: write [name]";
    }
    if (end - 1 > kMaxNameBytes) {
      return "section name is longer than 49 bytes: use a shorter name";
    }
    return nullptr;
  }
  if (line.front() == ' ' || line.front() == '\t') return nullptr;
  if (text.find_first_of("=:") == std::string_view::npos) {
    return "line is neither a section nor a value: write key = value";
  }
  return nullptr;
}

void CheckLines(const std::string& file, std::string_view text,
                Diagnostics* faults) {
  for (int number = 1; !text.empty(); ++number) {
    const size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? line.size() : end + 1);
    const char* fault = LineFault(line);
    if (fault != nullptr) faults->push_back({file, number, "", "", fault});
  }
}

struct UnitName {
  std::string_view suffix_;
  double factor_ = 1;
};

constexpr std::array<UnitName, 1> kNone{{{"", 1}}};
constexpr std::array<UnitName, 3> kTimes{
    {{"ms", 1}, {"min", 60000}, {"s", 1000}}};
constexpr std::array<UnitName, 3> kSizes{
    {{"MiB", 1048576}, {"KiB", 1024}, {"B", 1}}};
constexpr std::array<UnitName, 1> kPercents{{{"%", 1}}};
constexpr std::array<UnitName, 1> kRates{{{"/s", 1}}};

struct UnitInfo {
  const UnitName* names_ = nullptr;
  size_t count_ = 0;
  const char* form_ = "";
  bool whole_ = false;
};

UnitInfo InfoOf(Unit unit) {
  switch (unit) {
    case Unit::kDuration:
      return {kTimes.data(), kTimes.size(), "a time such as 250ms, 10s or 2min",
              true};
    case Unit::kBytes:
      return {kSizes.data(), kSizes.size(),
              "a size such as 4096B, 64KiB or 32MiB", true};
    case Unit::kPercent:
      return {kPercents.data(), 1, "a percentage such as 9%", false};
    case Unit::kRate:
      return {kRates.data(), 1, "a rate such as 50/s", false};
    case Unit::kNumber:
      return {kNone.data(), 1, "a number such as 1.5", false};
    case Unit::kCount:
    case Unit::kSwitch:
      break;
  }
  return {kNone.data(), 1, "a whole number such as 8", true};
}

std::optional<double> ParseWithUnit(std::string_view text,
                                    const UnitInfo& info) {
  for (size_t i = 0; i < info.count_; ++i) {
    const UnitName& name = info.names_[i];
    if (!text.ends_with(name.suffix_)) continue;
    const std::string_view digits =
        Trim(text.substr(0, text.size() - name.suffix_.size()));
    if (digits.empty()) return std::nullopt;
    double value = 0;
    const char* end = digits.data() + digits.size();
    const auto [stop, error] =
        std::from_chars(digits.data(), end, value, std::chars_format::fixed);
    if (error != std::errc() || stop != end) return std::nullopt;
    if (!std::isfinite(value)) return std::nullopt;
    value *= name.factor_;
    if (info.whole_ && value != std::floor(value)) return std::nullopt;
    return value;
  }
  return std::nullopt;
}

std::string FormatNumber(double value) {
  std::array<char, 64> buffer{};
  const auto [end, error] =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), value,
                    std::chars_format::fixed);
  return error == std::errc() ? std::string(buffer.data(), end) : "0";
}

}  // namespace

std::string ToString(const Diagnostic& diagnostic) {
  std::string text = diagnostic.file_;
  if (diagnostic.line_ > 0) text += ":" + std::to_string(diagnostic.line_);
  text += ": ";
  if (!diagnostic.section_.empty()) text += "[" + diagnostic.section_ + "] ";
  if (!diagnostic.key_.empty()) text += diagnostic.key_ + ": ";
  return text + diagnostic.message_;
}

std::vector<IniEntry> ReadIni(const std::string& file, std::string_view text,
                              Diagnostics* faults) {
  CheckLines(file, text, faults);
  Reading reading{file, text, 0, {}};
  ini_parse_stream(NextLine, &reading, OnEntry, &reading);
  return std::move(reading.entries_);
}

std::error_code ReadTextFile(const std::string& path, std::string* out) {
  std::error_code ignored;
  if (std::filesystem::is_directory(path, ignored)) {
    return std::make_error_code(std::errc::is_a_directory);
  }
  std::ifstream file(path, std::ios::binary);
  if (!file) return {errno, std::generic_category()};
  std::ostringstream text;
  text << file.rdbuf();
  if (file.bad()) return std::make_error_code(std::errc::io_error);
  *out = std::move(text).str();
  return {};
}

Diagnostic FaultAt(const IniEntry& entry, std::string message) {
  return {entry.file_, entry.line_, entry.section_, entry.key_,
          std::move(message)};
}

std::optional<double> ParseValue(std::string_view text, Unit unit, Range range,
                                 std::string* fault) {
  if (unit == Unit::kSwitch) {
    if (text == "on") return 1;
    if (text == "off") return 0;
    *fault = "'" + std::string(text) + "' is no switch: write on or off";
    return std::nullopt;
  }
  const UnitInfo info = InfoOf(unit);
  const std::optional<double> value = ParseWithUnit(text, info);
  if (!value) {
    *fault = "'" + std::string(text) + "' does not parse: write " + info.form_;
    return std::nullopt;
  }
  if (*value < range.min_ || *value > range.max_) {
    *fault = "'" + std::string(text) + "' is out of range: write " +
             FormatValue(range.min_, unit) + " to " +
             FormatValue(range.max_, unit);
    return std::nullopt;
  }
  return value;
}

std::string FormatValue(double value, Unit unit) {
  if (unit == Unit::kSwitch) return value != 0 ? "on" : "off";
  const UnitInfo info = InfoOf(unit);
  const UnitName* best = nullptr;
  for (size_t i = 0; i < info.count_; ++i) {
    const UnitName& name = info.names_[i];
    const double scaled = value / name.factor_;
    const bool exact = scaled == std::floor(scaled) && value != 0;
    if (name.factor_ == 1 && best == nullptr) best = &name;
    if (exact && name.factor_ > (best != nullptr ? best->factor_ : 0)) {
      best = &name;
    }
  }
  return FormatNumber(value / best->factor_) + std::string(best->suffix_);
}

}  // namespace gentiandeal
