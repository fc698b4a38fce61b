#include "pinford/log_digest.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <optional>

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<DelayCause> kDelayCauseNames[] = {
    {DelayCause::kStageReplaced, "stage replaced"},
    {DelayCause::kBegunAnew, "begun anew"},
    {DelayCause::kStoodStill, "stood still"},
    {DelayCause::kAttemptFailed, "attempt failed"},
    {DelayCause::kNone, "none of these"},
};

std::string_view DelayCauseName(DelayCause c) {
  return NameIn(kDelayCauseNames, c);
}

// "2026-07-10T06:06:33.105+00:00" as ms since 1970. Boxes write their own
// offset; logs that are read together have one.
static std::optional<int64_t> MillisOf(const std::string& time) {
  std::tm tm = {};
  int ms = 0;
  constexpr int kFields = 7;
  if (std::sscanf(time.c_str(), "%d-%d-%dT%d:%d:%d.%d", &tm.tm_year, &tm.tm_mon,
                  &tm.tm_mday, &tm.tm_hour, &tm.tm_min, &tm.tm_sec,
                  &ms) != kFields) {
    return std::nullopt;
  }
  constexpr int kFirstYear = 1900;
  tm.tm_year -= kFirstYear;
  tm.tm_mon -= 1;
  return static_cast<int64_t>(timegm(&tm)) * 1000 + ms;
}

static double Number(const Json& v, const char* key) {
  return JsonField<double>(v, key, 0.0);
}

// The `part` quantile of `values`; 0 of none.
static double Quantile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  const size_t i =
      std::min(values.size() - 1, static_cast<size_t>(part * values.size()));
  std::nth_element(values.begin(), values.begin() + i, values.end());
  return values[i];
}

static double PartAbove(const std::vector<double>& values, double bound) {
  if (values.empty()) return 0;
  const auto n = std::count_if(values.begin(), values.end(),
                               [bound](double v) { return v > bound; });
  return static_cast<double>(n) / values.size();
}

// --- reading ---------------------------------------------------------------

void LogDigest::Read(std::string_view text, const std::string& file) {
  int line = 0;
  while (!text.empty()) {
    line++;
    const size_t end = std::min(text.find('\n'), text.size());
    const std::string_view row = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (row.empty()) continue;
    Event event;
    event.fields = ParseJson(row);
    const auto ms = MillisOf(JsonField<std::string>(event.fields, "time", ""));
    if (!ms) {
      findings_.Add(file, line, "no line of a log in JSON");
      continue;
    }
    event.ms = *ms;
    event.box = JsonField<std::string>(event.fields, "box", "");
    event.name = JsonField<std::string>(event.fields, "event", "");
    Take(std::move(event));
  }
}

void LogDigest::Take(Event event) {
  const Json& f = event.fields;
  if (event.name == "box_started") {
    hall_of_box_[event.box] = JsonField<std::string>(f, "hall", "");
  } else if (event.name == "endpoint_joined") {
    kind_of_endpoint_[JsonField<std::string>(f, "endpoint", "")] =
        JsonField<std::string>(f, "kind", "");
  } else if (event.name == "log_lines_left_out") {
    left_out_ += JsonField<int64_t>(f, "lines", 0);
  }
  const std::string id = JsonField<std::string>(f, "id", "");
  if (id.empty()) return;
  names_of_[id].insert(event.name);
  events_.push_back(std::move(event));
}

// --- windows ---------------------------------------------------------------

DelayCause LogDigest::CauseOf(const std::string& request) const {
  static const std::pair<const char*, DelayCause> kCauses[] = {
      {"attempt_abandoned", DelayCause::kBegunAnew},
      {"attempt_stalled", DelayCause::kStoodStill},
      {"stages_replaced", DelayCause::kStageReplaced},
      {"attempt_failed", DelayCause::kAttemptFailed},
  };
  const auto it = names_of_.find(request);
  if (it == names_of_.end()) return DelayCause::kNone;
  for (const auto& [event, cause] : kCauses) {
    if (it->second.contains(event)) return cause;
  }
  return DelayCause::kNone;
}

// `chain` is as ChainText writes it.
void LogDigest::CountChain(std::string_view chain, Tally* tally) const {
  int stages = 0;
  while (!chain.empty()) {
    const size_t end = std::min(chain.find(' '), chain.size());
    const std::string_view stage = chain.substr(0, end);
    chain.remove_prefix(std::min(end + 1, chain.size()));
    const std::string runner(stage.substr(0, stage.rfind(':')));
    stages++;
    tally->runners[runner]++;
    const auto kind = kind_of_endpoint_.find(runner);
    if (kind != kind_of_endpoint_.end()) tally->kinds[kind->second]++;
  }
  if (stages > 0) tally->stages[stages]++;
}

void LogDigest::Count(const Event& end, Tally* tally) const {
  const Json& f = end.fields;
  if (end.name == "request_refused") {
    tally->outcomes["refused: " + JsonField<std::string>(f, "code", "")]++;
    return;
  }
  tally->outcomes[JsonField<std::string>(f, "outcome", "")]++;
  if (f.contains("short_layer")) {
    tally->short_layers[JsonField(f, "short_layer", 0)]++;
    tally->short_taken.push_back(Number(f, "short_taken"));
  }
  const std::string target = JsonField<std::string>(f, "target", "");
  if (target.find(':') != std::string::npos) {
    CountChain(target, tally);
    tally->fullest.push_back(Number(f, "fullest"));
    tally->busiest.push_back(Number(f, "busiest"));
  }
  if (JsonField<int64_t>(f, "events", 0) == 0) return;
  const double first = Number(f, "first_ms");
  const double gap = Number(f, "gap_ms");
  tally->first_ms.push_back(first);
  tally->gap_ms.push_back(gap);
  const bool late = first > static_cast<double>(options_.first_ms) ||
                    gap > static_cast<double>(options_.gap_ms);
  if (late) tally->late[CauseOf(JsonField<std::string>(f, "id", ""))]++;
}

std::map<LogDigest::Place, LogDigest::Tally> LogDigest::Tallies() const {
  int64_t begin = 0;
  for (const Event& e : events_) {
    if (begin == 0 || e.ms < begin) begin = e.ms;
  }
  std::map<Place, Tally> tallies;
  for (const Event& e : events_) {
    if (e.name != "request_ended" && e.name != "request_refused") continue;
    const auto hall = hall_of_box_.find(e.box);
    const Place place = {
        (e.ms - begin) / options_.window_ms * options_.window_ms,
        JsonField<std::string>(e.fields, "service", ""),
        hall == hall_of_box_.end() ? "" : hall->second};
    Count(e, &tallies[place]);
  }
  return tallies;
}

static Json Quantiles(const std::vector<double>& values, double bound) {
  return Json{{"p50", Quantile(values, 0.5)},
              {"p90", Quantile(values, 0.9)},
              {"p99", Quantile(values, 0.99)},
              {"late", PartAbove(values, bound)}};
}

// The keys of the greatest counts, at most `n`, greatest first.
template <typename K>
static std::vector<std::pair<K, int>> Most(const std::map<K, int>& counts,
                                           size_t n) {
  std::vector<std::pair<K, int>> rows(counts.begin(), counts.end());
  std::stable_sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) {
    return a.second > b.second;
  });
  if (rows.size() > n) rows.resize(n);
  return rows;
}

Json LogDigest::JsonOf(const Place& place, const Tally& tally) const {
  constexpr size_t kMostRunners = 3;
  Json late = Json::object();
  for (const auto& [cause, n] : tally.late) {
    late[std::string(DelayCauseName(cause))] = n;
  }
  Json runners = Json::array();
  for (const auto& [runner, n] : Most(tally.runners, kMostRunners)) {
    runners.push_back({{"runner", runner}, {"chains", n}});
  }
  Json stages = Json::object();
  for (const auto& [n, chains] : tally.stages) {
    stages[std::to_string(n)] = chains;
  }
  Json row = {
      {"from_ms", place.window},
      {"service", place.service},
      {"hall", place.hall},
      {"outcomes", tally.outcomes},
      {"streams", tally.first_ms.size()},
      {"first_ms",
       Quantiles(tally.first_ms, static_cast<double>(options_.first_ms))},
      {"gap_ms", Quantiles(tally.gap_ms, static_cast<double>(options_.gap_ms))},
      {"late", late},
      {"stages", stages},
      {"kinds", tally.kinds},
      {"runners", runners},
      {"fullest_p50", Quantile(tally.fullest, 0.5)},
      {"busiest_p50", Quantile(tally.busiest, 0.5)}};
  if (tally.short_layers.empty()) return row;
  const auto [layer, n] = Most(tally.short_layers, 1).front();
  row["short"] = {{"layer", layer},
                  {"refused", n},
                  {"taken_p50", Quantile(tally.short_taken, 0.5)}};
  return row;
}

Json LogDigest::Windows() const {
  Json rows = Json::array();
  for (const auto& [place, tally] : Tallies()) {
    rows.push_back(JsonOf(place, tally));
  }
  return rows;
}

// "name n, name n", the greatest first.
template <typename K>
static std::string CountsText(const std::map<K, int>& counts) {
  std::string text;
  for (const auto& [key, n] : Most(counts, counts.size())) {
    if (!text.empty()) text += ", ";
    text += fmt::format("{} {}", key, n);
  }
  return text;
}

std::string LogDigest::Table() const {
  std::string text = fmt::format(
      "{:>7} {:<12} {:<14} {:>7} {:>15} {:>6} {:>15} {:>6} {:>5} {:>5}  "
      "outcomes; late by cause; shortest layer\n",
      "from s", "service", "hall", "streams", "first 50/90/99", "late %",
      "pause 50/90/99", "late %", "full", "busy");
  const auto row_of = [](const std::vector<double>& v) {
    return fmt::format("{:.0f}/{:.0f}/{:.0f}", Quantile(v, 0.5),
                       Quantile(v, 0.9), Quantile(v, 0.99));
  };
  constexpr double kPercent = 100;
  constexpr double kMillis = 1000;
  for (const auto& [place, t] : Tallies()) {
    std::map<std::string_view, int> late;
    for (const auto& [cause, n] : t.late) late[DelayCauseName(cause)] = n;
    text += fmt::format(
        "{:>7.1f} {:<12} {:<14} {:>7} {:>15} {:>6.1f} {:>15} {:>6.1f} "
        "{:>5.2f} {:>5.2f}  {}",
        place.window / kMillis, place.service, place.hall, t.first_ms.size(),
        row_of(t.first_ms),
        kPercent *
            PartAbove(t.first_ms, static_cast<double>(options_.first_ms)),
        row_of(t.gap_ms),
        kPercent * PartAbove(t.gap_ms, static_cast<double>(options_.gap_ms)),
        Quantile(t.fullest, 0.5), Quantile(t.busiest, 0.5),
        CountsText(t.outcomes));
    if (!late.empty()) text += "; late: " + CountsText(late);
    if (!t.short_layers.empty()) {
      const auto [layer, n] = Most(t.short_layers, 1).front();
      text += fmt::format("; layer {} short {} times, {:.2f} taken", layer, n,
                          Quantile(t.short_taken, 0.5));
    }
    text += '\n';
  }
  return text;
}

// --- one request -----------------------------------------------------------

std::string LogDigest::Story(const std::string& request) const {
  std::vector<const Event*> story;
  for (const Event& e : events_) {
    if (JsonField<std::string>(e.fields, "id", "") == request) {
      story.push_back(&e);
    }
  }
  std::stable_sort(
      story.begin(), story.end(),
      [](const Event* a, const Event* b) { return a->ms < b->ms; });
  std::string text;
  for (const Event* e : story) {
    Json rest = e->fields;
    const std::string time = JsonField<std::string>(rest, "time", "");
    for (const char* key : {"time", "box", "level", "part", "event", "id"}) {
      rest.erase(key);
    }
    text += fmt::format("{} {} {} {}\n", time, e->box, e->name, DumpJson(rest));
  }
  return text;
}

}  // namespace pinford
