// One table has a row for each key: its path, whether it must be there, and
// how its text is taken. The file is walked against the table, so that a key
// cannot be read and yet be unknown to the check.

#include "pinford/settings.h"

#include <spdlog/fmt/fmt.h>
#include <yaml-cpp/yaml.h>

#include <charconv>
#include <cmath>
#include <functional>
#include <map>
#include <set>

namespace pinford {

// Takes a scalar's text. Returns what is wrong with it, or "".
using Taker = std::function<std::string(const std::string&, Settings*)>;

struct Key {
  std::string path;  // "listen.callers"
  bool required;
  bool list;  // the value is a list of scalars
  Taker take;
};

static Taker Text(std::string Settings::*field) {
  return [field](const std::string& text, Settings* s) -> std::string {
    if (text.empty()) return "must not be empty";
    s->*field = text;
    return "";
  };
}

static Taker Secret(std::string Settings::*field) {
  return [field](const std::string& text, Settings* s) -> std::string {
    constexpr size_t kLeastKey = 16;
    if (text.size() < kLeastKey) return "must have at least 16 characters";
    s->*field = text;
    return "";
  };
}

static Taker At(Address Settings::*field) {
  return [field](const std::string& text, Settings* s) -> std::string {
    std::optional<Address> a = Address::Parse(text);
    if (!a) return "must be an IP address and a port, as 127.0.0.1:8000";
    s->*field = *a;
    return "";
  };
}

static std::string Seed(const std::string& text, Settings* s) {
  std::optional<Address> a = Address::Parse(text);
  if (!a) return "must be an IP address and a port, as 127.0.0.1:8000";
  s->seeds.push_back(*a);
  return "";
}

static std::optional<int> Whole(const std::string& text) {
  int v = 0;
  const char* end = text.data() + text.size();
  auto [p, ec] = std::from_chars(text.data(), end, v);
  if (ec != std::errc() || p != end) return std::nullopt;
  return v;
}

static std::string OutOf(int low, int high) {
  return "must be a whole number from " + std::to_string(low) + " to " +
         std::to_string(high);
}

static Taker Number(int Settings::*field, int low, int high) {
  return [=](const std::string& text, Settings* s) -> std::string {
    std::optional<int> v = Whole(text);
    if (!v || *v < low || *v > high) return OutOf(low, high);
    s->*field = *v;
    return "";
  };
}

// The number that a text begins with, and what follows it. Nothing without one,
// or for one that is not finite.
static std::optional<double> Leading(std::string_view text,
                                     std::string_view* rest) {
  double v = 0;
  const char* end = text.data() + text.size();
  const auto [p, ec] = std::from_chars(text.data(), end, v);
  if (ec != std::errc() || !std::isfinite(v)) return std::nullopt;
  *rest = {p, static_cast<size_t>(end - p)};
  return v;
}

static Taker Fraction(double Settings::*field, double low, double high) {
  return [=](const std::string& text, Settings* s) -> std::string {
    std::string_view rest;
    const std::optional<double> v = Leading(text, &rest);
    if (!v || !rest.empty() || *v < low || *v > high) {
      return fmt::format("must be a number from {} to {}", low, high);
    }
    s->*field = *v;
    return "";
  };
}

static constexpr double kMillisOfSecond = 1000;

// A number of milliseconds, or of what its unit says: "1500", "1.5 s".
static std::optional<double> MillisOf(const std::string& text) {
  std::string_view unit;
  const std::optional<double> v = Leading(text, &unit);
  while (!unit.empty() && unit.front() == ' ') unit.remove_prefix(1);
  if (v && unit == "s") return *v * kMillisOfSecond;
  if (unit.empty() || unit == "ms") return v;
  return std::nullopt;
}

static Taker Millis(Duration Settings::*field, int low, int high) {
  return [=](const std::string& text, Settings* s) -> std::string {
    const std::optional<double> ms = MillisOf(text);
    if (!ms || *ms < low || *ms > high) {
      return fmt::format(
          "must be from {} to {} milliseconds, as 1500, 1.5 s or 1500 ms", low,
          high);
    }
    s->*field = FromSeconds(*ms / kMillisOfSecond);
    return "";
  };
}

static std::string Level(const std::string& text, Settings* s) {
  std::optional<LogLevel> v = LogLevelNamed(text);
  if (!v) return "must be debug, info, warn or error";
  s->log_level = *v;
  return "";
}

static std::string Format(const std::string& text, Settings* s) {
  std::optional<LogFormat> v = LogFormatNamed(text);
  if (!v) return "must be text or json";
  s->log_format = *v;
  return "";
}

static std::string Off(const std::string& text, Settings* s) {
  const std::optional<Mechanism> m = MechanismNamed(text);
  if (!m) return "is no mechanism's name (docs/OPERATIONS.md lists them)";
  s->mechanisms.Add(*m);
  return "";
}

static const std::vector<Key>& Keys() {
  constexpr int kMiB = 1 << 20;
  constexpr int kHourMs = 3600 * 1000;
  static const std::vector<Key> keys = {
      {"box", true, false, Text(&Settings::box)},
      {"hall", true, false, Text(&Settings::hall)},
      {"listen.callers", true, false, At(&Settings::callers)},
      {"listen.operators", true, false, At(&Settings::operators)},
      {"listen.peers", true, false, At(&Settings::peers)},
      {"listen.ready", false, false, At(&Settings::ready)},
      {"keys.operators", true, false, Secret(&Settings::operator_key)},
      {"keys.peers", true, false, Secret(&Settings::peer_key)},
      {"store", true, false, At(&Settings::store)},
      {"seeds", false, true, Seed},
      {"log.level", false, false, Level},
      {"log.format", false, false, Format},
      {"limits.body_bytes", false, false,
       Number(&Settings::max_body_bytes, 1024, 64 * kMiB)},
      {"limits.header_bytes", false, false,
       Number(&Settings::max_header_bytes, 1024, kMiB)},
      {"limits.idle_ms", false, false,
       Millis(&Settings::idle_timeout, 100, kHourMs)},
      {"limits.waiting", false, false,
       Number(&Settings::max_waiting, 1, 1000000)},
      {"limits.waiting_bytes", false, false,
       Number(&Settings::max_waiting_bytes, 65536, 1024 * kMiB)},
      {"limits.unsent_bytes", false, false,
       Number(&Settings::max_unsent_bytes, 4096, 64 * kMiB)},
      {"limits.tokens", false, false,
       Number(&Settings::max_tokens, 1, 1000000)},
      {"limits.journal_bytes", false, false,
       Number(&Settings::journal_bytes, 0, 64 * kMiB)},
      {"limits.call_ms", false, false,
       Millis(&Settings::call_timeout, 10, kHourMs)},
      {"stop.listen_ms", false, false,
       Millis(&Settings::stop_listening_after, 0, kHourMs)},
      {"stop.latest_ms", false, false,
       Millis(&Settings::stop_timeout, 0, kHourMs)},
      {"endpoints.report_ms", false, false,
       Millis(&Settings::report_interval, 50, 60000)},
      {"gossip.bytes_per_second", false, false,
       Number(&Settings::gossip_bytes_per_second, 100, kMiB)},
      {"planner.load_ms", false, false,
       Millis(&Settings::load_spacing, 100, kHourMs)},
      {"timeline.events", false, false,
       Number(&Settings::timeline_events, 100, 10000000)},
      {"utc_offset_minutes", false, false,
       Number(&Settings::utc_offset_minutes, -12 * 60, 14 * 60)},
      {"policy", false, false, Text(&Settings::policy_file)},
      {"forward.key_proof_ms", false, false,
       Millis(&Settings::max_key_staleness, 0, kHourMs)},
      {"forward.retry_ratio", false, false,
       Fraction(&Settings::retry_ratio, 0, 10)},
      {"forward.retry_extra", false, false,
       Fraction(&Settings::retry_extra, 0, 1e9)},
      {"forward.retry_window_ms", false, false,
       Millis(&Settings::retry_window, 100, kHourMs)},
      {"forward.off", false, true, Off},
      {"limits.connections", false, false,
       Number(&Settings::max_connections, 1, 1000000)},
  };
  return keys;
}

namespace {

// Walks one file against the table.
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
        Add(entry.first, full + " is given twice");
        continue;
      }
      Value(full, entry.first, entry.second);
    }
  }

  void Missing() {
    for (const Key& key : Keys()) {
      if (key.required && !lines_.contains(key.path)) {
        findings_->Add(file_, 0, key.path + " is missing");
      }
    }
  }

  // A box cannot listen twice in one place, nor on the store's address.
  void Clashes() {
    const std::pair<const char*, const Address*> listened[] = {
        {"listen.callers", &settings_->callers},
        {"listen.operators", &settings_->operators},
        {"listen.peers", &settings_->peers},
        {"listen.ready", &settings_->ready},
        {"store", &settings_->store},
    };
    std::map<Address, std::string> taken;
    for (const auto& [path, address] : listened) {
      if (!good_.contains(path)) continue;
      auto [it, fresh] = taken.emplace(*address, path);
      if (fresh) continue;
      findings_->Add(file_, lines_[path],
                     std::string(path) + " clashes with " + it->second);
    }
  }

 private:
  void Add(const YAML::Node& node, const std::string& text) {
    findings_->Add(file_, node.Mark().line + 1, text);
  }

  static const Key* Find(const std::string& path) {
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

  void Value(const std::string& path, const YAML::Node& name,
             const YAML::Node& value) {
    lines_[path] = name.Mark().line + 1;
    const Key* key = Find(path);
    if (key == nullptr && IsGroup(path)) {
      if (value.IsMap()) {
        Walk(value, path);
      } else {
        Add(name, path + " must hold keys");
      }
      return;
    }
    if (key == nullptr) {
      Add(name, path + " is not a setting");
      return;
    }
    if (!key->list) {
      Scalar(*key, path, value);
      return;
    }
    if (!value.IsSequence()) {
      Add(name, path + " must be a list");
      return;
    }
    for (const auto& item : value) Scalar(*key, path, item);
  }

  void Scalar(const Key& key, const std::string& path,
              const YAML::Node& value) {
    if (!value.IsScalar()) {
      Add(value, path + " must be a single value");
      return;
    }
    const std::string wrong = key.take(value.Scalar(), settings_);
    if (wrong.empty()) {
      good_.insert(path);
    } else {
      Add(value, path + " " + wrong);
    }
  }

  std::string file_;
  Settings* settings_;
  Findings* findings_;
  std::map<std::string, int> lines_;
  std::set<std::string> good_;
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
      checker.Missing();
      checker.Clashes();
    }
  } catch (const YAML::Exception& e) {
    own.Add(file, e.mark.line + 1, e.msg);
  }
  for (const Finding& f : own.list()) findings->Add(f.file, f.line, f.text);
  if (!own.empty()) return std::nullopt;
  return settings;
}

}  // namespace pinford
