#include "pinford/box.h"

#include <algorithm>

#include "pinford/log.h"

namespace pinford {

static HttpServer::Options CallerOptions(const Settings& s) {
  HttpServer::Options options;
  options.max_body_bytes = s.max_body_bytes;
  options.max_header_bytes = s.max_header_bytes;
  options.idle_timeout = s.idle_timeout;
  return options;
}

static HallPlannerOptions PlannerOptions(const Settings& s) {
  HallPlannerOptions options;
  options.load_spacing = s.load_spacing;
  return options;
}

Box::Box(const Settings& settings, EventLoop* loop)
    : incarnation_(WallMillis()),
      context_(settings, loop, incarnation_),
      gossip_(loop, &context_.membership, settings.peer_key, PeerHandlers()),
      documents_(&context_, gossip_.link()),
      caller_api_(&context_),
      operator_api_(&context_, &documents_, gossip_.link()),
      poller_(&context_),
      planner_(&context_.store, &context_.engines, loop, settings.hall,
               settings.box + "/" + std::to_string(incarnation_),
               PlannerOptions(settings), PlannerEvents()),
      caller_server_(
          loop, CallerOptions(settings),
          [this](ExchangePtr e) { caller_api_.OnRequest(std::move(e)); }),
      operator_server_(loop, HttpServer::Options(), [this](ExchangePtr e) {
        operator_api_.OnRequest(std::move(e));
      }) {
  context_.announce_leaving = [this](const std::string& e) {
    AnnounceLeaving(e);
  };
  documents_.set_announce([this] { gossip_.Announce(); });
  operator_api_.set_ready([this] { return ready(); });
  operator_api_.set_refresh_metrics([this] { RefreshMetrics(); });
  context_.store.set_on_change([this](bool down) {
    context_.timeline.Add(
        down ? EventKind::kStoreLost : EventKind::kStoreRegained, "", "");
    Log(LogPart::kBox, down ? LogLevel::kWarn : LogLevel::kInfo,
        down ? "The store is unreachable." : "The store is reachable again.");
  });
}

Box::~Box() = default;

bool Box::Start(std::string* error) {
  const Settings& s = context_.settings;
  if (!CheckListening(caller_server_.Listen(s.callers), "callers", s.callers,
                      error) ||
      !CheckListening(operator_server_.Listen(s.operators), "operators",
                      s.operators, error) ||
      !CheckListening(gossip_.Listen(s.peers), "peers", s.peers, error)) {
    return false;
  }
  context_.timeline.Add(EventKind::kBoxStarted, "", s.hall);
  Log(LogPart::kBox, LogLevel::kInfo,
      "Callers are served on " + s.callers.ToString() + ".");
  documents_.Start();
  gossip_.Start();
  context_.loop->Every(kTickInterval, [this] { Tick(); });
  context_.loop->Every(s.report_interval, [this] { poller_.Poll(); });
  context_.loop->Every(kShareInterval, [this] { UpdateShares(); });
  planner_.Start();
  return true;
}

void Box::Tick() {
  const Time now = context_.loop->now();
  if (!has_initial_state_ && documents_.ready()) {
    poller_.Poll();
    has_initial_state_ = poller_.polled_all();
  }
  if (ready() != was_ready_) {
    was_ready_ = ready();
    caller_api_.set_ready(was_ready_);
    if (was_ready_) {
      context_.timeline.Add(EventKind::kBoxReady, "", "");
      Log(LogPart::kBox, LogLevel::kInfo, "The box is ready.");
    }
  }
  gossip_.Tick();
  context_.table.OnPeerCounts(context_.membership.SumOfCounts(now));
  context_.table.set_peer_boxes(context_.membership.live_boxes(now) - 1);
  UpdateOwnState();
  documents_.Tick();
  caller_api_.Tick();
  if (context_.stopping) FinishStop();
}

void Box::UpdateOwnState() {
  std::vector<EndpointCount> counts;
  for (const auto& [name, row] : context_.table.rows()) {
    if (row.own_work == 0) continue;
    counts.push_back(MakeEndpointCount(name, row));
  }
  context_.membership.set_counts(std::move(counts));
  context_.membership.set_load(caller_api_.running(), caller_api_.waiting());
  context_.membership.set_leaving_endpoints(context_.table.LeavingMarks());
}

void Box::AnnounceLeaving(const std::string& endpoint) {
  context_.timeline.Add(EventKind::kEndpointLeaving, "", endpoint);
  Log(LogPart::kEndpoints, LogLevel::kInfo,
      "Endpoint " + endpoint + " is leaving.");
  gossip_.Announce();
}

void Box::OnMemberChange(const std::string& name, MemberChange change) {
  switch (change) {
    case MemberChange::kJoined:
      context_.timeline.Add(EventKind::kPeerJoined, "", name);
      Log(LogPart::kPeers, LogLevel::kInfo, "Box " + name + " joined.");
      break;
    case MemberChange::kLeaving:
      context_.timeline.Add(EventKind::kPeerLeaving, "", name);
      Log(LogPart::kPeers, LogLevel::kInfo, "Box " + name + " is leaving.");
      break;
    case MemberChange::kLost:
      context_.timeline.Add(EventKind::kPeerLost, "", name);
      Log(LogPart::kPeers, LogLevel::kWarn, "Box " + name + " is lost.");
      break;
  }
}

Gossip::Handlers Box::PeerHandlers() {
  Gossip::Handlers handlers;
  handlers.refresh = [this] { UpdateOwnState(); };
  handlers.time = [this] { return context_.timeline.now(); };
  handlers.on_digest = [this](const Digest& d) { OnDigest(d); };
  handlers.on_fetch = [this](const FetchRequest& r) { return OnFetch(r); };
  handlers.on_member = [this](const std::string& name, MemberChange change) {
    OnMemberChange(name, change);
  };
  return handlers;
}

void Box::OnDigest(const Digest& digest) {
  context_.timeline.Observe(digest.time);
  bool changed = false;
  for (const auto& [endpoint, incarnation] : digest.leaving) {
    if (!context_.table.OnLeaving(endpoint, incarnation)) continue;
    changed = true;
    context_.timeline.Add(EventKind::kEndpointLeaving, "",
                          endpoint + ", as " + digest.sender.name + " says");
  }
  if (changed) gossip_.Announce();
  documents_.Tick();
}

FetchReply Box::OnFetch(const FetchRequest& request) {
  FetchReply reply;
  switch (request.kind) {
    case FetchKind::kConfiguration:
      return documents_.MakeFetchReply(DocumentKind::kConfiguration);
    case FetchKind::kEndpoints:
      return documents_.MakeFetchReply(DocumentKind::kEndpoints);
    case FetchKind::kTimeline:
      reply.kind = request.kind;
      reply.events = context_.timeline.Events(request.request);
      break;
    case FetchKind::kMembers:  // handled by Gossip
    case FetchKind::kShared:   // used by forwarding boxes only
      break;
  }
  // A kind that this version does not know gets an empty reply, too.
  return reply;
}

void Box::UpdateShares() {
  const Time now = context_.loop->now();
  std::map<std::string, std::map<std::string, double>> weights;
  wanted_replicas_.clear();
  for (const std::string& model : context_.table.Models()) {
    const std::map<std::string, HallDemand> halls =
        context_.table.Halls(now, model);
    weights[model] = context_.policy->Share(model, halls, context_.Hour());
    const std::map<std::string, int> placement =
        context_.policy->Placement(model, halls, context_.Hour());
    auto local = placement.find(context_.settings.hall);
    if (local != placement.end()) wanted_replicas_[model] = local->second;
  }
  caller_api_.set_hall_weights(std::move(weights));
  context_.ReportPolicyErrors();
}

HallPlannerEvents Box::PlannerEvents() {
  HallPlannerEvents events;
  events.view = [this] { return MakeHallView(); };
  // Without a placement by the policy, no box needs the planner's lease.
  events.is_candidate = [this] {
    return has_initial_state_ && !context_.stopping &&
           !wanted_replicas_.empty() &&
           context_.membership.IsElected(context_.loop->now(), "planner", 1);
  };
  events.on_lease = [this](uint64_t token) {
    context_.timeline.Add(
        token != 0 ? EventKind::kLeaseAcquired : EventKind::kLeaseLost, "",
        "planner of " + context_.settings.hall + ", token " +
            std::to_string(token));
  };
  events.on_order = [this](const std::string& runner, const Order& order) {
    const Holding& h = order.hold;
    const std::string text = runner + " to hold " + h.model + " " + h.version +
                             " " + std::to_string(h.range.begin) + "-" +
                             std::to_string(h.range.end);
    context_.timeline.Add(EventKind::kOrderSent, "", text);
    Log(LogPart::kEndpoints, LogLevel::kInfo, "Order: " + text + ".");
  };
  return events;
}

HallView Box::MakeHallView() {
  HallView view;
  view.wanted = wanted_replicas_;
  const Time now = context_.loop->now();
  for (const auto& [name, row] : context_.table.rows()) {
    const bool local = row.listed.hall == context_.settings.hall;
    if (!local || row.listed.role != EndpointRole::kRunner || !row.report) {
      continue;
    }
    PlannedRunner r;
    r.name = name;
    r.holds = {row.report->model, row.report->version, row.report->holds};
    r.layers = row.report->layers;
    r.load = context_.table.LoadOf(name);
    r.usable = context_.table.TakesNewWork(now, name);
    view.runners.push_back(std::move(r));
    view.checks_fence[name] = row.listed.checks_fence;
  }
  return view;
}

void Box::RefreshMetrics() {
  Metrics& m = context_.metrics;
  const Time now = context_.loop->now();
  m.Set("active_requests", "", caller_api_.active());
  m.Set("running_requests", "", caller_api_.running());
  m.Set("waiting_requests", "", caller_api_.waiting());
  m.Set("caller_connections", "",
        static_cast<double>(caller_server_.connections()));
  m.Set("live_boxes", "", context_.membership.live_boxes(now));
  m.Set("generation", "",
        static_cast<double>(documents_.configuration().generation));
  m.Set("store_down", "", context_.store.down() ? 1 : 0);
  m.Set("store_calls", "", static_cast<double>(context_.store.calls()));
  m.Set("peer_bytes_sent", "",
        static_cast<double>(gossip_.link()->bytes_sent()));
  m.Set("peer_bytes_received", "",
        static_cast<double>(gossip_.link()->bytes_received()));
  m.Set("peer_messages_dropped", "",
        static_cast<double>(gossip_.link()->dropped()));
  m.Set("retries_refused", "", static_cast<double>(context_.retries.refused()));
  m.Set("timeline_dropped", "",
        static_cast<double>(context_.timeline.dropped()));
  int usable = 0;
  for (const auto& [name, row] : context_.table.rows()) {
    if (context_.table.TakesNewWork(now, name)) usable++;
  }
  m.Set("usable_endpoints", "", usable);
}

// --- graceful shutdown -----------------------------------------------------

void Box::BeginStop() {
  if (context_.stopping) return;
  context_.stopping = true;
  stop_started_ = idle_since_ = context_.loop->now();
  context_.timeline.Add(EventKind::kBoxLeaving, "", "");
  Log(LogPart::kBox, LogLevel::kInfo,
      "The box is leaving. It finishes what it has.");
  context_.membership.set_leaving();
  caller_server_.set_close_after_reply(true);
  gossip_.Announce();
}

void Box::FinishStop() {
  const Time now = context_.loop->now();
  const Settings& s = context_.settings;
  if (now - stop_started_ < s.stop_listening_after) return;
  caller_server_.StopListening();
  if (caller_api_.active() > 0) idle_since_ = now;
  // The last connections may still be sending out their responses.
  constexpr Duration kIdleBeforeStop = milliseconds(300);
  const bool idle = now - idle_since_ >= kIdleBeforeStop;
  const bool timed_out = now - stop_started_ >= s.stop_timeout;
  if (!idle && !timed_out) return;
  if (timed_out && caller_api_.active() > 0) {
    Log(LogPart::kBox, LogLevel::kError,
        "The box stops with requests unfinished.");
  }
  context_.timeline.Add(EventKind::kBoxStopped, "", "");
  Log(LogPart::kBox, LogLevel::kInfo, "The box stops.");
  context_.loop->Stop();
}

}  // namespace pinford
