#include "pinford/forwarding/forwarding_core.h"

#include <algorithm>

#include "pinford/box_parts.h"
#include "pinford/forwarding/forwarding_options.h"
#include "pinford/log.h"
#include "util/deflate.h"

namespace pinford {

// The proof must hold when a request reaches its endpoint, not only when it
// leaves; a connection that has to be made first takes some of the time.
static constexpr milliseconds kProofMargin{300};
// Before the end of the grace period: what is unfinished is cut then.
static constexpr milliseconds kStopMargin{400};
// The last time before the end of the grace period that callers may connect.
static constexpr milliseconds kLastConnections{1200};
// Answers may still be on their way out of connections that were closed.
static constexpr milliseconds kQuiet{500};

// Entries that are passed over are told so many times in a span: one that
// cannot be read comes again with each of its heartbeats and each list.
static constexpr int kMostPassedOver = 20;
static constexpr seconds kPassedOverSpan{60};

ForwardingCore::ForwardingCore(const Settings& settings, EventLoop* loop,
                               ForwardProtocol protocol)
    : settings_(settings),
      loop_(loop),
      random_(SeededRandom()),
      policy_(&metrics_, settings.utc_offset_minutes),
      http_(loop, HttpClient::Options()),
      upstream_(loop, UpstreamOptions(protocol)),
      table_(settings.hall, TableOptions(settings), SeededRandom()),
      directory_(&table_, EndpointDirectory::Options(), DirectoryEvents()),
      retries_(loop->now(), RetryOptions(settings, settings.off)),
      loans_(&retries_, RetryLoans::Options(), SeededRandom()),
      news_(FailureNews::Options()),
      parts_{
          loop,
          &upstream_,
          &table_,
          &retries_,
          &metrics_,
          &random_,
          std::move(protocol),
          [this](const RequestFacts& facts) { return policy_.Classify(facts); },
          [this](const std::string& service, const std::string& hall) {
            return policy_.HallWeight(service, hall);
          },
          [this] { return ProofHolds(); },
          [this] { return ProofAge(); },
          {},
          [this] { OnCallerWaiting(); },
          [this](const std::string& endpoint) { OnRunnerDown(endpoint); },
          [this](const std::string& endpoint, uint64_t incarnation) {
            directory_.OnLeaving(loop_->now(), endpoint, incarnation);
          },
          {},
          settings.off},
      forwarder_(&parts_),
      membership_(SelfRow(settings, WallMillis()), settings.seeds,
                  PeerOptions(settings), SeededRandom()),
      gossip_(loop, &membership_, settings.peer_key, PeerHandlers()),
      roster_(&membership_, SourceRoster::Options()),
      duty_(loop->now(), IsSeed(), StoreDuty::Options(), SeededRandom()),
      source_(loop, &membership_, &roster_, membership_.other_seeds(),
              gossip_.link(), SeededRandom(), PeerSourceOptions(),
              SourceEvents()),
      callers_(loop, EntryLimits(settings),
               [this](EntryPtr e) { forwarder_.Handle(std::move(e)); }),
      operators_(loop, HttpServer::Options(),
                 [this](const ExchangePtr& e) { ServeOperators(e); }),
      readiness_(loop, HttpServer::Options(),
                 [this](const ExchangePtr& e) {
                   e->Reply(ready() ? 200 : 503, "text/plain", "");
                 }),
      peers_first_(loop->now(), !membership_.other_seeds().empty()) {}

ForwardingCore::~ForwardingCore() = default;

EndpointDirectory::Events ForwardingCore::DirectoryEvents() {
  EndpointDirectory::Events events;
  events.on_joined = [](const DirectoryEntry& e) {
    LogEvent(LogPart::kEndpoints, LogLevel::kInfo, "endpoint_joined",
             LogFields()
                 .Add("endpoint", e.listed.name)
                 .Add("service", e.listed.service)
                 .Add("address", e.listed.address.ToString())
                 .Add("hall", e.listed.hall)
                 .Add("kind", e.runner ? e.runner->kind : "")
                 .Add("slots", e.slots));
  };
  events.on_leaving = [this](const std::string& id) {
    LogEvent(LogPart::kEndpoints, LogLevel::kInfo, "endpoint_leaving",
             LogFields().Add("endpoint", id));
    gossip_.Announce();
  };
  events.on_gone = [this](const std::string& id) {
    LogEvent(LogPart::kEndpoints, LogLevel::kInfo, "endpoint_gone",
             LogFields().Add("endpoint", id));
    upstream_.Forget(id);
    forwarder_.ForgetEndpoint(id);
    endpoint_went_ = true;
  };
  events.on_new_life = [this](const DirectoryEntry& e, uint64_t before) {
    LogEvent(LogPart::kEndpoints, LogLevel::kWarn, "endpoint_started_anew",
             LogFields()
                 .Add("endpoint", e.listed.name)
                 .Add("incarnation", e.listed.incarnation)
                 .Add("before", before));
    metrics_.Count("endpoint_restarts_total");
    upstream_.Forget(e.listed.name);
    forwarder_.OnNewLife(e.listed.name);
  };
  events.on_passed_over = [this](const std::string& id, std::string_view why) {
    OnPassedOver(id, why);
  };
  events.on_holds = [](const DirectoryEntry& e, const LayerRange& before) {
    LogEvent(LogPart::kEndpoints, LogLevel::kInfo, "endpoint_holds",
             LogFields()
                 .Add("endpoint", e.listed.name)
                 .Add("begin", e.runner->holds.begin)
                 .Add("end", e.runner->holds.end)
                 .Add("before_begin", before.begin)
                 .Add("before_end", before.end));
  };
  return events;
}

void ForwardingCore::OnPassedOver(const std::string& place,
                                  std::string_view why) {
  metrics_.Count("entries_passed_over_total");
  const Time now = loop_->now();
  if (now >= passed_over_next_) passed_over_told_ = 0;
  if (passed_over_told_++ == 0) passed_over_next_ = now + kPassedOverSpan;
  if (passed_over_told_ > kMostPassedOver) return;
  LogEvent(LogPart::kEndpoints, LogLevel::kError, "entry_passed_over",
           LogFields().Add("place", place).Add("why", why));
}

bool ForwardingCore::Start(std::string* error) {
  const Settings& s = settings_;
  if (!policy_.Load(s.policy_file, error)) return false;
  if (!ListenOr(callers_.Listen(s.callers), "callers", s.callers, error) ||
      !ListenOr(operators_.Listen(s.operators), "operators", s.operators,
                error)) {
    return false;
  }
  if (s.ready.port != 0 &&
      !ListenOr(readiness_.Listen(s.ready), "the balancer", s.ready, error)) {
    return false;
  }
  if (!ListenOr(gossip_.Listen(s.peers), "peers", s.peers, error)) return false;
  LogEvent(LogPart::kBox, LogLevel::kInfo, "box_started",
           LogFields()
               .Add("hall", s.hall)
               .Add("callers", s.callers.ToString())
               .Add("store", s.store.ToString())
               .Add("off", s.off.ToString())
               .Add("key_proof_ms", ToMillis(s.key_proof)));
  gossip_.Start();
  loop_->Every(ForwardPolicy::kUpdateEvery,
               [this] { policy_.UpdateHallWeights(loop_->now(), table_); });
  loop_->Every(Forwarder::kTick, [this] { Tick(); });
  return true;
}

// What may change while running: the log's level, and bounds. Addresses and
// names stay what they were until the next start.
void ForwardingCore::Reload(const Settings& settings) {
  std::string error;
  if (!policy_.Load(settings.policy_file, &error)) {
    LogEvent(LogPart::kConfig, LogLevel::kError, "settings_not_reloaded",
             LogFields().Add("why", error));
    return;
  }
  SetLogLevel(settings.log_level);
  settings_.log_level = settings.log_level;
  settings_.key_proof = settings.key_proof;
  settings_.stop_at_latest = settings.stop_at_latest;
  settings_.stop_listening_after = settings.stop_listening_after;
  retries_.set_options(RetryOptions(settings, settings_.off));
  const bool same_places = settings.callers == settings_.callers &&
                           settings.store == settings_.store;
  LogEvent(LogPart::kBox, LogLevel::kInfo, "settings_reloaded",
           LogFields().Add("addresses_kept", !same_places));
}

// --- what the box believes -------------------------------------------------

bool ForwardingCore::OnConfiguration(const std::string& text,
                                     std::string_view from) {
  const uint64_t hash = Hash64(text);
  if (configuration_ != nullptr && hash == configuration_hash_) return true;
  std::optional<ServiceConfiguration> read = read_(text);
  if (!read) return false;
  ServiceConfiguration& c = *read;
  const uint64_t before = configuration_ ? configuration_->version : 0;
  if (c.version <= before) {
    if (c.version < before) {
      LogEvent(LogPart::kConfig, LogLevel::kWarn, "configuration_too_old",
               LogFields().Add("version", c.version).Add("in_force", before));
    }
    return true;
  }
  configuration_hash_ = hash;
  configuration_packed_ = Deflate(text);
  EntryServer::Limits limits = EntryLimits(settings_);
  limits.head_bytes = c.limits.head_bytes;
  limits.body_bytes = c.limits.body_bytes;
  limits.head_timeout = c.limits.head_timeout;
  limits.idle_timeout = c.limits.idle_timeout;
  callers_.set_limits(limits);
  configuration_ = std::make_shared<const ServiceConfiguration>(std::move(c));
  membership_.set_version(DocumentKind::kConfiguration,
                          configuration_->version);
  forwarder_.set_routes(std::make_shared<const RouteTable>(configuration_));
  directory_.set_configuration(loop_->now(), configuration_);
  LogEvent(LogPart::kConfig, LogLevel::kInfo, "configuration_adopted",
           LogFields()
               .Add("version", configuration_->version)
               .Add("before", before)
               .Add("from", from)
               .Add("routes", configuration_->routes.size()));
  gossip_.Announce();
  forwarder_.AdmitWaiting();
  return true;
}

void ForwardingCore::OnStoreConfiguration(const std::string& text) {
  const bool first = configuration_ == nullptr;
  if (first && !peers_first_.Over(loop_->now())) {
    store_configuration_ = text;
  } else {
    OnConfiguration(text, "store");
  }
}

void ForwardingCore::OnListVersion(StoreRevision revision) {
  if (revision <= list_version_) return;
  list_version_ = revision;
  membership_.set_version(DocumentKind::kEndpoints, revision.packed());
  // The hall asks at once rather than within 0.4 s, or within 2 s where its
  // mirror has just been lost and this box stands in.
  if (std::exchange(endpoint_went_, false) && Mirrors(task_)) {
    gossip_.Announce();
  }
  forwarder_.AdmitWaiting();
}

void ForwardingCore::OnStoreRestored(uint64_t before, uint64_t now) {
  metrics_.Count("store_restored_total");
  LogEvent(LogPart::kBox, LogLevel::kWarn, "store_restored",
           LogFields()
               .Add("era", now)
               .Add("before", before)
               .Add("list_revision_before", list_version_.number())
               .Add("config", configuration_ ? configuration_->version : 0)
               .Add("proof_age_ms", ToMillis(ProofAge()))
               .Add("task", StoreTaskName(task_)));
  directory_.OnStoreRestored(loop_->now());
}

void ForwardingCore::OnCallerWaiting() {
  if (std::exchange(caller_waited_, true)) return;
  const Time due = duty_.OnCallerWaiting();
  loop_->After(std::max(Duration(0), due - loop_->now()),
               [this] { follow_duty_(); });
}

void ForwardingCore::OnProof(DocumentKind kind, Time proof) {
  Time& held = proofs_[static_cast<int>(kind)];
  held = std::max(held, proof);
}

static constexpr int kConfigurationIndex =
    static_cast<int>(DocumentKind::kConfiguration);
static constexpr int kEndpointsIndex =
    static_cast<int>(DocumentKind::kEndpoints);

Duration ForwardingCore::ProofAge() const {
  return loop_->now() - proofs_[kConfigurationIndex];
}

bool ForwardingCore::ProofHolds() const {
  if (settings_.key_proof == Duration(0)) return configuration_ != nullptr;
  return ProofAge() < settings_.key_proof - kProofMargin;
}

// --- peers -----------------------------------------------------------------

uint64_t ForwardingCore::VersionOf(DocumentKind kind) const {
  if (kind == DocumentKind::kEndpoints) return list_version_.packed();
  return configuration_ ? configuration_->version : 0;
}

Gossip::Handlers ForwardingCore::PeerHandlers() {
  Gossip::Handlers handlers;
  handlers.refresh = [this] { UpdateOwnState(); };
  handlers.time = [] { return HybridTime{WallMillis(), 0}; };
  handlers.on_digest = [this](const Digest& d) { OnDigest(d); };
  handlers.on_down = [this](const DownNote& n) { OnDownNote(n); };
  handlers.on_fetch = [this](const FetchRequest& r) { return OnFetch(r); };
  handlers.on_retry_ask = [this](const RetryAsk& a) { return OnRetryAsk(a); };
  handlers.on_retry_loan = [this](const RetryLoan& l) { OnRetryLoan(l); };
  handlers.on_member = [](const std::string& box, MemberChange change) {
    LogEvent(
        LogPart::kPeers, LogLevel::kInfo, "peer",
        LogFields().Add("peer", box).Add("change", MemberChangeName(change)));
  };
  return handlers;
}

PeerSourceEvents ForwardingCore::SourceEvents() {
  PeerSourceEvents events;
  events.version = [this](DocumentKind kind) { return VersionOf(kind); };
  events.proof = [this](DocumentKind kind) {
    return proofs_[static_cast<int>(kind)];
  };
  events.on_body = [this](DocumentKind kind, const DocumentState& state,
                          const std::string& peer) {
    return OnPeerBody(kind, state, peer);
  };
  events.on_proof = [this](DocumentKind kind, Time proof) {
    OnProof(kind, proof);
  };
  events.on_answer = [this] { peers_first_.OnAnswer(); };
  return events;
}

// What this box has on each endpoint, for its peers' estimates.
void ForwardingCore::UpdateOwnState() {
  std::vector<EndpointCount> counts;
  for (const auto& [name, row] : table_.rows()) {
    if (row.own_work == 0) continue;
    counts.push_back(CountOf(name, row));
  }
  membership_.set_counts(std::move(counts));
  membership_.set_load(static_cast<uint32_t>(forwarder_.active()), 0);
  membership_.set_leaving_endpoints(table_.LeavingMarks());
  membership_.set_proof_age(ProofAge());
}

void ForwardingCore::OnDigest(const Digest& digest) {
  const Time now = loop_->now();
  for (const auto& [endpoint, incarnation] : digest.leaving) {
    directory_.OnLeaving(now, endpoint, incarnation);
  }
  source_.OnDigest(digest.sender.address,
                   digest.sender.versions[kConfigurationIndex],
                   digest.sender.versions[kEndpointsIndex],
                   now - milliseconds(digest.proof_age_ms));
  const auto counts = membership_.PeerCounts(now);
  for (const auto& [name, row] : table_.rows()) {
    auto it = counts.find(NameId(name));
    const bool known = it != counts.end();
    table_.OnPeerWork(name, known ? it->second.work : 0);
    table_.OnPeerEntries(name, known ? it->second.entries : 0);
  }
  const int boxes = membership_.live_boxes(now);
  retries_.OnBoxes(now, boxes);
  table_.set_boxes(boxes);
}

void ForwardingCore::OnRunnerDown(const std::string& endpoint) {
  if (!parts_.off.on(Mechanism::kFailureNews)) return;
  if (!news_.OnDown(loop_->now(), endpoint)) return;
  loop_->After(news_.options().gather,
               [this] { gossip_.Tell({news_.Take()}, news_.options().peers); });
}

void ForwardingCore::OnDownNote(const DownNote& note) {
  if (!parts_.off.on(Mechanism::kFailureNews)) return;
  metrics_.Count("down_notes_total");
  for (const std::string& id : news_.Heard(loop_->now(), note.endpoints)) {
    if (directory_.Find(id) != nullptr) forwarder_.Doubt(id);
  }
}

void ForwardingCore::AskForRetries() {
  if (!parts_.off.on(Mechanism::kRetryLoans)) return;
  std::vector<RetryAsk> asks = loans_.Asks(loop_->now());
  if (asks.empty()) return;
  LogEvent(LogPart::kPeers, LogLevel::kInfo, "retries_asked",
           LogFields()
               .Add("service", asks[0].service)
               .Add("peers", asks.size())
               .Add("of_each", asks[0].count));
  gossip_.Ask(std::move(asks));
}

std::optional<RetryLoan> ForwardingCore::OnRetryAsk(const RetryAsk& ask) {
  if (!parts_.off.on(Mechanism::kRetryLoans)) return std::nullopt;
  const std::optional<RetryLoan> loan = loans_.OnAsk(loop_->now(), ask);
  if (!loan) return std::nullopt;
  LogEvent(LogPart::kPeers, LogLevel::kInfo, "retries_lent",
           LogFields()
               .Add("service", ask.service)
               .Add("to", ask.from)
               .Add("asked", ask.count)
               .Add("count", loan->count));
  return loan;
}

void ForwardingCore::OnRetryLoan(const RetryLoan& loan) {
  if (!parts_.off.on(Mechanism::kRetryLoans)) return;
  const int borrowed = loans_.OnLoan(loop_->now(), loan);
  if (borrowed == 0) return;
  LogEvent(LogPart::kPeers, LogLevel::kInfo, "retries_borrowed",
           LogFields().Add("count", borrowed).Add("granted", loan.count));
}

FetchReply ForwardingCore::OnFetch(const FetchRequest& request) {
  FetchReply reply;
  reply.kind = request.kind;
  if (request.kind != FetchKind::kShared) return reply;
  reply.store_fails = store_fails_;
  reply.documents[kConfigurationIndex] =
      StateOf(DocumentKind::kConfiguration,
              request.above_versions[kConfigurationIndex]);
  reply.documents[kEndpointsIndex] = ListState(request);
  return reply;
}

DocumentState ForwardingCore::StateOf(DocumentKind kind, uint64_t above) {
  const Time proof = proofs_[static_cast<int>(kind)];
  DocumentState state;
  state.version = VersionOf(kind);
  state.proof_age_ms = static_cast<uint64_t>(
      std::max<int64_t>(0, ToMillis(loop_->now() - proof) + 1));
  if (state.version <= above) return state;
  const bool list = kind == DocumentKind::kEndpoints;
  state.body = list ? PackedList() : configuration_packed_;
  return state;
}

DocumentState ForwardingCore::ListState(const FetchRequest& request) {
  const ListCursor now{membership_.self().incarnation, directory_.at()};
  std::optional<DirectoryChanges> changes;
  if (request.list.life == now.life) {
    changes = directory_.ChangesSince(loop_->now(), request.list.at);
  }
  // Nothing is above the whole list's version then.
  const uint64_t above =
      changes ? UINT64_MAX : request.above_versions[kEndpointsIndex];
  DocumentState state = StateOf(DocumentKind::kEndpoints, above);
  state.list = now;
  if (changes && now.at != request.list.at) {
    state.changes = true;
    state.body = Deflate(WriteChanges(*changes));
  }
  return state;
}

// Made once a state of the directory: all boxes of a hall ask for it at about
// the same time. What is left of a lapsed entry's time changes as it passes, so
// that a list with one is made anew.
const std::string& ForwardingCore::PackedList() {
  const bool same =
      packed_state_ == directory_.state() && !directory_.unsettled();
  if (same && !packed_list_.empty()) return packed_list_;
  packed_list_ = Deflate(WriteDirectory(directory_.Copy(loop_->now())));
  packed_state_ = directory_.state();
  return packed_list_;
}

bool ForwardingCore::OnPeerBody(DocumentKind kind, const DocumentState& state,
                                const std::string& peer) {
  const std::optional<std::string> body = Inflate(state.body, kMaxPeerMessage);
  if (body && kind == DocumentKind::kConfiguration) {
    return OnConfiguration(*body, peer);
  }
  const auto whole =
      body && !state.changes ? ParseDirectory(*body) : std::nullopt;
  const auto changes =
      body && state.changes ? ParseChanges(*body) : std::nullopt;
  if (!whole && !changes) {
    LogEvent(LogPart::kPeers, LogLevel::kError, "unreadable",
             LogFields().Add("place", "document of " + peer));
    return false;
  }
  // Before the list is taken: what it lacks, or has again, is of a copy.
  const StoreRevision version = StoreRevision::FromPacked(state.version);
  if (!era_.Saw(version.era())) return false;
  if (whole) directory_.OnList(loop_->now(), *whole);
  if (changes) directory_.OnChanges(loop_->now(), *changes);
  OnListVersion(version);
  return true;
}

StoreTask ForwardingCore::StoreTaskNow() {
  const Time now = loop_->now();
  const StoreTask before = task_;
  task_ = duty_.Now(now, proofs_[kConfigurationIndex], &roster_);
  if (task_ != before) {
    LogEvent(LogPart::kBox, LogLevel::kInfo, "store_task",
             LogFields()
                 .Add("task", StoreTaskName(task_))
                 .Add("before", StoreTaskName(before))
                 .Add("rank", roster_.rank(now))
                 .Add("first_fails", roster_.first_fails(now))
                 .Add("hall_boxes", roster_.hall_boxes(now))
                 .Add("proof_age_ms", ToMillis(ProofAge())));
  }
  return task_;
}

bool ForwardingCore::IsSeed() const {
  const std::vector<Address>& seeds = settings_.seeds;
  return seeds.empty() ||
         std::find(seeds.begin(), seeds.end(), settings_.peers) != seeds.end();
}

void ForwardingCore::Tick() {
  const Time now = loop_->now();
  directory_.Tick(now);
  forwarder_.Tick();
  gossip_.Tick();
  AskForRetries();
  const bool asks_peers = !peers_first_.Over(now);
  if (!asks_peers && !store_configuration_.empty()) {
    OnConfiguration(std::exchange(store_configuration_, ""), "store");
  }
  // A box whose mirror gets no answer hands on what others have.
  source_.Tick(!Mirrors(task_) || store_fails_ || asks_peers);
  NoteReady();
  if (stopping_) FinishStop();
}

void ForwardingCore::NoteReady() {
  if (ready() != was_ready_) {
    was_ready_ = ready();
    LogEvent(LogPart::kBox, LogLevel::kInfo,
             was_ready_ ? "box_ready" : "box_not_ready",
             LogFields().Add("stopping", stopping_));
  }
  const bool holds = ProofHolds();
  if (holds == proof_held_) return;
  proof_held_ = holds;
  LogEvent(LogPart::kConfig, holds ? LogLevel::kInfo : LogLevel::kWarn,
           holds ? "proof_regained" : "proof_lost",
           LogFields().Add("proof_age_ms", ToMillis(ProofAge())));
}

// --- operators -------------------------------------------------------------

void ForwardingCore::ServeOperators(const ExchangePtr& exchange) {
  if (exchange->path() == "/metrics") {
    RefreshMetrics();
    exchange->Reply(200, "text/plain; version=0.0.4", metrics_.Text());
  } else if (exchange->path() == "/readyz") {
    exchange->Reply(ready() ? 200 : 503, "text/plain", "");
  } else {
    exchange->Reply(404, "text/plain", "");
  }
}

void ForwardingCore::RefreshMetrics() {
  const Time now = loop_->now();
  metrics_.Set("active_requests", "", static_cast<double>(forwarder_.active()));
  metrics_.Set("caller_connections", "",
               static_cast<double>(callers_.connections()));
  metrics_.Set("endpoint_connects", "",
               static_cast<double>(upstream_.connects()));
  metrics_.Set("refused_unread", "", static_cast<double>(callers_.refused()));
  metrics_.Set("retries_refused", "", static_cast<double>(retries_.refused()));
  for (const RetryNeed need : kRetryNeeds) {
    metrics_.Set("retries_refused_by_need",
                 "need=\"" + std::string(RetryNeedName(need)) + "\"",
                 static_cast<double>(retries_.refused(need)));
  }
  metrics_.Set("retry_asks", "", static_cast<double>(loans_.asks()));
  metrics_.Set("retries_lent", "", static_cast<double>(loans_.lent()));
  metrics_.Set("retries_borrowed", "", static_cast<double>(loans_.borrowed()));
  metrics_.Set(
      "configuration_version", "",
      configuration_ ? static_cast<double>(configuration_->version) : 0);
  metrics_.Set("proof_age_seconds", "", ToSeconds(ProofAge()));
  metrics_.Set("store_era", "", static_cast<double>(era_.now()));
  metrics_.Set("mirrors_store", "", Mirrors(task_) ? 1 : 0);
  metrics_.Set("live_boxes", "", membership_.live_boxes(now));
  metrics_.Set("peer_bytes_sent", "",
               static_cast<double>(gossip_.link()->bytes_sent()));
  int usable = 0;
  for (const auto& [name, row] : table_.rows()) {
    if (table_.TakesNewWork(now, name)) usable++;
  }
  metrics_.Set("usable_endpoints", "", usable);
  metrics_.Set("resting_endpoints", "",
               static_cast<double>(table_.Resting(now)));
  RefreshCapacity(now);
  metrics_.Set("unusable_entries", "",
               static_cast<double>(directory_.unusable()));
  refresh_metrics_();
}

// What each hall can still read and hold of each pool, by its shortest layer.
void ForwardingCore::RefreshCapacity(Time now) {
  constexpr double kTokens = 1000;  // room is counted in thousands
  for (const std::string& model : table_.Models()) {
    const auto version = table_.VersionFor(now, model, "");
    if (!version) continue;
    const PoolCapacity& capacity = forwarder_.CapacityOf(model, *version);
    for (const std::string& hall : capacity.halls()) {
      const PoolCapacity::Layer least = capacity.LeastOf(hall);
      const std::string labels =
          "service=\"" + model + "\",hall=\"" + hall + "\"";
      metrics_.Set("hall_read_tokens_per_second", labels, least.read_per_s);
      metrics_.Set("hall_free_tokens", labels, least.free_room * kTokens);
      metrics_.Set("hall_least_holders", labels, least.holders);
      metrics_.Set("hall_shortest_layer", labels, capacity.ShortestLayer(hall));
    }
  }
}

// --- the planned stop ------------------------------------------------------

void ForwardingCore::BeginStop() {
  if (stopping_) return;
  stopping_ = true;
  stop_begun_ = busy_at_ = loop_->now();
  forwarder_.BeginStop(stop_begun_ + settings_.stop_listening_after,
                       stop_begun_ + settings_.stop_at_latest - kStopMargin);
  LogEvent(LogPart::kBox, LogLevel::kInfo, "box_stopping",
           LogFields().Add("active", forwarder_.active()));
  callers_.set_close_after_reply(true);
  membership_.set_leaving();
  gossip_.Announce();
}

void ForwardingCore::FinishStop() {
  const Time now = loop_->now();
  const Duration since = now - stop_begun_;
  if (since < settings_.stop_listening_after) return;
  // Callers that kept a connection would send on it to the end.
  if (!closed_idle_) callers_.CloseIdle();
  closed_idle_ = true;
  // Who still comes then could not be answered before the end.
  if (since >= settings_.stop_at_latest - kLastConnections) {
    callers_.StopListening();
    callers_.CloseIdle();
  }
  if (forwarder_.active() > 0 || callers_.connections() > 0) busy_at_ = now;
  const bool late = since >= settings_.stop_at_latest - kStopMargin;
  const bool quiet =
      now - std::max(busy_at_, callers_.last_activity()) >= kQuiet;
  if (!quiet && !late) return;
  LogEvent(LogPart::kBox, LogLevel::kInfo, "box_stopped",
           LogFields()
               .Add("unfinished", forwarder_.active())
               .Add("after_ms", ToMillis(since)));
  loop_->Stop();
}

}  // namespace pinford
