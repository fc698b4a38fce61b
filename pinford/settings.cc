// A single table has a row for each key: its path, whether it is required, and
// how its value is parsed. The file is checked against the same table, so that
// every key that is read is also known to the validation.

#include "pinford/settings.h"

#include <spdlog/fmt/fmt.h>
#include <yaml-cpp/yaml.h>

#include <charconv>
#include <cmath>
#include <functional>
#include <map>
#include <set>

namespace pinford {

// Parses a scalar's text into the settings. Returns an error, or "".
using ValueParser = std::function<std::string(const std::string&, Settings*)>;

struct Key {
  std::string path;  // "listen.callers"
  bool required;
  bool list;  // the value is a list of scalars
  ValueParser parse;
};

static ValueParser TextParser(std::string Settings::*field) {
  return [field](const std::string& text, Settings* s) -> std::string {
    if (text.empty()) return "must not be empty";
    s->*field = text;
    return "";
  };
}

static ValueParser SecretParser(std::string Settings::*field) {
  return [field](const std::string& text, Settings* s) -> std::string {
    constexpr size_t kMinSecretLength = 16;
    if (text.size() < kMinSecretLength)
      return "must have at least 16 characters";
    s->*field = text;
    return "";
  };
}

static ValueParser AddressParser(Address Settings::*field) {
  return [field](const std::string& text, Settings* s) -> std::string {
    std::optional<Address> a = Address::Parse(text);
    if (!a) return "must be an IP address and a port, as 127.0.0.1:8000";
    s->*field = *a;
    return "";
  };
}

static std::string ParseSeed(const std::string& text, Settings* s) {
  std::optional<Address> a = Address::Parse(text);
  if (!a) return "must be an IP address and a port, as 127.0.0.1:8000";
  s->seeds.push_back(*a);
  return "";
}

static std::optional<int> ParseInt(const std::string& text) {
  int v = 0;
  const char* end = text.data() + text.size();
  auto [p, ec] = std::from_chars(text.data(), end, v);
  if (ec != std::errc() || p != end) return std::nullopt;
  return v;
}

static std::string RangeError(int low, int high) {
  return "must be a whole number from " + std::to_string(low) + " to " +
         std::to_string(high);
}

static ValueParser IntParser(int Settings::*field, int low, int high) {
  return [=](const std::string& text, Settings* s) -> std::string {
    std::optional<int> v = ParseInt(text);
    if (!v || *v < low || *v > high) return RangeError(low, high);
    s->*field = *v;
    return "";
  };
}

// Parses the number at the start of `text` and sets `rest` to what follows.
// Returns nullopt if there is none or it is not finite.
static std::optional<double> ParseLeadingNumber(std::string_view text,
                                                std::string_view* rest) {
  double v = 0;
  const char* end = text.data() + text.size();
  const auto [p, ec] = std::from_chars(text.data(), end, v);
  if (ec != std::errc() || !std::isfinite(v)) return std::nullopt;
  *rest = {p, static_cast<size_t>(end - p)};
  return v;
}

static ValueParser DoubleParser(double Settings::*field, double low,
                                double high) {
  return [=](const std::string& text, Settings* s) -> std::string {
    std::string_view rest;
    const std::optional<double> v = ParseLeadingNumber(text, &rest);
    if (!v || !rest.empty() || *v < low || *v > high) {
      return fmt::format("must be a number from {} to {}", low, high);
    }
    s->*field = *v;
    return "";
  };
}

static constexpr double kMillisPerSecond = 1000;

// Parses a duration in milliseconds, with an optional unit: "1500", "1.5 s".
static std::optional<double> ParseMillis(const std::string& text) {
  std::string_view unit;
  const std::optional<double> v = ParseLeadingNumber(text, &unit);
  while (!unit.empty() && unit.front() == ' ') unit.remove_prefix(1);
  if (v && unit == "s") return *v * kMillisPerSecond;
  if (unit.empty() || unit == "ms") return v;
  return std::nullopt;
}

static ValueParser DurationParser(Duration Settings::*field, int low,
                                  int high) {
  return [=](const std::string& text, Settings* s) -> std::string {
    const std::optional<double> ms = ParseMillis(text);
    if (!ms || *ms < low || *ms > high) {
      return fmt::format(
          "must be from {} to {} milliseconds, as 1500, 1.5 s or 1500 ms", low,
          high);
    }
    s->*field = FromSeconds(*ms / kMillisPerSecond);
    return "";
  };
}

static std::string ParseLevel(const std::string& text, Settings* s) {
  std::optional<LogLevel> v = LogLevelNamed(text);
  if (!v) return "must be debug, info, warn or error";
  s->log_level = *v;
  return "";
}

static std::string ParseFormat(const std::string& text, Settings* s) {
  std::optional<LogFormat> v = LogFormatNamed(text);
  if (!v) return "must be text or json";
  s->log_format = *v;
  return "";
}

static std::string ParseDisabledMechanism(const std::string& text,
                                          Settings* s) {
  const std::optional<Mechanism> m = MechanismNamed(text);
  if (!m) return "is no mechanism's name (docs/OPERATIONS.md lists them)";
  s->mechanisms.Disable(*m);
  return "";
}

static const std::vector<Key>& Keys() {
  constexpr int kMiB = 1 << 20;
  constexpr int kHourMs = 3600 * 1000;
  static const std::vector<Key> keys = {
      {"box", true, false, TextParser(&Settings::box)},
      {"hall", true, false, TextParser(&Settings::hall)},
      {"listen.callers", true, false, AddressParser(&Settings::callers)},
      {"listen.operators", true, false, AddressParser(&Settings::operators)},
      {"listen.peers", true, false, AddressParser(&Settings::peers)},
      {"listen.ready", false, false, AddressParser(&Settings::ready)},
      {"keys.operators", true, false, SecretParser(&Settings::operator_key)},
      {"keys.peers", true, false, SecretParser(&Settings::peer_key)},
      {"store", true, false, AddressParser(&Settings::store)},
      {"seeds", false, true, ParseSeed},
      {"log.level", false, false, ParseLevel},
      {"log.format", false, false, ParseFormat},
      {"limits.body_bytes", false, false,
       IntParser(&Settings::max_body_bytes, 1024, 64 * kMiB)},
      {"limits.header_bytes", false, false,
       IntParser(&Settings::max_header_bytes, 1024, kMiB)},
      {"limits.idle_ms", false, false,
       DurationParser(&Settings::idle_timeout, 100, kHourMs)},
      {"limits.waiting", false, false,
       IntParser(&Settings::max_waiting, 1, 1000000)},
      {"limits.waiting_bytes", false, false,
       IntParser(&Settings::max_waiting_bytes, 65536, 1024 * kMiB)},
      {"limits.unsent_bytes", false, false,
       IntParser(&Settings::max_unsent_bytes, 4096, 64 * kMiB)},
      {"limits.tokens", false, false,
       IntParser(&Settings::max_tokens, 1, 1000000)},
      {"limits.journal_bytes", false, false,
       IntParser(&Settings::journal_bytes, 0, 64 * kMiB)},
      {"limits.call_ms", false, false,
       DurationParser(&Settings::call_timeout, 10, kHourMs)},
      {"stop.listen_ms", false, false,
       DurationParser(&Settings::stop_listening_after, 0, kHourMs)},
      {"stop.latest_ms", false, false,
       DurationParser(&Settings::stop_timeout, 0, kHourMs)},
      {"endpoints.report_ms", false, false,
       DurationParser(&Settings::report_interval, 50, 60000)},
      {"gossip.bytes_per_second", false, false,
       IntParser(&Settings::gossip_bytes_per_second, 100, kMiB)},
      {"planner.load_ms", false, false,
       DurationParser(&Settings::load_spacing, 100, kHourMs)},
      {"timeline.events", false, false,
       IntParser(&Settings::timeline_events, 100, 10000000)},
      {"utc_offset_minutes", false, false,
       IntParser(&Settings::utc_offset_minutes, -12 * 60, 14 * 60)},
      {"policy", false, false, TextParser(&Settings::policy_file)},
      {"forward.key_proof_ms", false, false,
       DurationParser(&Settings::max_key_staleness, 0, kHourMs)},
      {"forward.retry_ratio", false, false,
       DoubleParser(&Settings::retry_ratio, 0, 10)},
      {"forward.retry_extra", false, false,
       DoubleParser(&Settings::retry_extra, 0, 1e9)},
      {"forward.retry_window_ms", false, false,
       DurationParser(&Settings::retry_window, 100, kHourMs)},
      {"forward.off", false, true, ParseDisabledMechanism},
      {"limits.connections", false, false,
       IntParser(&Settings::max_connections, 1, 1000000)},
      {"limits.held_bytes", false, false,
       IntParser(&Settings::max_held_bytes, kMiB, 1024 * kMiB)},
  };
  return keys;
}

namespace {

// Validates a file against the table and fills in the settings.
class Checker {
 public:
  Checker(std::string_view file, Settings* settings, Findings* findings)
      : file_(file), settings_(settings), findings_(findings) {}

  void Walk(const YAML::Node& node, const std::string& path) {
    std::set<std::string> seen;
    for (const auto& entry : node) {
      const std::string name = entry.first.as<std::string>("");
      const std::string full = path.empty() ? name : path + "." + name;
      if (!seen.insert(name).second) {
        AddFinding(entry.first, full + " is given twice");
        continue;
      }
      CheckValue(full, entry.first, entry.second);
    }
  }

  void CheckRequired() {
    for (const Key& key : Keys()) {
      if (key.required && !lines_.contains(key.path)) {
        findings_->Add(file_, 0, key.path + " is missing");
      }
    }
  }

  // A box cannot listen twice on one address, nor on the store's.
  void CheckAddressConflicts() {
    const std::pair<const char*, const Address*> addresses[] = {
        {"listen.callers", &settings_->callers},
        {"listen.operators", &settings_->operators},
        {"listen.peers", &settings_->peers},
        {"listen.ready", &settings_->ready},
        {"store", &settings_->store},
    };
    std::map<Address, std::string> path_by_address;
    for (const auto& [path, address] : addresses) {
      if (!valid_.contains(path)) continue;
      auto [it, inserted] = path_by_address.emplace(*address, path);
      if (inserted) continue;
      findings_->Add(file_, lines_[path],
                     std::string(path) + " clashes with " + it->second);
    }
  }

 private:
  void AddFinding(const YAML::Node& node, const std::string& text) {
    findings_->Add(file_, node.Mark().line + 1, text);
  }

  static const Key* FindKey(const std::string& path) {
    for (const Key& key : Keys()) {
      if (key.path == path) return &key;
    }
    return nullptr;
  }

  static bool IsGroup(const std::string& path) {
    for (const Key& key : Keys()) {
      if (key.path.compare(0, path.size() + 1, path + ".") == 0) return true;
    }
    return false;
  }

  void CheckValue(const std::string& path, const YAML::Node& name,
                  const YAML::Node& value) {
    lines_[path] = name.Mark().line + 1;
    const Key* key = FindKey(path);
    if (key == nullptr && IsGroup(path)) {
      if (value.IsMap()) {
        Walk(value, path);
      } else {
        AddFinding(name, path + " must hold keys");
      }
      return;
    }
    if (key == nullptr) {
      AddFinding(name, path + " is not a setting");
      return;
    }
    if (!key->list) {
      ApplyScalar(*key, path, value);
      return;
    }
    if (!value.IsSequence()) {
      AddFinding(name, path + " must be a list");
      return;
    }
    for (const auto& item : value) ApplyScalar(*key, path, item);
  }

  void ApplyScalar(const Key& key, const std::string& path,
                   const YAML::Node& value) {
    if (!value.IsScalar()) {
      AddFinding(value, path + " must be a single value");
      return;
    }
    const std::string error = key.parse(value.Scalar(), settings_);
    if (error.empty()) {
      valid_.insert(path);
    } else {
      AddFinding(value, path + " " + error);
    }
  }

  std::string file_;
  Settings* settings_;
  Findings* findings_;
  std::map<std::string, int> lines_;
  std::set<std::string> valid_;
};

}  // namespace

std::optional<Settings> ParseSettings(std::string_view text,
                                      std::string_view file,
                                      Findings* findings) {
  Settings settings;
  Findings own;
  try {
    const YAML::Node root = YAML::Load(std::string(text));
    if (!root.IsMap()) {
      own.Add(file, 1, "the file must hold keys");
    } else {
      Checker checker(file, &settings, &own);
      checker.Walk(root, "");
      checker.CheckRequired();
      checker.CheckAddressConflicts();
    }
  } catch (const YAML::Exception& e) {
    own.Add(file, e.mark.line + 1, e.msg);
  }
  for (const Finding& f : own.list()) findings->Add(f.file, f.line, f.text);
  if (!own.empty()) return std::nullopt;
  return settings;
}

}  // namespace pinford
