#include "pinford/forwarding/quarantine_document.h"

#include "util/json.h"

namespace pinford {

static Json ToJson(const CrashedRun& run) {
  return Json{{"endpoint", run.endpoint},
              {"incarnation", run.incarnation},
              {"began_ms_ago", run.began_ms_ago},
              {"ended_ms_ago", run.ended_ms_ago}};
}

std::string WriteQuarantine(const std::vector<CrashRecord>& records) {
  Json list = Json::array();
  for (const CrashRecord& record : records) {
    Json runs = Json::array();
    for (const CrashedRun& run : record.runs) runs.push_back(ToJson(run));
    list.push_back({{"fingerprint", record.fingerprint}, {"runs", runs}});
  }
  return DumpJson(list);
}

static std::optional<CrashedRun> ParseRun(const Json& v) {
  if (!v.is_object()) return std::nullopt;
  CrashedRun run;
  run.endpoint = JsonField<std::string>(v, "endpoint", "");
  run.incarnation = JsonField<uint64_t>(v, "incarnation", 0);
  run.began_ms_ago = JsonField<uint32_t>(v, "began_ms_ago", 0);
  run.ended_ms_ago = JsonField<uint32_t>(v, "ended_ms_ago", 0);
  const bool valid = !run.endpoint.empty() &&
                     run.endpoint.size() <= kMaxCrashedEndpointBytes &&
                     run.began_ms_ago >= run.ended_ms_ago;
  if (!valid) return std::nullopt;
  return run;
}

static std::optional<CrashRecord> ParseRecord(const Json& v) {
  if (!v.is_object()) return std::nullopt;
  CrashRecord record;
  record.fingerprint = JsonField<std::string>(v, "fingerprint", "");
  const Json runs = v.value("runs", Json());
  const bool valid = !record.fingerprint.empty() &&
                     record.fingerprint.size() <= kMaxFingerprintBytes &&
                     runs.is_array() && runs.size() <= kMaxCrashedRuns;
  if (!valid) return std::nullopt;
  for (const Json& r : runs) {
    const std::optional<CrashedRun> run = ParseRun(r);
    if (!run) return std::nullopt;
    record.runs.push_back(*run);
  }
  return record;
}

std::optional<std::vector<CrashRecord>> ParseQuarantine(std::string_view text) {
  const Json v = ParseJson(text);
  if (!v.is_array() || v.size() > kMaxCrashRecords) return std::nullopt;
  std::vector<CrashRecord> records;
  for (const Json& item : v) {
    std::optional<CrashRecord> record = ParseRecord(item);
    if (!record) return std::nullopt;
    records.push_back(std::move(*record));
  }
  return records;
}

}  // namespace pinford
