#include "pinford/operator_api.h"

#include <openssl/crypto.h>

#include "pinford/engine_protocol.h"
#include "pinford/log.h"
#include "util/json.h"

namespace pinford {

const OperatorApi::Route OperatorApi::kRoutes[] = {
    {HttpMethod::kGet, "/v1/configuration", false,
     &OperatorApi::ShowConfiguration},
    {HttpMethod::kPost, "/v1/configuration", false, &OperatorApi::Submit},
    {HttpMethod::kGet, "/v1/submissions", false, &OperatorApi::ShowSubmission},
    {HttpMethod::kGet, "/v1/timeline", false, &OperatorApi::ShowTimeline},
    {HttpMethod::kGet, "/v1/boxes", false, &OperatorApi::ShowBoxes},
    {HttpMethod::kGet, "/v1/endpoints", false, &OperatorApi::ShowEndpoints},
    {HttpMethod::kGet, "/metrics", true, &OperatorApi::ShowMetrics},
    {HttpMethod::kGet, "/healthz", true, &OperatorApi::ShowHealth},
    {HttpMethod::kGet, "/readyz", true, &OperatorApi::ShowReady},
};

OperatorApi::OperatorApi(BoxContext* context, Documents* documents,
                         PeerLink* link)
    : context_(context), documents_(documents), link_(link) {}

static void ReplyError(const ExchangePtr& exchange, int status,
                       std::string_view code, std::string_view message) {
  exchange->Reply(status, kJsonType, WriteError(code, message));
}

bool OperatorApi::IsAuthorized(const HttpExchange& exchange) const {
  const std::string expected = "Bearer " + context_->settings.operator_key;
  const std::string actual = exchange.header("Authorization");
  return actual.size() == expected.size() &&
         CRYPTO_memcmp(actual.data(), expected.data(), expected.size()) == 0;
}

void OperatorApi::OnRequest(ExchangePtr exchange) {
  bool known_path = false;
  for (const Route& route : kRoutes) {
    if (exchange->path() != route.path) continue;
    known_path = true;
    if (exchange->method() != route.method) continue;
    if (!route.is_public && !IsAuthorized(*exchange)) {
      context_->metrics.Count("operator_refusals_total");
      ReplyError(exchange, 401, "key",
                 "the operators' key is missing or wrong");
      return;
    }
    (this->*route.handler)(std::move(exchange));
    return;
  }
  if (known_path) {
    ReplyError(exchange, 405, "method", "no such method here");
  } else {
    ReplyError(exchange, 404, "path", "no such path");
  }
}

void OperatorApi::ShowConfiguration(ExchangePtr exchange) {
  const Configuration& c = documents_->configuration();
  if (c.generation == 0) {
    exchange->Reply(200, kJsonType, R"({"generation":0,"policy":[]})");
    return;
  }
  exchange->Reply(200, kJsonType, WriteConfiguration(c));
}

static std::vector<PolicyFile> ParsePolicyFiles(const Json& v,
                                                Findings* findings) {
  std::vector<PolicyFile> files;
  const Json list = v.is_object() ? v.value("policy", Json()) : Json();
  if (!list.is_array() || list.empty()) {
    findings->Add("body", 0, "policy must be a list of files");
    return files;
  }
  for (const Json& f : list) {
    const std::string name = JsonField<std::string>(f, "name", "");
    const Json source = f.is_object() ? f.value("source", Json()) : Json();
    if (name.empty() || !source.is_string()) {
      findings->Add("body", 0, "each file must have a name and a source");
      continue;
    }
    files.push_back({name, source.get<std::string>()});
  }
  return files;
}

static void ReplyFindings(const ExchangePtr& exchange,
                          const Findings& findings) {
  Json error{{"code", "policy"}, {"message", "the policy has faults"}};
  for (const Finding& f : findings.list()) {
    error["findings"].push_back(f.ToString());
  }
  exchange->Reply(422, kJsonType, DumpJson(Json{{"error", error}}));
}

void OperatorApi::Submit(ExchangePtr exchange) {
  const Json v = ParseJson(exchange->body());
  Findings findings;
  SubmissionRequest request;
  request.policy = ParsePolicyFiles(v, &findings);
  request.id = JsonField<std::string>(v, "id", "");
  request.author = JsonField<std::string>(v, "author", "");
  if (request.id.empty()) findings.Add("body", 0, "id must be a text");
  if (!v.is_object() || !v.contains("expected_generation")) {
    findings.Add("body", 0, "expected_generation must be a number");
  }
  request.expected_generation =
      JsonField<uint64_t>(v, "expected_generation", 0);
  if (findings.empty()) {
    Policy::Load(request.policy, Policy::Options(), &findings);
  }
  if (!findings.empty()) {
    ReplyFindings(exchange, findings);
    return;
  }
  // The platform's key-value service stores values of up to 1 MB.
  constexpr size_t kMaxPolicyBytes = 512 << 10;
  size_t bytes = 0;
  for (const PolicyFile& f : request.policy) bytes += f.source.size();
  if (bytes > kMaxPolicyBytes) {
    ReplyError(exchange, 413, "size", "the policy is over 512 KiB");
    return;
  }
  const std::string id = request.id;
  Submission<StoreClient, EventLoop>::Start(
      &context_->store, context_->loop, std::move(request),
      [this, exchange, id](const SubmissionResult& result) {
        context_->timeline.Add(
            EventKind::kSubmissionDecided, id,
            std::string(SubmissionStatusName(result.status)) + ", generation " +
                std::to_string(result.generation));
        if (result.status == SubmissionStatus::kAccepted) {
          documents_->AdoptAccepted(result.configuration);
        }
        ReplySubmission(exchange, result);
      });
}

void OperatorApi::ReplySubmission(const ExchangePtr& exchange,
                                  const SubmissionResult& result) {
  static const struct {
    SubmissionStatus status;
    int http;
  } kStatuses[] = {
      {SubmissionStatus::kAccepted, 200},
      {SubmissionStatus::kStale, 409},
      {SubmissionStatus::kUndecided, 202},
      {SubmissionStatus::kNotWritten, 503},
  };
  int http = 500;
  for (const auto& row : kStatuses) {
    if (row.status == result.status) http = row.http;
  }
  exchange->Reply(http, kJsonType,
                  DumpJson(Json{{"status", SubmissionStatusName(result.status)},
                                {"generation", result.generation}}));
}

void OperatorApi::ShowSubmission(ExchangePtr exchange) {
  const std::string id = exchange->query("id");
  if (id.empty()) {
    ReplyError(exchange, 400, "id", "id must be given");
    return;
  }
  // The store has every accepted submission; this box may not have the latest.
  context_->store.Get(
      kConfigurationKey, [this, exchange, id](const StoreResult& r) {
        Configuration c = documents_->configuration();
        const bool store_responded =
            r.status == StoreStatus::kOk || r.status == StoreStatus::kMissing;
        if (r.status == StoreStatus::kOk) {
          std::optional<Configuration> stored = ParseConfiguration(r.now.value);
          if (stored) c = std::move(*stored);
        }
        const std::optional<uint64_t> generation = c.GenerationOf(id);
        const char* status = generation        ? "accepted"
                             : store_responded ? "absent"
                                               : "undecided";
        exchange->Reply(
            store_responded || generation ? 200 : 503, kJsonType,
            DumpJson(Json{{"status", status},
                          {"generation", generation.value_or(c.generation)},
                          {"current_generation", c.generation}}));
      });
}

// --- timeline --------------------------------------------------------------

// Collects the events of all boxes until each box has responded or timed out.
struct TimelineQuery {
  std::vector<TimelineEvent> events;
  std::vector<std::string> unanswered;
  size_t pending = 0;
};

static void ReplyTimeline(const ExchangePtr& exchange, TimelineQuery* query) {
  SortEvents(&query->events);
  Json list = Json::array();
  for (const TimelineEvent& e : query->events) {
    list.push_back({{"ms", e.time.millis},
                    {"counter", e.time.counter},
                    {"box", e.box},
                    {"sequence", e.sequence},
                    {"kind", EventKindName(e.kind)},
                    {"request", e.request},
                    {"detail", e.detail},
                    {"line", FormatEvent(e)}});
  }
  exchange->Reply(
      200, kJsonType,
      DumpJson(Json{{"events", list}, {"silent", query->unanswered}}));
}

void OperatorApi::ShowTimeline(ExchangePtr exchange) {
  FetchRequest request;
  request.kind = FetchKind::kTimeline;
  request.request = exchange->query("request");
  auto query = std::make_shared<TimelineQuery>();
  query->events = context_->timeline.Events(request.request);
  query->pending = context_->membership.members().size() + 1;
  auto on_reply = [exchange, query] {
    if (--query->pending == 0) ReplyTimeline(exchange, query.get());
  };
  for (const auto& [name, m] : context_->membership.members()) {
    link_->Fetch(
        m.row.address, request,
        [query, on_reply, name = name](std::optional<FetchReply> reply) {
          if (reply) {
            query->events.insert(query->events.end(), reply->events.begin(),
                                 reply->events.end());
          } else {
            query->unanswered.push_back(name);
          }
          on_reply();
        });
  }
  on_reply();
}

// --- state -----------------------------------------------------------------

void OperatorApi::ShowBoxes(ExchangePtr exchange) {
  const Time now = context_->loop->now();
  auto row_json = [](const MemberRow& row, bool suspected) {
    return Json{{"box", row.name},
                {"hall", row.hall},
                {"peers", row.address},
                {"incarnation", row.incarnation},
                {"leaving", row.state == MemberState::kLeaving},
                {"suspected", suspected},
                {"generation", row.versions[0]},
                {"list", row.versions[1]}};
  };
  Json list = Json::array();
  list.push_back(row_json(context_->membership.self(), false));
  for (const auto& [name, m] : context_->membership.members()) {
    list.push_back(row_json(m.row, context_->membership.Suspected(now, m)));
  }
  exchange->Reply(200, kJsonType, DumpJson(Json{{"boxes", list}}));
}

void OperatorApi::ShowEndpoints(ExchangePtr exchange) {
  const Time now = context_->loop->now();
  Json list = Json::array();
  for (const auto& [name, row] : context_->table.rows()) {
    Json v{{"endpoint", name},
           {"role", EndpointRoleName(row.listed.role)},
           {"hall", row.listed.hall},
           {"address", row.listed.address.ToString()},
           {"takes_new_work", context_->table.TakesNewWork(now, name)},
           {"leaving", context_->table.IsLeaving(name)},
           {"load", context_->table.LoadOf(name)},
           {"own", row.own}};
    if (row.report) {
      v["slots"] = row.report->slots;
      v["model"] = row.report->model;
      v["version"] = row.report->version;
      v["begin"] = row.report->holds.begin;
      v["end"] = row.report->holds.end;
    }
    list.push_back(std::move(v));
  }
  exchange->Reply(200, kJsonType, DumpJson(Json{{"endpoints", list}}));
}

void OperatorApi::ShowMetrics(ExchangePtr exchange) {
  if (refresh_metrics_) refresh_metrics_();
  exchange->Reply(200, "text/plain; version=0.0.4", context_->metrics.Text());
}

void OperatorApi::ShowHealth(ExchangePtr exchange) {
  exchange->Reply(200, "text/plain", "ok\n");
}

void OperatorApi::ShowReady(ExchangePtr exchange) {
  const bool ready = ready_ && ready_();
  exchange->Reply(ready ? 200 : 503, "text/plain",
                  ready ? "ok\n" : "not ready\n");
}

}  // namespace pinford
