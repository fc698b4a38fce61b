// Many boxes and one store, simulated on a paused clock with the real ranking
// of sources, fetches between boxes, mirrors, assignment of mirror roles,
// directories of endpoints and notices of missing entries.
// The test decides whether the store answers a box, which boxes reach each
// other, and which run.

#ifndef PINFORD_TESTING_FLEET_H_
#define PINFORD_TESTING_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pinford/forwarding/document_freshness.h"
#include "pinford/forwarding/endpoint_directory.h"
#include "pinford/forwarding/missing_gossip.h"
#include "pinford/forwarding/peer_source.h"
#include "pinford/forwarding/prefix_mirror.h"
#include "pinford/forwarding/startup_peer_check.h"
#include "pinford/forwarding/store_task_selector.h"
#include "pinford/send_budget.h"
#include "pinford/store_era.h"
#include "util/paused_clock.h"

namespace pinford {

inline constexpr int kSeeds = 3;
// Customers' keys are refused above this freshness age.
inline constexpr Duration kMaxFreshnessAge = milliseconds(4700);

// The store as its callers see it: the test decides for each box whether a call
// is answered, refused or left without an answer. Holds the version of the
// operators' configuration and the ids of the endpoints. Counts calls.
class FleetStore {
 public:
  explicit FleetStore(PausedClock* clock) : clock_(clock) {}

  enum class Response { kAnswer, kRefuse, kNone };
  std::function<Response(int box)> response = [](int) {
    return Response::kAnswer;
  };
  // Called just before a box receives an answer of `era`.
  std::function<void(int box, uint64_t era)> on_reply;
  int64_t calls = 0;
  StoreRevision revision = StoreRevision::Make(0, 100).value();
  uint64_t configuration = 1;

  void Put(uint64_t version) {
    configuration = version;
    BumpRevision();
  }
  void PutEndpoint(const std::string& id) {
    BumpRevision();
    endpoints_[id] = {kEndpointPrefix + id, "", revision, false};
  }
  void RemoveEndpoint(const std::string& id) {
    BumpRevision();
    endpoints_[id] = {kEndpointPrefix + id, "", revision, true};
  }
  // Writes something else than the configuration.
  void BumpRevision() {
    revision =
        StoreRevision::Make(revision.era(), revision.number() + 1).value();
  }
  // Restores the store from a copy made before the last three changes. The copy
  // holds configuration `version`, or the current one.
  void Restore() { Restore(configuration); }
  void Restore(uint64_t version) {
    const uint64_t number = revision.number() - 3;
    revision = StoreRevision::Make(revision.era() + 1, number).value();
    configuration = version;
  }

  void List(int box, PrefixCallback fn) {
    Answer(box, milliseconds(4), std::nullopt, std::move(fn));
  }
  // The id of the endpoint of an item; nullopt if it is none's.
  static std::optional<std::string> EndpointOf(const StoreItem& item) {
    if (!item.key.starts_with(kEndpointPrefix)) return std::nullopt;
    return item.key.substr(kEndpointPrefix.size());
  }
  // Returns early when something changes.
  void Watch(int box, StoreRevision since, Duration wait, PrefixCallback fn) {
    Answer(box, wait, since, std::move(fn));
  }

 private:
  static constexpr Duration kPollInterval = milliseconds(50);

  // The result of a list, or of a watch from `since`.
  PrefixResult ResultFor(const std::optional<StoreRevision>& since) const {
    PrefixResult r;
    r.at = revision;
    if (since && since->era() < revision.era()) {
      r.status = StoreStatus::kCompacted;
    } else if (since && *since == revision) {
      r.status = StoreStatus::kTimeout;
    } else {
      r.status = StoreStatus::kOk;
      r.items = {{"config", std::to_string(configuration), revision, false}};
      for (const auto& [id, item] : endpoints_) {
        const bool included = since ? item.revision > *since : !item.removed;
        if (included) r.items.push_back(item);
      }
    }
    return r;
  }

  void Answer(int box, Duration after, std::optional<StoreRevision> since,
              PrefixCallback fn) {
    calls++;
    const Response mode = response(box);
    if (mode == Response::kNone) return;
    const bool refuses = mode == Response::kRefuse;
    const bool waits = since && *since == revision && !refuses;
    if (waits && after > kPollInterval) {
      // Polls for a change, which would end a real watch at once.
      clock_->After(kPollInterval,
                    [this, box, after, since, fn = std::move(fn)] {
                      if (response(box) == Response::kNone) return;
                      calls--;
                      Answer(box, after - kPollInterval, since, fn);
                    });
      return;
    }
    const Duration answer = milliseconds(4);
    clock_->After(waits ? after : answer,
                  [this, box, refuses, since, fn = std::move(fn)] {
                    // The store may have stopped answering in the meantime.
                    if (response(box) == Response::kNone) return;
                    if (!refuses && on_reply) on_reply(box, revision.era());
                    PrefixResult refused;
                    refused.status = StoreStatus::kRefused;
                    fn(refuses ? refused : ResultFor(since));
                  });
  }

  static inline const std::string kEndpointPrefix = "endpoint/";

  PausedClock* clock_;
  std::map<std::string, StoreItem> endpoints_;  // by id
};

class Fleet {
 public:
  // One box's connection to the store. Implements PrefixStore.
  struct Store {
    FleetStore* store;
    int box;
    void List(const std::string&, PrefixCallback fn) {
      store->List(box, std::move(fn));
    }
    void WatchPrefix(const std::string&, StoreRevision since, Duration d,
                     PrefixCallback fn) {
      store->Watch(box, since, d, std::move(fn));
    }
  };
  // One box's connections to the other boxes. Implements FetchLink.
  struct Link {
    Fleet* fleet;
    int box;
    void Fetch(const std::string& to, const FetchRequest& request,
               std::function<void(std::optional<FetchReply>)> fn) {
      fleet->Fetch(box, to, request, std::move(fn));
    }
  };
  using Mirror = PrefixMirror<Store, PausedClock>;

  struct Box {
    Box(Fleet* fleet, int i, Membership m, const StoreTaskSelector& d)
        : membership(std::move(m)),
          source_selector(&membership, SourceSelector::Options()),
          task_selector(d),
          table("hall", EndpointTable::Options(), Random(i + 3000)),
          missing(MissingGossip::Options()),
          directory(&table, EndpointDirectory::Options(), DirectoryEvents()),
          store{&fleet->store, i},
          link{fleet, i} {}

    EndpointDirectory::Events DirectoryEvents() {
      EndpointDirectory::Events events;
      events.on_missing_read = [this](const std::string& id,
                                      uint64_t incarnation) {
        missing.OnRead(id, incarnation);
      };
      return events;
    }

    Membership membership;
    SourceSelector source_selector;
    StoreTaskSelector task_selector;
    EndpointTable table;
    MissingGossip missing;
    EndpointDirectory directory;
    Store store;
    Link link;
    StoreEra era;
    std::optional<StartupPeerCheck> startup_check;
    uint64_t stored_configuration = 0;  // last version read from the store
    std::unique_ptr<Mirror> mirror;
    std::unique_ptr<PeerSource<Link, PausedClock>> source;
    uint64_t versions[kDocumentKinds] = {};
    DocumentFreshness freshness;  // of the configuration
    bool is_mirror = false;
    bool failing = false;  // the mirror, at the last tick
    bool running = true;
    int incarnation = 0;
    Time started{};
    Time link_free_at{};  // when its transfers are finished
    SendBudget list_budget;
    int64_t times_asked = 0;  // by other boxes

    uint64_t configuration() const {
      return versions[static_cast<int>(DocumentKind::kConfiguration)];
    }
    uint64_t list() const {
      return versions[static_cast<int>(DocumentKind::kEndpoints)];
    }
    Time fresh_as_of() const { return freshness.AsOf(configuration()); }
  };

  Fleet(int boxes, int halls) : halls_(halls), store(&clock) {
    store.on_reply = [this](int i, uint64_t era) {
      boxes_[i]->era.Observe(era);
    };
    for (int i = 0; i < boxes; i++) boxes_.push_back(nullptr);
    for (int i = 0; i < boxes; i++) Start(i);
  }

  void Start(int i) {
    const bool seed = i < kSeeds;
    std::vector<std::string> seeds;
    for (int s = 0; s < kSeeds; s++) {
      if (s != i) seeds.push_back(AddressOf(s));
    }
    const int incarnation =
        boxes_[i] != nullptr ? boxes_[i]->incarnation + 1 : 1;
    // Pending callbacks still refer to the previous incarnation.
    if (boxes_[i] != nullptr) stopped_boxes_.push_back(std::move(boxes_[i]));
    boxes_[i] = std::make_unique<Box>(
        this, i, Membership(RowOf(i), {}, Membership::Options(), Random(i)),
        StoreTaskSelector(clock.now(), seed, StoreTaskSelector::Options(),
                          Random(i + 1000)));
    Box& box = *boxes_[i];
    box.incarnation = incarnation;
    box.started = clock.now();
    box.startup_check.emplace(clock.now(), !seeds.empty());
    PrefixMirrorOptions options;
    options.unreachable_timeout = milliseconds(20);
    options.answer_timeout = milliseconds(400);
    PrefixMirrorEvents events;
    events.on_list = [this, &box](const PrefixResult& r) {
      ApplyListed(&box, r);
      ApplyResult(&box, r);
    };
    events.on_changes = [this, &box](const PrefixResult& r) {
      ApplyChanged(&box, r);
      ApplyResult(&box, r);
    };
    events.on_freshness = [&box](Time fresh_as_of) {
      box.freshness.OnObserved(box.stored_configuration, fresh_as_of);
    };
    events.on_reachable = [this, &box](bool reachable, StoreStatus) {
      if (reachable) box.directory.OnStoreReachable(clock.now());
    };
    box.mirror =
        std::make_unique<Mirror>(&box.store, &clock, "p", options, events);
    box.era.set_on_increase(
        [&box](uint64_t, uint64_t) { box.mirror->Relist(); });
    box.source = std::make_unique<PeerSource<Link, PausedClock>>(
        &clock, &box.membership, &box.source_selector, seeds, &box.link,
        Random(i + 2000), PeerSourceOptions(), SourceEvents(&box));
    // All boxes start within 0.3 s of each other and receive the first digests
    // 0.5 s later.
    clock.After(milliseconds(i * 37 % 300), [this, i, incarnation] {
      if (IsRunning(i, incarnation)) Tick(i, incarnation);
    });
    clock.After(milliseconds(800 + i * 13 % 200), [this, i, incarnation] {
      if (IsRunning(i, incarnation)) ExchangeDigests(i);
    });
  }

  void Kill(int i) { boxes_[i]->running = false; }
  int hall(int i) const { return i % halls_; }
  int size() const { return static_cast<int>(boxes_.size()); }
  Box& at(int i) { return *boxes_[i]; }
  // The running boxes that mirror the store.
  std::vector<int> MirrorBoxes() {
    std::vector<int> out;
    for (int i = 0; i < size(); i++) {
      if (boxes_[i]->running && boxes_[i]->is_mirror) out.push_back(i);
    }
    return out;
  }

  // Advances the clock by `d`. Returns the number of calls to the store in that
  // time.
  int64_t Run(Duration d) {
    const int64_t before = store.calls;
    const Time end = clock.now() + d;
    while (clock.now() < end) {
      clock.Advance(milliseconds(100));
      RecordStaleBoxes();
    }
    return store.calls - before;
  }

  // Number of boxes selected by `counts` whose configuration was stale at some
  // time since the last call.
  int CountStale(const std::function<bool(int)>& counts) {
    int n = 0;
    for (const int i : stale_) n += counts(i);
    stale_.clear();
    return n;
  }
  // Whether killed boxes refuse connections rather than not answer.
  bool killed_boxes_refuse = false;
  // Size of a whole list on its sender's link.
  int64_t list_bytes = 0;
  int64_t link_bytes_per_second = 2'500'000;
  // Whether one box reaches another.
  std::function<bool(int, int)> can_reach = [](int, int) { return true; };

  PausedClock clock;

 private:
  static std::string AddressOf(int i) {
    return "10.0.0.1:" + std::to_string(1000 + i);
  }
  MemberRow RowOf(int i) const {
    MemberRow row;
    row.name = "box-" + std::to_string(i);
    row.hall = "hall-" + std::to_string(i % halls_);
    row.address = AddressOf(i);
    row.incarnation = 1;
    return row;
  }
  bool IsRunning(int i, int incarnation) const {
    return boxes_[i]->running && boxes_[i]->incarnation == incarnation;
  }
  // As on a real box, versions only increase, and a configuration from the
  // store is applied only after the peers have been asked.
  void Apply(Box* box, DocumentKind kind, uint64_t version) {
    uint64_t& held = box->versions[static_cast<int>(kind)];
    const bool newer = version > held;
    held = std::max(held, version);
    if (kind != DocumentKind::kEndpoints) return;
    box->missing.OnListVersion(clock.now(), newer ? version : 0);
    box->directory.OnListVersion(clock.now(), held);
  }
  static DirectoryEntry EntryOf(const std::string& id) {
    DirectoryEntry entry;
    entry.listed.name = id;
    entry.listed.service = "service";
    entry.listed.hall = "hall";
    entry.listed.address = {"10.1.0.1", 80};
    entry.listed.incarnation = 2;
    return entry;
  }
  void ApplyListed(Box* box, const PrefixResult& r) {
    std::vector<DirectoryEntry> entries;
    for (const StoreItem& item : r.items) {
      const std::optional<std::string> id = FleetStore::EndpointOf(item);
      if (id) entries.push_back(EntryOf(*id));
    }
    box->directory.OnList(clock.now(), entries);
  }
  void ApplyChanged(Box* box, const PrefixResult& r) {
    for (const StoreItem& item : r.items) {
      const std::optional<std::string> id = FleetStore::EndpointOf(item);
      if (id && item.removed) box->directory.OnRemoved(clock.now(), *id);
      if (id && !item.removed)
        box->directory.OnEntry(clock.now(), EntryOf(*id));
    }
  }
  void ApplyResult(Box* box, const PrefixResult& r) {
    if (box->is_mirror) {
      ApplyList(box, r.at.packed());
    } else {
      Apply(box, DocumentKind::kEndpoints, r.at.packed());
    }
    for (const StoreItem& item : r.items) {
      if (FleetStore::EndpointOf(item)) continue;
      box->stored_configuration = std::stoull(item.value);
    }
    ApplyStoredConfiguration(box);
  }
  void ApplyStoredConfiguration(Box* box) {
    if (box->startup_check->Done(clock.now())) {
      Apply(box, DocumentKind::kConfiguration, box->stored_configuration);
    }
  }

  PeerSourceEvents SourceEvents(Box* box) {
    PeerSourceEvents events;
    events.version = [box](DocumentKind k) {
      return box->versions[static_cast<int>(k)];
    };
    events.fresh_as_of = [box](DocumentKind) { return box->fresh_as_of(); };
    events.on_body = [this, box](DocumentKind kind, const DocumentState& state,
                                 const std::string&) {
      if (kind == DocumentKind::kEndpoints) {
        box->era.Observe(StoreRevision::FromPacked(state.version).era());
        box->directory.OnList(clock.now(), *ParseDirectory(state.body), {},
                              EntrySource::kPeer);
        ApplyList(box, state.version);
      }
      Apply(box, kind, state.version);
      return true;
    };
    events.on_answer = [box] { box->startup_check->OnAnswer(); };
    events.on_freshness = [box](DocumentKind kind, uint64_t version,
                                Time fresh_as_of) {
      if (kind == DocumentKind::kConfiguration)
        box->freshness.OnObserved(version, fresh_as_of);
    };
    return events;
  }

  void ApplyList(Box* box, uint64_t version) {
    const bool newer = version > box->list();
    Apply(box, DocumentKind::kEndpoints, version);
    if (newer) Announce(box);
  }

  // Announces a new list at once to the boxes that get it from this one, as a
  // real box does when an endpoint is removed.
  void Announce(Box* box) {
    const int from = box->link.box;
    for (const std::string& to : box->source_selector.children(clock.now())) {
      const int i = Address::Parse(to)->port - 1000;
      clock.After(milliseconds(1), [this, from, i] {
        const Box& box = *boxes_[from];
        const bool receives = boxes_[i]->running && box.running;
        if (!receives || !can_reach(i, from)) return;
        boxes_[i]->source->OnDigest(AddressOf(from), box.configuration(),
                                    box.list(), box.fresh_as_of());
      });
    }
  }

  void SendMissingNotices(Box* box) {
    const MissingGossip::Options& options = box->missing.options();
    const Time now = clock.now();
    Membership& members = box->membership;
    const MissingNotice read = box->missing.TakeRead(now);
    const MissingNotice news = box->missing.TakeNews();
    if (!read.entries.empty())
      SendNotice(box, read, members.RandomRemote(now, options.read_fanout));
    if (news.entries.empty()) return;
    SendNotice(box, news, members.RandomLocal(now, options.local_fanout));
    SendNotice(box, news, members.RandomRemote(now, options.remote_fanout));
  }
  void SendNotice(Box* box, const MissingNotice& notice,
                  const std::vector<std::string>& addresses) {
    for (const std::string& to : addresses) {
      const int i = Address::Parse(to)->port - 1000;
      clock.After(milliseconds(1), [this, from = box->link.box, i, notice] {
        const bool receives = boxes_[i]->running && boxes_[from]->running;
        if (receives && can_reach(i, from)) OnNotice(boxes_[i].get(), notice);
      });
    }
  }
  void OnNotice(Box* box, const MissingNotice& notice) {
    for (const MissingEntry& entry : notice.entries) {
      if (entry.list_version <= box->list()) continue;
      const bool news = box->directory.OnMissingReported(
          clock.now(), entry.endpoint, entry.incarnation, entry.list_version);
      if (news) box->missing.OnNews(entry);
    }
  }

  // Gossip is not simulated: every two seconds a box receives the digests of
  // all boxes that it reaches.
  void ExchangeDigests(int i) {
    std::vector<MemberRow> rows;
    for (int j = 0; j < size(); j++) {
      MemberRow row = RowOf(j);
      row.heartbeat = ++last_heartbeat_;
      std::copy_n(boxes_[j]->versions, kDocumentKinds, row.versions);
      if (j != i && boxes_[j]->running && can_reach(i, j)) rows.push_back(row);
    }
    Box& box = *boxes_[i];
    box.membership.OnRows(clock.now(), rows);
    for (const MemberRow& row : rows) {
      const Box& other = *boxes_[Address::Parse(row.address)->port - 1000];
      box.source->OnDigest(row.address, other.configuration(), other.list(),
                           other.fresh_as_of());
    }
    clock.After(seconds(2), [this, i, incarnation = box.incarnation] {
      if (IsRunning(i, incarnation)) ExchangeDigests(i);
    });
  }

  void Tick(int i, int incarnation) {
    Box& box = *boxes_[i];
    const StoreTask task = box.task_selector.ChooseTask(
        clock.now(), box.fresh_as_of(), &box.source_selector);
    box.is_mirror = Mirrors(task);
    if (box.is_mirror) {
      const bool first = task == StoreTask::kMirror;
      box.mirror->set_max_retry_delay(milliseconds(first ? 250 : 1000));
      box.mirror->Start();
    } else {
      box.mirror->Stop();
      if (task == StoreTask::kReadOnce) box.mirror->ReadOnce();
    }
    const bool failing = box.is_mirror && box.mirror->failing();
    if (failing && !std::exchange(box.failing, true)) Announce(&box);
    box.failing = failing;
    ApplyStoredConfiguration(&box);
    box.directory.Tick(clock.now());
    SendMissingNotices(&box);
    box.source->Tick(!box.is_mirror || box.mirror->failing() ||
                     !box.startup_check->Done(clock.now()));
    clock.After(milliseconds(50), [this, i, incarnation] {
      if (IsRunning(i, incarnation)) Tick(i, incarnation);
    });
  }

  void Fetch(int from, const std::string& to, const FetchRequest& request,
             std::function<void(std::optional<FetchReply>)> fn) {
    boxes_[Address::Parse(to)->port - 1000]->times_asked++;
    const int peer = Address::Parse(to)->port - 1000;
    const bool reachable = boxes_[peer]->running && can_reach(from, peer);
    const bool refuses = killed_boxes_refuse && !boxes_[peer]->running;
    const Duration limit = reachable || refuses ? milliseconds(2) : seconds(2);
    const int incarnation = boxes_[from]->incarnation;
    clock.After(limit, [this, from, incarnation, peer, reachable, request,
                        fn = std::move(fn)] {
      if (!IsRunning(from, incarnation)) return;
      if (reachable && boxes_[peer]->running) {
        Deliver(from, incarnation, boxes_[peer].get(), request, fn);
      } else {
        fn(std::nullopt);
      }
    });
  }

  // The reply arrives after all earlier transfers on its sender's link.
  void Deliver(int to, int incarnation, Box* box, const FetchRequest& request,
               std::function<void(std::optional<FetchReply>)> fn) {
    const FetchReply reply = Reply(box, request);
    const auto& list =
        reply.documents[static_cast<int>(DocumentKind::kEndpoints)];
    const int64_t bytes = list.body.empty() ? 0 : list_bytes;
    box->link_free_at =
        std::max(box->link_free_at, clock.now()) +
        FromSeconds(static_cast<double>(bytes) / link_bytes_per_second);
    const Duration wait = box->link_free_at - clock.now();
    if (wait == Duration(0)) {
      fn(reply);
      return;
    }
    clock.After(wait, [this, to, incarnation, reply, fn = std::move(fn)] {
      if (IsRunning(to, incarnation)) fn(reply);
    });
  }

  FetchReply Reply(Box* from, const FetchRequest& request) {
    const Box& box = *from;
    FetchReply reply;
    reply.store_unreachable = box.is_mirror && box.mirror->failing();
    for (int k = 0; k < kDocumentKinds; k++) {
      DocumentState& state = reply.documents[k];
      state.version = box.versions[k];
      state.freshness_age_ms = ToMillis(clock.now() - box.fresh_as_of()) + 1;
      const bool list = k == static_cast<int>(DocumentKind::kEndpoints);
      const bool wanted = state.version > request.known_versions[k];
      const bool sent =
          wanted && (!list || from->list_budget.Take(clock.now(), list_bytes));
      if (sent && list) {
        state.body = WriteDirectory(box.directory.Snapshot(clock.now()));
      } else if (sent) {
        state.body = "b";
      }
    }
    return reply;
  }

  void RecordStaleBoxes() {
    for (int i = 0; i < size(); i++) {
      const Box& box = *boxes_[i];
      const bool stale = clock.now() - box.fresh_as_of() > kMaxFreshnessAge;
      if (box.running && stale) stale_.insert(i);
    }
  }

  int halls_;
  std::vector<std::unique_ptr<Box>> boxes_;
  std::vector<std::unique_ptr<Box>> stopped_boxes_;
  std::set<int> stale_;
  uint64_t last_heartbeat_ = 1;

 public:
  FleetStore store;
};

}  // namespace pinford

#endif  // PINFORD_TESTING_FLEET_H_
