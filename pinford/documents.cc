#include "pinford/documents.h"

#include "pinford/log.h"

namespace pinford {

static constexpr Duration kWatchTimeout = seconds(20);
static constexpr Duration kRetryInterval = milliseconds(500);

static const char* KeyOf(DocumentKind kind) {
  return kind == DocumentKind::kConfiguration ? kConfigurationKey
                                              : kEndpointListKey;
}

static constexpr DocumentKind kAllKinds[] = {DocumentKind::kConfiguration,
                                             DocumentKind::kEndpoints};

Documents::Documents(BoxContext* context, PeerLink* link)
    : context_(context),
      link_(link),
      documents_{
          ReplicatedDocument([this](uint64_t v, const std::string& body) {
            return AdoptConfiguration(v, body);
          }),
          ReplicatedDocument([this](uint64_t v, const std::string& body) {
            return AdoptEndpoints(v, body);
          })} {}

bool Documents::AdoptConfiguration(uint64_t version, const std::string& body) {
  std::optional<Configuration> c = ParseConfiguration(body);
  Findings findings;
  std::unique_ptr<Policy> policy;
  if (c && c->generation == version) {
    policy = Policy::Load(c->policy, Policy::Options(), &findings);
  }
  if (policy == nullptr) {
    Log(LogPart::kConfig, LogLevel::kError,
        "Generation " + std::to_string(version) +
            " cannot be used. The previous one stays in force. " +
            findings.ToString());
    return false;
  }
  configuration_ = std::move(*c);
  context_->policy = std::move(policy);
  context_->timeline.Add(EventKind::kConfigurationAdopted, "",
                         "generation " + std::to_string(version));
  Log(LogPart::kConfig, LogLevel::kInfo,
      "Generation " + std::to_string(version) + " is in force.");
  return true;
}

bool Documents::AdoptEndpoints(uint64_t version, const std::string& body) {
  int bad_rows = 0;
  std::optional<std::vector<ListedEndpoint>> list =
      ParseEndpointList(body, &bad_rows);
  if (!list) {
    Log(LogPart::kEndpoints, LogLevel::kError,
        "The platform's list cannot be read. The one before stays.");
    return false;
  }
  if (bad_rows > 0) {
    Log(LogPart::kEndpoints, LogLevel::kWarn,
        "The platform's list has " + std::to_string(bad_rows) +
            " rows that cannot be read.");
  }
  context_->table.OnList(*list);
  context_->timeline.Add(EventKind::kEndpointsAdopted, "",
                         "list " + std::to_string(version) + " with " +
                             std::to_string(list->size()) + " endpoints");
  return true;
}

void Documents::Offer(DocumentKind kind, uint64_t version,
                      const std::string& body) {
  ReplicatedDocument& document = documents_[IndexOf(kind)];
  if (!document.Offer(version, body)) return;
  known_[IndexOf(kind)] = true;
  context_->membership.set_version(kind, document.version());
  announce_();
}

void Documents::AdoptAccepted(const Configuration& c) {
  Offer(DocumentKind::kConfiguration, c.generation, WriteConfiguration(c));
}

FetchReply Documents::MakeFetchReply(DocumentKind kind) const {
  FetchReply reply;
  reply.kind = static_cast<FetchKind>(kind);
  reply.version = documents_[IndexOf(kind)].version();
  reply.body = documents_[IndexOf(kind)].body();
  return reply;
}

void Documents::Start() {
  for (DocumentKind kind : kAllKinds) Read(kind);
}

void Documents::Read(DocumentKind kind) {
  if (std::exchange(reading_[IndexOf(kind)], true)) return;
  context_->store.Get(KeyOf(kind), [this, kind](const StoreResult& r) {
    reading_[IndexOf(kind)] = false;
    OnStoreValue(kind, r);
    if (known_[IndexOf(kind)]) return;
    context_->loop->After(kRetryInterval, [this, kind] { Read(kind); });
  });
}

void Documents::OnStoreValue(DocumentKind kind, const StoreResult& r) {
  if (r.status == StoreStatus::kMissing) known_[IndexOf(kind)] = true;
  if (r.status != StoreStatus::kOk) return;
  known_[IndexOf(kind)] = true;
  store_revision_[IndexOf(kind)] = r.now.revision;
  uint64_t version = r.now.revision.packed();
  if (kind == DocumentKind::kConfiguration) {
    std::optional<Configuration> c = ParseConfiguration(r.now.value);
    version = c ? c->generation : 0;
    if (version < documents_[IndexOf(kind)].version()) {
      Log(LogPart::kConfig, LogLevel::kError,
          "The store holds generation " + std::to_string(version) +
              ", older than the one in force. It is not adopted.");
    }
  }
  Offer(kind, version, r.now.value);
}

void Documents::Watch(DocumentKind kind) {
  watching_[IndexOf(kind)] = true;
  context_->store.Watch(
      KeyOf(kind), store_revision_[IndexOf(kind)], kWatchTimeout,
      [this, kind](const StoreResult& r) {
        OnStoreValue(kind, r);
        const bool answered =
            r.status == StoreStatus::kOk || r.status == StoreStatus::kTimeout;
        context_->loop->After(answered ? Duration(0) : kRetryInterval,
                              [this, kind] {
                                watching_[IndexOf(kind)] = false;
                                Tick();
                              });
      });
}

void Documents::FetchFromPeers(DocumentKind kind) {
  if (fetching_[IndexOf(kind)]) return;
  const uint64_t own = documents_[IndexOf(kind)].version();
  const Membership::Member* best = nullptr;
  for (const auto& [name, m] : context_->membership.members()) {
    const uint64_t peer_version = m.row.versions[IndexOf(kind)];
    if (peer_version <= own) continue;
    if (best == nullptr || peer_version > best->row.versions[IndexOf(kind)])
      best = &m;
  }
  if (best == nullptr) return;
  fetching_[IndexOf(kind)] = true;
  FetchRequest request;
  request.kind = static_cast<FetchKind>(kind);
  request.known_version = own;
  link_->Fetch(best->row.address, request,
               [this, kind](std::optional<FetchReply> reply) {
                 fetching_[IndexOf(kind)] = false;
                 if (reply) Offer(kind, reply->version, reply->body);
               });
}

void Documents::Tick() {
  const Time now = context_->loop->now();
  for (DocumentKind kind : kAllKinds) {
    FetchFromPeers(kind);
    if (watching_[IndexOf(kind)]) continue;
    if (context_->membership.IsElected(now, KeyOf(kind), kWatchersPerHall))
      Watch(kind);
  }
}

}  // namespace pinford
