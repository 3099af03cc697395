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

/// inih's line buffer also holds the line end and a NUL.
constexpr size_t kMaxLineBytes = INI_MAX_LINE - 3;
/// inih truncates longer section and key names silently.
constexpr size_t kMaxNameBytes = 49;

/// Input and output of one inih run.
struct IniInput {
  const std::string& file_;
  std::string_view rest_;
  int line_ = 0;
  std::vector<IniEntry> entries_;
};

/// Passes the next line to inih. Lines that are too long are replaced by empty
/// ones; CheckLines reports them.
char* NextLine(char* buffer, int size, void* context) {
  auto* input = static_cast<IniInput*>(context);
  if (input->rest_.empty()) return nullptr;
  const size_t end = input->rest_.find('\n');
  std::string_view line = input->rest_.substr(0, end);
  input->rest_.remove_prefix(end == std::string_view::npos ? line.size()
                                                           : end + 1);
  ++input->line_;
  if (line.size() > kMaxLineBytes || size < INI_MAX_LINE) line = "";
  std::memcpy(buffer, line.data(), line.size());
  buffer[line.size()] = '\n';
  buffer[line.size() + 1] = '\0';
  return buffer;
}

int OnEntry(void* context, const char* section, const char* name,
            const char* value) {
  auto* input = static_cast<IniInput*>(context);
  input->entries_.push_back({input->file_, input->line_, section, name, value});
  return 1;
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kWhitespace = " \t\r";
  const size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

bool HasControlCharacter(std::string_view line) {
  for (const char c : line) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20 && c != '\t' && c != '\r') return true;
  }
  return false;
}

/// Returns the error of a line that inih would not report, or null.
const char* LineError(std::string_view line) {
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
                Diagnostics* diagnostics) {
  for (int number = 1; !text.empty(); ++number) {
    const size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? line.size() : end + 1);
    const char* error = LineError(line);
    if (error != nullptr) diagnostics->push_back({file, number, "", "", error});
  }
}

struct UnitSuffix {
  std::string_view suffix_;
  double factor_ = 1;
};

constexpr std::array<UnitSuffix, 1> kNoUnits{{{"", 1}}};
constexpr std::array<UnitSuffix, 3> kDurationUnits{
    {{"ms", 1}, {"min", 60000}, {"s", 1000}}};
constexpr std::array<UnitSuffix, 3> kByteUnits{
    {{"MiB", 1048576}, {"KiB", 1024}, {"B", 1}}};
constexpr std::array<UnitSuffix, 1> kPercentUnits{{{"%", 1}}};
constexpr std::array<UnitSuffix, 1> kRateUnits{{{"/s", 1}}};

/// Syntax of one type of value.
struct ValueFormat {
  const UnitSuffix* units_ = nullptr;
  size_t count_ = 0;
  const char* example_ = "";
  bool whole_number_ = false;
};

ValueFormat FormatOf(ValueType unit) {
  switch (unit) {
    case ValueType::kDuration:
      return {kDurationUnits.data(), kDurationUnits.size(),
              "a time such as 250ms, 10s or 2min", true};
    case ValueType::kBytes:
      return {kByteUnits.data(), kByteUnits.size(),
              "a size such as 4096B, 64KiB or 32MiB", true};
    case ValueType::kPercent:
      return {kPercentUnits.data(), 1, "a percentage such as 9%", false};
    case ValueType::kRate:
      return {kRateUnits.data(), 1, "a rate such as 50/s", false};
    case ValueType::kNumber:
      return {kNoUnits.data(), 1, "a number such as 1.5", false};
    case ValueType::kCount:
    case ValueType::kSwitch:
      break;
  }
  return {kNoUnits.data(), 1, "a whole number such as 8", true};
}

std::optional<double> ParseWithUnit(std::string_view text,
                                    const ValueFormat& format) {
  for (size_t i = 0; i < format.count_; ++i) {
    const UnitSuffix& unit_suffix = format.units_[i];
    if (!text.ends_with(unit_suffix.suffix_)) continue;
    const std::string_view digits =
        Trim(text.substr(0, text.size() - unit_suffix.suffix_.size()));
    if (digits.empty()) return std::nullopt;
    double value = 0;
    const char* end = digits.data() + digits.size();
    const auto [stop, error] =
        std::from_chars(digits.data(), end, value, std::chars_format::fixed);
    if (error != std::errc() || stop != end) return std::nullopt;
    if (!std::isfinite(value)) return std::nullopt;
    value *= unit_suffix.factor_;
    if (format.whole_number_ && value != std::floor(value)) return std::nullopt;
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
                              Diagnostics* diagnostics) {
  CheckLines(file, text, diagnostics);
  IniInput input{file, text, 0, {}};
  ini_parse_stream(NextLine, &input, OnEntry, &input);
  return std::move(input.entries_);
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

Diagnostic MakeDiagnostic(const IniEntry& entry, std::string message) {
  return {entry.file_, entry.line_, entry.section_, entry.key_,
          std::move(message)};
}

std::optional<double> ParseValue(std::string_view text, ValueType unit,
                                 Range range, std::string* message) {
  if (unit == ValueType::kSwitch) {
    if (text == "on") return 1;
    if (text == "off") return 0;
    *message =
        "'" + std::string(text) + "' is not a valid switch: write on or off";
    return std::nullopt;
  }
  const ValueFormat format = FormatOf(unit);
  const std::optional<double> value = ParseWithUnit(text, format);
  if (!value) {
    *message =
        "'" + std::string(text) + "' does not parse: write " + format.example_;
    return std::nullopt;
  }
  if (*value < range.min_ || *value > range.max_) {
    *message = "'" + std::string(text) + "' is out of range: write " +
               FormatValue(range.min_, unit) + " to " +
               FormatValue(range.max_, unit);
    return std::nullopt;
  }
  return value;
}

std::string FormatValue(double value, ValueType unit) {
  if (unit == ValueType::kSwitch) return value != 0 ? "on" : "off";
  const ValueFormat format = FormatOf(unit);
  const UnitSuffix* best = nullptr;
  for (size_t i = 0; i < format.count_; ++i) {
    const UnitSuffix& unit_suffix = format.units_[i];
    const double scaled = value / unit_suffix.factor_;
    const bool exact = scaled == std::floor(scaled) && value != 0;
    if (unit_suffix.factor_ == 1 && best == nullptr) best = &unit_suffix;
    if (exact && unit_suffix.factor_ > (best != nullptr ? best->factor_ : 0)) {
      best = &unit_suffix;
    }
  }
  return FormatNumber(value / best->factor_) + std::string(best->suffix_);
}

}  // namespace gentiandeal
