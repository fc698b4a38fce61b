// A fleet of many boxes on a paused clock, before a store: the real ranks,
// questions between boxes, mirrors and duties. Whether the store answers a box,
// which boxes reach each other, and who lives, is the test's.

#ifndef PINFORD_TESTING_FLEET_H_
#define PINFORD_TESTING_FLEET_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pinford/forwarding/peer_source.h"
#include "pinford/forwarding/prefix_mirror.h"
#include "pinford/forwarding/send_budget.h"
#include "pinford/forwarding/startup_peer_check.h"
#include "pinford/forwarding/store_task_selector.h"
#include "pinford/store_era.h"
#include "util/paused_clock.h"

namespace pinford {

inline constexpr int kSeeds = 3;
// Keys of customers are refused once a proof is this old.
inline constexpr Duration kProofLimit = milliseconds(4700);

// The store as its callers see it: each may be answered, refused or left
// waiting. It holds the operator's configuration, by its version. Counts calls.
class FleetStore {
 public:
  explicit FleetStore(PausedClock* clock) : clock_(clock) {}

  enum class Response { kAnswer, kRefuse, kNone };
  std::function<Response(int box)> response = [](int) {
    return Response::kAnswer;
  };
  // A box is about to get an answer of this era.
  std::function<void(int box, uint64_t era)> heard;
  int64_t calls = 0;
  StoreRevision revision = StoreRevision::Make(0, 100).value();
  uint64_t configuration = 1;

  void Put(uint64_t version) {
    configuration = version;
    BumpRevision();
  }
  // Something else is written.
  void BumpRevision() {
    revision =
        StoreRevision::Make(revision.era(), revision.number() + 1).value();
  }
  // It is away for a moment, and back from a copy of before the last three
  // changes, with that configuration.
  void Restore() { Restore(configuration); }
  void Restore(uint64_t version) {
    const uint64_t number = revision.number() - 3;
    revision = StoreRevision::Make(revision.era() + 1, number).value();
    configuration = version;
  }

  void List(int box, PrefixCallback fn) {
    Answer(box, milliseconds(4), std::nullopt, std::move(fn));
  }
  // A change ends the wait.
  void Watch(int box, StoreRevision since, Duration wait, PrefixCallback fn) {
    Answer(box, wait, since, std::move(fn));
  }

 private:
  static constexpr Duration kReadOnce = milliseconds(50);

  // To a list, or to a watch from `since`.
  PrefixResult What(const std::optional<StoreRevision>& since) const {
    PrefixResult r;
    r.at = revision;
    if (since && since->era() < revision.era()) {
      r.status = StoreStatus::kCompacted;
    } else if (since && *since == revision) {
      r.status = StoreStatus::kTimeout;
    } else {
      r.status = StoreStatus::kOk;
      r.items = {{"config", std::to_string(configuration), revision, false}};
    }
    return r;
  }

  void Answer(int box, Duration after, std::optional<StoreRevision> since,
              PrefixCallback fn) {
    calls++;
    const Response how = response(box);
    if (how == Response::kNone) return;
    const bool refuses = how == Response::kRefuse;
    const bool waits = since && *since == revision && !refuses;
    if (waits && after > kReadOnce) {
      // Looks again now and then, as a waiting watch would be woken.
      clock_->After(kReadOnce, [this, box, after, since, fn = std::move(fn)] {
        if (response(box) == Response::kNone) return;
        calls--;
        Answer(box, after - kReadOnce, since, fn);
      });
      return;
    }
    const Duration answer = milliseconds(4);
    clock_->After(waits ? after : answer,
                  [this, box, refuses, since, fn = std::move(fn)] {
                    // What falls silent meanwhile does not answer any more.
                    if (response(box) == Response::kNone) return;
                    if (!refuses && heard) heard(box, revision.era());
                    PrefixResult refused;
                    refused.status = StoreStatus::kRefused;
                    fn(refuses ? refused : What(since));
                  });
  }

  PausedClock* clock_;
};

class Fleet {
 public:
  // One box's way to the store. A PrefixStore.
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
  // One box's way to the others. A FetchLink.
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
          roster(&membership, SourceSelector::Options()),
          task_selector(d),
          store{&fleet->store, i},
          link{fleet, i} {}

    Membership membership;
    SourceSelector roster;
    StoreTaskSelector task_selector;
    Store store;
    Link link;
    StoreEra era;
    std::optional<StartupPeerCheck> peers_first;
    uint64_t stored_configuration = 0;  // as the store had it last
    std::unique_ptr<Mirror> mirror;
    std::unique_ptr<PeerSource<Link, PausedClock>> source;
    uint64_t versions[kDocumentKinds] = {};
    Time fresh_as_of{};
    bool mirrors = false;
    bool running = true;
    int life = 0;
    Time started{};
    Time link_free_at{};  // when all that it sends has gone
    SendBudget list_budget;

    uint64_t configuration() const {
      return versions[static_cast<int>(DocumentKind::kConfiguration)];
    }
    uint64_t list() const {
      return versions[static_cast<int>(DocumentKind::kEndpoints)];
    }
  };

  Fleet(int boxes, int halls) : halls_(halls), store(&clock) {
    store.heard = [this](int i, uint64_t era) { boxes_[i]->era.Observe(era); };
    for (int i = 0; i < boxes; i++) boxes_.push_back(nullptr);
    for (int i = 0; i < boxes; i++) Start(i);
  }

  void Start(int i) {
    const bool seed = i < kSeeds;
    std::vector<std::string> seeds;
    for (int s = 0; s < kSeeds; s++) {
      if (s != i) seeds.push_back(At(s));
    }
    const int life = boxes_[i] != nullptr ? boxes_[i]->life + 1 : 1;
    // What is still on its way to the life before must find it.
    if (boxes_[i] != nullptr) buried_.push_back(std::move(boxes_[i]));
    boxes_[i] = std::make_unique<Box>(
        this, i, Membership(RowOf(i), {}, Membership::Options(), Random(i)),
        StoreTaskSelector(clock.now(), seed, StoreTaskSelector::Options(),
                          Random(i + 1000)));
    Box& box = *boxes_[i];
    box.life = life;
    box.started = clock.now();
    box.peers_first.emplace(clock.now(), !seeds.empty());
    PrefixMirrorOptions options;
    options.unreachable_timeout = milliseconds(20);
    options.answer_timeout = milliseconds(400);
    PrefixMirrorEvents events;
    events.on_list = [this, &box](const PrefixResult& r) { TakeOf(&box, r); };
    events.on_changes = events.on_list;
    events.on_freshness = [&box](Time fresh_as_of) {
      box.fresh_as_of = std::max(box.fresh_as_of, fresh_as_of);
    };
    events.on_reachable = [](bool, StoreStatus) {};
    box.mirror =
        std::make_unique<Mirror>(&box.store, &clock, "p", options, events);
    box.era.set_on_increase(
        [&box](uint64_t, uint64_t) { box.mirror->Relist(); });
    box.source = std::make_unique<PeerSource<Link, PausedClock>>(
        &clock, &box.membership, &box.roster, seeds, &box.link,
        Random(i + 2000), PeerSourceOptions(), SourceEvents(&box));
    // All start within 0.3 s of each other, and hear of each other 0.5 s later.
    clock.After(milliseconds(i * 37 % 300), [this, i, life] {
      if (Lives(i, life)) Tick(i, life);
    });
    clock.After(milliseconds(800 + i * 13 % 200), [this, i, life] {
      if (Lives(i, life)) Meet(i);
    });
  }

  void Kill(int i) { boxes_[i]->running = false; }
  int hall(int i) const { return i % halls_; }
  int size() const { return static_cast<int>(boxes_.size()); }
  Box& at(int i) { return *boxes_[i]; }
  // The boxes that mirror the store now.
  std::vector<int> MirrorBoxes() {
    std::vector<int> out;
    for (int i = 0; i < size(); i++) {
      if (boxes_[i]->running && boxes_[i]->mirrors) out.push_back(i);
    }
    return out;
  }

  // Calls made while `d` passes.
  int64_t Run(Duration d) {
    const int64_t before = store.calls;
    const Time end = clock.now() + d;
    while (clock.now() < end) {
      clock.Advance(milliseconds(100));
      NoteProofs();
    }
    return store.calls - before;
  }

  // Boxes in `counts` that lacked a proof at some moment since the last call.
  int CountStale(const std::function<bool(int)>& counts) {
    int n = 0;
    for (const int i : lacking_) n += counts(i);
    lacking_.clear();
    return n;
  }
  // Whether boxes that were killed refuse connections, rather than be silent.
  bool killed_boxes_refuse = false;
  // A list that goes whole takes so many bytes of the link of who sends it.
  int64_t list_bytes = 0;
  int64_t link_bytes_per_second = 2'500'000;
  // Which boxes reach which.
  std::function<bool(int, int)> can_reach = [](int, int) { return true; };

  PausedClock clock;

 private:
  static std::string At(int i) {
    return "10.0.0.1:" + std::to_string(1000 + i);
  }
  MemberRow RowOf(int i) const {
    MemberRow row;
    row.name = "box-" + std::to_string(i);
    row.hall = "hall-" + std::to_string(i % halls_);
    row.address = At(i);
    row.incarnation = 1;
    return row;
  }
  bool Lives(int i, int life) const {
    return boxes_[i]->running && boxes_[i]->life == life;
  }
  // Higher versions only, and the first configuration once peers were asked, as
  // boxes do.
  static void Take(Box* box, DocumentKind kind, uint64_t version) {
    uint64_t& held = box->versions[static_cast<int>(kind)];
    held = std::max(held, version);
  }
  void TakeOf(Box* box, const PrefixResult& r) {
    if (box->mirrors && r.at.packed() > box->list()) Announce(box->link.box);
    Take(box, DocumentKind::kEndpoints, r.at.packed());
    for (const StoreItem& item : r.items) {
      box->stored_configuration = std::stoull(item.value);
    }
    TakeStored(box);
  }
  void TakeStored(Box* box) {
    if (box->peers_first->Done(clock.now())) {
      Take(box, DocumentKind::kConfiguration, box->stored_configuration);
    }
  }

  PeerSourceEvents SourceEvents(Box* box) {
    PeerSourceEvents events;
    events.version = [box](DocumentKind k) {
      return box->versions[static_cast<int>(k)];
    };
    events.fresh_as_of = [box](DocumentKind) { return box->fresh_as_of; };
    events.on_body = [box](DocumentKind kind, const DocumentState& state,
                           const std::string&) {
      if (kind == DocumentKind::kEndpoints) {
        box->era.Observe(StoreRevision::FromPacked(state.version).era());
      }
      Take(box, kind, state.version);
      return true;
    };
    events.on_answer = [box] { box->peers_first->OnAnswer(); };
    events.on_freshness = [box](DocumentKind, Time fresh_as_of) {
      box->fresh_as_of = fresh_as_of;
    };
    return events;
  }

  // Each change counts as an endpoint that went.
  void Announce(int from) {
    clock.After(milliseconds(1), [this, from] {
      const Box& box = *boxes_[from];
      for (int i = 0; i < size(); i++) {
        const bool told =
            boxes_[i]->running && i != from && hall(i) == hall(from);
        if (!told || !box.running || !can_reach(i, from)) continue;
        boxes_[i]->source->OnDigest(At(from), box.configuration(), box.list(),
                                    box.fresh_as_of);
      }
    });
  }

  // Digests are not played: every two seconds a box hears from all that it can
  // reach.
  void Meet(int i) {
    std::vector<MemberRow> rows;
    for (int j = 0; j < size(); j++) {
      MemberRow row = RowOf(j);
      row.heartbeat = ++beat_;
      std::copy_n(boxes_[j]->versions, kDocumentKinds, row.versions);
      if (j != i && boxes_[j]->running && can_reach(i, j)) rows.push_back(row);
    }
    Box& box = *boxes_[i];
    box.membership.OnRows(clock.now(), rows);
    for (const MemberRow& row : rows) {
      const Box& other = *boxes_[Address::Parse(row.address)->port - 1000];
      box.source->OnDigest(row.address, other.configuration(), other.list(),
                           other.fresh_as_of);
    }
    clock.After(seconds(2), [this, i, life = box.life] {
      if (Lives(i, life)) Meet(i);
    });
  }

  void Tick(int i, int life) {
    Box& box = *boxes_[i];
    const StoreTask task =
        box.task_selector.ChooseTask(clock.now(), box.fresh_as_of, &box.roster);
    box.mirrors = Mirrors(task);
    if (box.mirrors) {
      const bool first = task == StoreTask::kMirror;
      box.mirror->set_max_retry_delay(milliseconds(first ? 250 : 1000));
      box.mirror->Start();
    } else {
      box.mirror->Stop();
      if (task == StoreTask::kReadOnce) box.mirror->ReadOnce();
    }
    TakeStored(&box);
    box.source->Tick(!box.mirrors || box.mirror->failing() ||
                     !box.peers_first->Done(clock.now()));
    clock.After(milliseconds(50), [this, i, life] {
      if (Lives(i, life)) Tick(i, life);
    });
  }

  void Fetch(int from, const std::string& to, const FetchRequest& request,
             std::function<void(std::optional<FetchReply>)> fn) {
    const int peer = Address::Parse(to)->port - 1000;
    const bool there = boxes_[peer]->running && can_reach(from, peer);
    const bool refuses = killed_boxes_refuse && !boxes_[peer]->running;
    const Duration limit = there || refuses ? milliseconds(2) : seconds(2);
    const int life = boxes_[from]->life;
    clock.After(limit,
                [this, from, life, peer, there, request, fn = std::move(fn)] {
                  if (!Lives(from, life)) return;
                  if (there && boxes_[peer]->running) {
                    Deliver(from, life, boxes_[peer].get(), request, fn);
                  } else {
                    fn(std::nullopt);
                  }
                });
  }

  // The answer comes when all that its sender sends before it has gone.
  void Deliver(int to, int life, Box* box, const FetchRequest& request,
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
    clock.After(wait, [this, to, life, reply, fn = std::move(fn)] {
      if (Lives(to, life)) fn(reply);
    });
  }

  FetchReply Reply(Box* from, const FetchRequest& request) {
    const Box& box = *from;
    FetchReply reply;
    reply.store_unreachable = box.mirrors && box.mirror->failing();
    for (int k = 0; k < kDocumentKinds; k++) {
      DocumentState& state = reply.documents[k];
      state.version = box.versions[k];
      state.freshness_age_ms = ToMillis(clock.now() - box.fresh_as_of) + 1;
      const bool list = k == static_cast<int>(DocumentKind::kEndpoints);
      const bool wanted = state.version > request.known_versions[k];
      const bool sent =
          wanted && (!list || from->list_budget.Take(clock.now(), list_bytes));
      if (sent) state.body = "b";
    }
    return reply;
  }

  void NoteProofs() {
    for (int i = 0; i < size(); i++) {
      const Box& box = *boxes_[i];
      const bool lacks = clock.now() - box.fresh_as_of > kProofLimit;
      if (box.running && lacks) lacking_.insert(i);
    }
  }

  int halls_;
  std::vector<std::unique_ptr<Box>> boxes_;
  std::vector<std::unique_ptr<Box>> buried_;
  std::set<int> lacking_;
  uint64_t beat_ = 1;

 public:
  FleetStore store;
};

}  // namespace pinford

#endif  // PINFORD_TESTING_FLEET_H_
