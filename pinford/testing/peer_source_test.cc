// PeerSource over real sockets: which peer a box asks, and how fresh it stays.

#include "pinford/forwarding/peer_source.h"

#include <gtest/gtest.h>

#include <memory>

#include "pinford/event_loop.h"
#include "pinford/forwarding/startup_peer_check.h"
#include "pinford/peer_link.h"
#include "pinford/testing/free_ports.h"

namespace pinford {
namespace {

constexpr char kPeerKey[] = "key";
constexpr int kEndpointsIndex = IndexOf(DocumentKind::kEndpoints);

// A peer that answers with a given freshness age.
struct Peer {
  Peer(EventLoop* loop, const std::string& name, int port)
      : link(std::in_place, loop, PeerCodec(kPeerKey),
             PeerLink::Handlers{
                 [](const Digest&) {}, [](const FailureNotice&) {},
                 [this](const FetchRequest& r) { return Answer(r); }}) {
    row.name = name;
    row.hall = "h";
    row.address = "127.0.0.1:" + std::to_string(port);
    row.incarnation = 1;
    EXPECT_TRUE(link->Listen(*Address::Parse(row.address)));
  }
  FetchReply Answer(const FetchRequest& request) {
    asked++;
    asked_from = request.list;
    FetchReply reply;
    reply.kind = request.kind;
    for (DocumentState& state : reply.documents) {
      state.version = 7;
      state.freshness_age_ms = age_ms;
    }
    reply.store_unreachable = store_unreachable;
    if (list) reply.documents[kEndpointsIndex] = *list;
    return reply;
  }

  MemberRow row;
  std::optional<PeerLink> link;
  int asked = 0;
  uint64_t age_ms = 0;
  bool store_unreachable = false;
  ListCursor asked_from;              // of the last request
  std::optional<DocumentState> list;  // sent in answers if set
};

// A box with version 7 of all documents, and two peers in its hall.
class Fixture {
 public:
  Fixture()
      : ports_(FreePorts(2)),
        membership_(Self(), {}, Membership::Options(), Random(1)),
        link_(&loop_, PeerCodec(kPeerKey), {}),
        selector_(&membership_, SelectorOptions()),
        source_(&loop_, &membership_, &selector_, {}, &link_, Random(2),
                Options(), Events()) {
    for (int i = 0; i < 2; i++) {
      peers_[i] = std::make_unique<Peer>(&loop_, "peer-" + std::to_string(i),
                                         ports_[i]);
      membership_.OnRows(loop_.now(), {peers_[i]->row});
    }
    // The primary of the hall is one of the two, not this box.
    const bool zero_first = RendezvousWeight("peer-0", kMirrorRole) >
                            RendezvousWeight("peer-1", kMirrorRole);
    mirror = peers_[zero_first ? 0 : 1].get();
    other = peers_[zero_first ? 1 : 0].get();
    EXPECT_GT(selector_.rank(loop_.now()), 0);
    loop_.Every(milliseconds(5), [this] { source_.Tick(true); });
  }

  void RunFor(Duration d) {
    loop_.After(d, [this] { loop_.Stop(); });
    loop_.Run();
  }
  Duration FreshnessAge() const { return loop_.now() - fresh_as_of_; }
  bool MirrorFailing() { return selector_.primary_failing(loop_.now()); }

  Peer* mirror;
  Peer* other;
  uint64_t list_version = 7;        // held by the box
  std::vector<std::string> bodies;  // accepted by the box

 private:
  static MemberRow Self() {
    MemberRow row;
    row.name = "self-0";
    row.hall = "h";
    return row;
  }
  static PeerSourceOptions Options() {
    PeerSourceOptions options;
    options.interval = milliseconds(20);
    return options;
  }
  static SourceSelector::Options SelectorOptions() {
    SourceSelector::Options options;
    options.failing_period = milliseconds(200);
    return options;
  }
  PeerSourceEvents Events() {
    PeerSourceEvents events;
    events.version = [this](DocumentKind kind) {
      return kind == DocumentKind::kEndpoints ? list_version : 7;
    };
    events.fresh_as_of = [this](DocumentKind) { return fresh_as_of_; };
    events.on_body = [this](DocumentKind, const DocumentState& state,
                            const std::string&) {
      bodies.push_back(state.body);
      list_version = state.version;
      return true;
    };
    events.on_freshness = [this](DocumentKind, uint64_t, Time fresh_as_of) {
      fresh_as_of_ = fresh_as_of;
    };
    return events;
  }

  EventLoop loop_;
  std::vector<int> ports_;
  Membership membership_;
  PeerLink link_;
  Time fresh_as_of_{};
  SourceSelector selector_;
  PeerSource<PeerLink, EventLoop> source_;
  std::unique_ptr<Peer> peers_[2];
};

// The mirror's freshness does not advance between two answers of the store;
// that is no reason to ask a box that got its documents second hand.
TEST(PeerSource, AsksOnlyTheMirrorWhileItsFreshnessAgeIsNormal) {
  Fixture f;
  for (f.mirror->age_ms = 0; f.mirror->age_ms <= 2000;) {
    f.RunFor(milliseconds(50));
    f.mirror->age_ms += 200;
  }
  EXPECT_GT(f.mirror->asked, 10);
  EXPECT_EQ(f.other->asked, 0);
  EXPECT_FALSE(f.MirrorFailing());
}

// The other boxes must learn immediately that the mirror cannot reach the
// store, because the freshness age does not show which endpoints leave
// during the outage.
TEST(PeerSource, AMirrorThatTheStoreDoesNotAnswerSaysSo) {
  Fixture f;
  f.RunFor(milliseconds(100));
  EXPECT_FALSE(f.MirrorFailing());
  f.mirror->store_unreachable = true;
  f.RunFor(milliseconds(100));
  EXPECT_TRUE(f.MirrorFailing());
  // It is still asked, alternating with the others, so that its recovery is
  // noticed.
  const int asked = f.mirror->asked;
  f.RunFor(milliseconds(400));
  EXPECT_TRUE(f.MirrorFailing());
  EXPECT_GT(f.mirror->asked, asked + 3);
  EXPECT_GT(f.other->asked, 3);
  f.mirror->store_unreachable = false;
  f.RunFor(milliseconds(400));
  EXPECT_FALSE(f.MirrorFailing());
}

TEST(PeerSource, AsksOthersWhileTheMirrorIsStale) {
  Fixture f;
  f.mirror->age_ms = 4000;
  f.other->age_ms = 500;
  f.RunFor(milliseconds(400));
  EXPECT_GT(f.other->asked, 0);
  EXPECT_LT(f.FreshnessAge(), milliseconds(1000));
}

// A box that does not answer is skipped after one request, and soon is not
// ranked any more.
TEST(PeerSource, ASilentMirrorIsPassedOver) {
  Fixture f;
  f.RunFor(milliseconds(100));
  f.mirror->link.reset();
  f.other->asked = 0;
  f.RunFor(milliseconds(300));
  EXPECT_GT(f.other->asked, 3);
  EXPECT_LT(f.FreshnessAge(), milliseconds(200));
}

// A box that got its list from the peer it asks receives the changes since:
// from the cursor of the last list or changes that it applied, and only from
// that peer.
TEST(PeerSource, TheListIsAskedForFromTheMomentAtWhichItWasHad) {
  Fixture f;
  const auto answers = [&f](uint64_t version, const std::string& body,
                            bool changes, const ListCursor& at) {
    f.mirror->list = {version, 0, body, changes, at};
    f.RunFor(milliseconds(60));
  };
  const ListCursor none;
  answers(7, "", false, {5, 9});
  EXPECT_EQ(f.mirror->asked_from, none) << "it has no list from that peer";
  answers(8, "whole", false, {5, 10});
  f.mirror->list->body = "";  // as a peer answers a request from its own cursor
  f.RunFor(milliseconds(60));
  EXPECT_EQ(f.mirror->asked_from, (ListCursor{5, 10}));
  // Changes need not have a new version: a lapsed entry was dropped.
  answers(8, "changes", true, {5, 11});
  f.mirror->list = {8, 0, "", false, {5, 11}};
  f.RunFor(milliseconds(60));
  EXPECT_EQ(f.mirror->asked_from, (ListCursor{5, 11}));
  EXPECT_EQ(f.bodies.front(), "whole");
  EXPECT_EQ(f.bodies.back(), "changes");
  // The box has a newer list from elsewhere: older changes are not applied, and
  // the peer's cursor is void.
  f.list_version = 9;
  const size_t taken = f.bodies.size();
  answers(8, "older", true, {5, 12});
  EXPECT_EQ(f.bodies.size(), taken);
  EXPECT_EQ(f.mirror->asked_from, none);
  EXPECT_EQ(f.other->asked_from, none);
}

TEST(StartupPeerCheck, EndsWithAnAnswerOrAfterATimeout) {
  const Time now = Time{} + seconds(1);
  EXPECT_TRUE(StartupPeerCheck(now, false).Done(now));
  StartupPeerCheck asks(now, true);
  EXPECT_FALSE(asks.Done(now + StartupPeerCheck::kMaxWait - milliseconds(1)));
  EXPECT_TRUE(asks.Done(now + StartupPeerCheck::kMaxWait));
  asks.OnAnswer();
  EXPECT_TRUE(asks.Done(now));
}

}  // namespace
}  // namespace pinford
