#include "pinford/configuration.h"

#include <algorithm>

#include "util/json.h"

namespace pinford {

std::optional<uint64_t> Configuration::GenerationOf(std::string_view id) const {
  if (generation > 0 && submission == id) return generation;
  for (const HistoryEntry& entry : history) {
    if (entry.submission == id) return entry.generation;
  }
  return std::nullopt;
}

std::string WriteConfiguration(const Configuration& c) {
  Json files = Json::array();
  for (const PolicyFile& f : c.policy) {
    files.push_back({{"name", f.name}, {"source", f.source}});
  }
  Json history = Json::array();
  for (const Configuration::HistoryEntry& p : c.history) {
    history.push_back(
        {{"generation", p.generation}, {"submission", p.submission}});
  }
  return DumpJson(Json{{"generation", c.generation},
                       {"submission", c.submission},
                       {"author", c.author},
                       {"policy", files},
                       {"history", history}});
}

std::optional<Configuration> ParseConfiguration(std::string_view json) {
  const Json v = ParseJson(json);
  Configuration c;
  c.generation = JsonField<uint64_t>(v, "generation", 0);
  c.submission = JsonField<std::string>(v, "submission", "");
  c.author = JsonField<std::string>(v, "author", "");
  if (c.generation == 0 || c.submission.empty()) return std::nullopt;
  for (const Json& f : v.value("policy", Json::array())) {
    c.policy.push_back({JsonField<std::string>(f, "name", ""),
                        JsonField<std::string>(f, "source", "")});
  }
  for (const Json& p : v.value("history", Json::array())) {
    c.history.push_back({JsonField<uint64_t>(p, "generation", 0),
                         JsonField<std::string>(p, "submission", "")});
  }
  return c;
}

Configuration MakeSuccessor(const Configuration& base, std::string submission,
                            std::string author,
                            std::vector<PolicyFile> policy) {
  Configuration next;
  next.generation = base.generation + 1;
  next.submission = std::move(submission);
  next.author = std::move(author);
  next.policy = std::move(policy);
  if (base.generation > 0) {
    next.history.push_back({base.generation, base.submission});
  }
  const size_t free_entries = kMaxHistoryLength - next.history.size();
  const size_t kept_entries = std::min(free_entries, base.history.size());
  next.history.insert(next.history.end(), base.history.begin(),
                      base.history.begin() + static_cast<long>(kept_entries));
  return next;
}

}  // namespace pinford
