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
      parts_(settings, loop, incarnation_),
      peers_(loop, &parts_.membership, settings.peer_key, PeerHandlers()),
      documents_(&parts_, peers_.link()),
      caller_api_(&parts_),
      operator_api_(&parts_, &documents_, peers_.link()),
      poller_(&parts_),
      planner_(&parts_.store, &parts_.engines, loop, settings.hall,
               settings.box + "/" + std::to_string(incarnation_),
               PlannerOptions(settings), PlannerEvents()),
      callers_(loop, CallerOptions(settings),
               [this](ExchangePtr e) { caller_api_.OnRequest(std::move(e)); }),
      operators_(loop, HttpServer::Options(), [this](ExchangePtr e) {
        operator_api_.OnRequest(std::move(e));
      }) {
  parts_.spread_leaving = [this](const std::string& e) { SpreadLeaving(e); };
  documents_.set_announce([this] { peers_.Announce(); });
  operator_api_.set_ready([this] { return ready(); });
  operator_api_.set_refresh_metrics([this] { RefreshMetrics(); });
  parts_.store.set_on_change([this](bool down) {
    parts_.timeline.Add(down ? EventKind::kStoreLost : EventKind::kStoreBack,
                        "", "");
    Log(LogPart::kBox, down ? LogLevel::kWarn : LogLevel::kInfo,
        down ? "The store does not answer." : "The store answers again.");
  });
}

Box::~Box() = default;

bool Box::Start(std::string* error) {
  const Settings& s = parts_.settings;
  if (!CheckListening(callers_.Listen(s.callers), "callers", s.callers,
                      error) ||
      !CheckListening(operators_.Listen(s.operators), "operators", s.operators,
                      error) ||
      !CheckListening(peers_.Listen(s.peers), "peers", s.peers, error)) {
    return false;
  }
  parts_.timeline.Add(EventKind::kBoxStarted, "", s.hall);
  Log(LogPart::kBox, LogLevel::kInfo,
      "Callers are served on " + s.callers.ToString() + ".");
  documents_.Start();
  peers_.Start();
  parts_.loop->Every(kTick, [this] { Tick(); });
  parts_.loop->Every(s.report_interval, [this] { poller_.Poll(); });
  parts_.loop->Every(kShareEvery, [this] { UpdateShares(); });
  planner_.Start();
  return true;
}

void Box::Tick() {
  const Time now = parts_.loop->now();
  if (!informed_ && documents_.ready()) {
    poller_.Poll();
    informed_ = poller_.heard_all();
  }
  if (ready() != was_ready_) {
    was_ready_ = ready();
    caller_api_.set_ready(was_ready_);
    if (was_ready_) {
      parts_.timeline.Add(EventKind::kBoxReady, "", "");
      Log(LogPart::kBox, LogLevel::kInfo, "The box is ready.");
    }
  }
  peers_.Tick();
  parts_.table.OnPeerCounts(parts_.membership.SumOfCounts(now));
  parts_.table.set_peer_boxes(parts_.membership.live_boxes(now) - 1);
  UpdateOwnState();
  documents_.Tick();
  caller_api_.Tick();
  if (parts_.stopping) FinishStop();
}

void Box::UpdateOwnState() {
  std::vector<EndpointCount> counts;
  for (const auto& [name, row] : parts_.table.rows()) {
    if (row.own_work == 0) continue;
    counts.push_back(MakeEndpointCount(name, row));
  }
  parts_.membership.set_counts(std::move(counts));
  parts_.membership.set_load(caller_api_.running(), caller_api_.waiting());
  parts_.membership.set_leaving_endpoints(parts_.table.LeavingMarks());
}

void Box::SpreadLeaving(const std::string& endpoint) {
  parts_.timeline.Add(EventKind::kEndpointLeaving, "", endpoint);
  Log(LogPart::kEndpoints, LogLevel::kInfo,
      "Endpoint " + endpoint + " is leaving.");
  peers_.Announce();
}

void Box::NoteMember(const std::string& name, MemberChange change) {
  switch (change) {
    case MemberChange::kJoined:
      parts_.timeline.Add(EventKind::kPeerJoined, "", name);
      Log(LogPart::kPeers, LogLevel::kInfo, "Box " + name + " joined.");
      break;
    case MemberChange::kLeaving:
      parts_.timeline.Add(EventKind::kPeerLeaving, "", name);
      Log(LogPart::kPeers, LogLevel::kInfo, "Box " + name + " is leaving.");
      break;
    case MemberChange::kLost:
      parts_.timeline.Add(EventKind::kPeerLost, "", name);
      Log(LogPart::kPeers, LogLevel::kWarn, "Box " + name + " is lost.");
      break;
  }
}

Gossip::Handlers Box::PeerHandlers() {
  Gossip::Handlers handlers;
  handlers.refresh = [this] { UpdateOwnState(); };
  handlers.time = [this] { return parts_.timeline.now(); };
  handlers.on_digest = [this](const Digest& d) { OnDigest(d); };
  handlers.on_fetch = [this](const FetchRequest& r) { return OnFetch(r); };
  handlers.on_member = [this](const std::string& name, MemberChange change) {
    NoteMember(name, change);
  };
  return handlers;
}

void Box::OnDigest(const Digest& digest) {
  parts_.timeline.Observe(digest.time);
  bool news = false;
  for (const auto& [endpoint, incarnation] : digest.leaving) {
    if (!parts_.table.OnLeaving(endpoint, incarnation)) continue;
    news = true;
    parts_.timeline.Add(EventKind::kEndpointLeaving, "",
                        endpoint + ", as " + digest.sender.name + " says");
  }
  // News from another hall is passed on in this one.
  const bool from_afar = digest.sender.hall != parts_.settings.hall;
  if (news && from_afar) peers_.Announce();
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
      reply.events = parts_.timeline.Events(request.request);
      break;
    case FetchKind::kMembers:  // Gossip answers it
    case FetchKind::kShared:   // of forwarding boxes
      break;
  }
  // A kind that this version does not know gets an empty reply.
  return reply;
}

void Box::UpdateShares() {
  const Time now = parts_.loop->now();
  std::map<std::string, std::map<std::string, double>> weights;
  wanted_.clear();
  for (const std::string& model : parts_.table.Models()) {
    const std::map<std::string, HallDemand> halls =
        parts_.table.Halls(now, model);
    weights[model] = parts_.policy->Share(model, halls, parts_.Hour());
    const std::map<std::string, int> placement =
        parts_.policy->Placement(model, halls, parts_.Hour());
    auto here = placement.find(parts_.settings.hall);
    if (here != placement.end()) wanted_[model] = here->second;
  }
  caller_api_.set_hall_weights(std::move(weights));
  parts_.NotePolicyErrors();
}

HallPlannerEvents Box::PlannerEvents() {
  HallPlannerEvents events;
  events.view = [this] { return ViewOfHall(); };
  // Without a wish of the policy nobody needs the lease.
  events.is_candidate = [this] {
    return informed_ && !parts_.stopping && !wanted_.empty() &&
           parts_.membership.IsElected(parts_.loop->now(), "planner", 1);
  };
  events.on_lease = [this](uint64_t token) {
    parts_.timeline.Add(
        token != 0 ? EventKind::kLeaseTaken : EventKind::kLeaseLost, "",
        "planner of " + parts_.settings.hall + ", token " +
            std::to_string(token));
  };
  events.on_order = [this](const std::string& runner, const Order& order) {
    const Holding& h = order.hold;
    const std::string text = runner + " to hold " + h.model + " " + h.version +
                             " " + std::to_string(h.range.begin) + "-" +
                             std::to_string(h.range.end);
    parts_.timeline.Add(EventKind::kOrderSent, "", text);
    Log(LogPart::kEndpoints, LogLevel::kInfo, "Order: " + text + ".");
  };
  return events;
}

HallView Box::ViewOfHall() {
  HallView view;
  view.wanted = wanted_;
  const Time now = parts_.loop->now();
  for (const auto& [name, row] : parts_.table.rows()) {
    const bool here = row.listed.hall == parts_.settings.hall;
    if (!here || row.listed.role != EndpointRole::kRunner || !row.report) {
      continue;
    }
    PlannedRunner r;
    r.name = name;
    r.holds = {row.report->model, row.report->version, row.report->holds};
    r.layers = row.report->layers;
    r.load = parts_.table.LoadOf(name);
    r.usable = parts_.table.TakesNewWork(now, name);
    view.runners.push_back(std::move(r));
    view.checks_fence[name] = row.listed.checks_fence;
  }
  return view;
}

void Box::RefreshMetrics() {
  Metrics& m = parts_.metrics;
  const Time now = parts_.loop->now();
  m.Set("active_requests", "", caller_api_.active());
  m.Set("running_requests", "", caller_api_.running());
  m.Set("waiting_requests", "", caller_api_.waiting());
  m.Set("caller_connections", "", static_cast<double>(callers_.connections()));
  m.Set("live_boxes", "", parts_.membership.live_boxes(now));
  m.Set("generation", "",
        static_cast<double>(documents_.configuration().generation));
  m.Set("store_down", "", parts_.store.down() ? 1 : 0);
  m.Set("store_calls", "", static_cast<double>(parts_.store.calls()));
  m.Set("peer_bytes_sent", "",
        static_cast<double>(peers_.link()->bytes_sent()));
  m.Set("peer_bytes_received", "",
        static_cast<double>(peers_.link()->bytes_received()));
  m.Set("peer_messages_dropped", "",
        static_cast<double>(peers_.link()->dropped()));
  m.Set("retries_refused", "", static_cast<double>(parts_.retries.refused()));
  m.Set("timeline_dropped", "", static_cast<double>(parts_.timeline.dropped()));
  int usable = 0;
  for (const auto& [name, row] : parts_.table.rows()) {
    if (parts_.table.TakesNewWork(now, name)) usable++;
  }
  m.Set("usable_endpoints", "", usable);
}

// --- the planned stop ------------------------------------------------------

void Box::BeginStop() {
  if (parts_.stopping) return;
  parts_.stopping = true;
  stop_begun_ = idle_since_ = parts_.loop->now();
  parts_.timeline.Add(EventKind::kBoxLeaving, "", "");
  Log(LogPart::kBox, LogLevel::kInfo,
      "The box is leaving. It finishes what it has.");
  parts_.membership.set_leaving();
  callers_.set_close_after_reply(true);
  peers_.Announce();
}

void Box::FinishStop() {
  const Time now = parts_.loop->now();
  const Settings& s = parts_.settings;
  if (now - stop_begun_ < s.stop_listening_after) return;
  callers_.StopListening();
  if (caller_api_.active() > 0) idle_since_ = now;
  // Answers may still be on their way out of the last connections.
  constexpr Duration kQuiet = milliseconds(300);
  const bool quiet = now - idle_since_ >= kQuiet;
  const bool late = now - stop_begun_ >= s.stop_timeout;
  if (!quiet && !late) return;
  if (late && caller_api_.active() > 0) {
    Log(LogPart::kBox, LogLevel::kError,
        "The box stops with requests unfinished.");
  }
  parts_.timeline.Add(EventKind::kBoxStopped, "", "");
  Log(LogPart::kBox, LogLevel::kInfo, "The box stops.");
  parts_.loop->Stop();
}

}  // namespace pinford
