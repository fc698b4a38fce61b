// Rate limits that endpoints name: how they are read and ordered, and the
// permits to send to such an endpoint.

#include "pinford/rate_limits.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "pinford/endpoint_table.h"
#include "pinford/forwarding/endpoint_notice.h"
#include "pinford/forwarding/permit_exchange.h"
#include "pinford/forwarding/permit_issuer.h"
#include "pinford/peer_messages.h"
#include "pinford/rate_permits.h"

namespace pinford {
namespace {

using Kind = RateLimitNotice::Kind;
using Change = RateLimits::Change;

constexpr PermitClass kOrdinary = PermitClass::kOrdinary;
constexpr PermitClass kPriority = PermitClass::kPriority;
constexpr Time kStart = Time(seconds(1000));

Time At(int ms) { return kStart + milliseconds(ms); }

RateLimitNotice Named(double per_second) { return {Kind::kNamed, per_second}; }

TEST(RateLimitHeader, IsADecimalNumber) {
  const struct {
    const char* text;
    int count;
    Kind kind;
    double per_second;
  } kCases[] = {
      {"", 0, Kind::kAbsent, 0},
      {"4.9", 1, Kind::kNamed, 4.9},
      {"6", 1, Kind::kNamed, 6},
      {"0", 1, Kind::kNamed, 0},
      {"0.25", 1, Kind::kNamed, 0.25},
      {"1e3", 1, Kind::kNamed, 1000},
      {"99999999999", 1, Kind::kNamed, 1e6},
      {"", 1, Kind::kUnreadable, 0},
      {"-1", 1, Kind::kUnreadable, 0},
      {"nan", 1, Kind::kUnreadable, 0},
      {"inf", 1, Kind::kUnreadable, 0},
      {"1e999", 1, Kind::kUnreadable, 0},
      {"5 a second", 1, Kind::kUnreadable, 0},
      {"0x5", 1, Kind::kUnreadable, 0},
      {"5, 6", 1, Kind::kUnreadable, 0},
      {"5", 2, Kind::kUnreadable, 0},
  };
  for (const auto& c : kCases) {
    const RateLimitNotice notice = ParseRateLimit(c.text, c.count);
    EXPECT_EQ(notice.kind, c.kind) << c.text;
    EXPECT_EQ(notice.per_second, c.per_second) << c.text;
  }
}

TEST(RateLimitHeader, SaysNothingInAResponseOfAnotherEndpoint) {
  const ForwardHeaders names;
  HttpHead head;
  head.headers = {{names.rate_limit, "5"}};
  for (const int status : {200, 429, 500, 503}) {
    head.status = status;
    EXPECT_EQ(ReadNotice(head, names).rate_limit.kind, Kind::kNamed) << status;
  }
  head.status = 421;
  EXPECT_EQ(ReadNotice(head, names).rate_limit.kind, Kind::kUnknown);
}

TEST(NamedLimits, EndByAResponseToALaterRequestOnly) {
  RateLimits limits;
  EXPECT_EQ(limits.OnResponse(At(0), "a", 1, At(-50), Named(5)),
            Change::kBegan);
  EXPECT_EQ(limits.OnResponse(At(10), "a", 1, At(-20), {}), Change::kNone);
  ASSERT_NE(limits.Find("a"), nullptr);
  EXPECT_EQ(limits.Find("a")->per_second, 5);
  EXPECT_EQ(limits.OnResponse(At(20), "a", 1, At(5), Named(4)),
            Change::kChanged);
  EXPECT_EQ(limits.OnResponse(At(30), "a", 1, At(25), {Kind::kUnreadable, 0}),
            Change::kNone);
  EXPECT_EQ(limits.OnResponse(At(40), "a", 1, At(25), {}), Change::kEnded);
  EXPECT_EQ(limits.Find("a"), nullptr);
  EXPECT_EQ(limits.OnResponse(At(50), "a", 1, At(45), Named(3)),
            Change::kBegan);
}

TEST(NamedLimits, BelongToOneIncarnation) {
  RateLimits limits;
  limits.OnResponse(At(0), "a", 2, At(-5), Named(5));
  EXPECT_EQ(limits.OnResponse(At(5), "a", 1, At(1), Named(9)), Change::kNone);
  EXPECT_EQ(limits.OnResponse(At(5), "a", 1, At(1), {}), Change::kNone);
  EXPECT_EQ(limits.Find("a")->per_second, 5);
  limits.OnResponse(At(9), "a", 3, At(6), Named(7));
  EXPECT_EQ(limits.Find("a")->per_second, 7);
  EXPECT_EQ(limits.Find("a")->incarnation, 3u);
}

TEST(NamedLimits, OfZeroPermitsARequestAtTimes) {
  RateLimits limits;
  limits.OnResponse(At(0), "a", 1, At(-5), Named(0));
  ASSERT_NE(limits.Find("a"), nullptr);
  EXPECT_EQ(limits.Find("a")->per_second, RateLimits::kMinPerSecond);
}

TEST(NamedLimits, ThatNobodyNamesAreDropped) {
  RateLimits limits;
  limits.OnResponse(At(0), "a", 1, At(-5), Named(5));
  limits.Expire(At(0) + RateLimits::kMaxAge);
  EXPECT_NE(limits.Find("a"), nullptr);
  limits.Expire(At(1) + RateLimits::kMaxAge);
  EXPECT_EQ(limits.Find("a"), nullptr);
}

TEST(NamedLimits, BoundTheEndpointsOfPeers) {
  RateLimits limits;
  for (size_t i = 0; i < 2 * RateLimits::kMaxEndpoints; i++) {
    limits.OnPeerLimit(At(0), {std::to_string(i), 1, 5, 0, NamedLimit::kNever});
  }
  EXPECT_EQ(limits.CountInForce(), RateLimits::kMaxEndpoints);
}

// Boxes that tell each other of a limit again and again, each time with the
// delay of a message, agree on whether it is in force, and do not revive it.
TEST(NamedLimits, PeersAgreeInAnyOrderOfMessages) {
  for (int seed = 1; seed <= 200; seed++) {
    std::mt19937 random(seed);
    std::vector<RateLimits> boxes(4);
    Time now = At(0);
    const auto any = [&] { return random() % boxes.size(); };
    // The endpoint names it for a second, then no more.
    for (int ms = 0; ms < 2000; ms += 20) {
      now = At(ms);
      const Time sent = now - milliseconds(10 + random() % 200);
      const bool named = sent + milliseconds(5) < At(1000);
      boxes[any()].OnResponse(now, "a", 1, sent,
                              named ? Named(5) : RateLimitNotice());
    }
    for (int i = 0; i < 500; i++) {
      const auto told = boxes[any()].Describe(now, "a");
      now += milliseconds(1 + random() % 20);
      if (told) boxes[any()].OnPeerLimit(now, *told);
    }
    for (const RateLimits& box : boxes)
      EXPECT_EQ(box.Find("a"), nullptr) << seed;
  }
}

TEST(RatePermits, AreNeededForLimitedEndpointsOnly) {
  RatePermits permits{RatePermits::Options()};
  EXPECT_TRUE(permits.MayBegin(At(0), "a", kOrdinary));
  EXPECT_EQ(permits.Take(At(0), "a", kOrdinary), Time::max());
  permits.limits()->OnResponse(At(0), "a", 1, At(-5), Named(5));
  EXPECT_FALSE(permits.MayBegin(At(0), "a", kOrdinary));
  EXPECT_FALSE(permits.Take(At(0), "a", kOrdinary));
  EXPECT_TRUE(permits.MayBegin(At(0), "b", kOrdinary));
}

TEST(RatePermits, ExpireAndCanBeGivenBack) {
  RatePermits permits{RatePermits::Options()};
  permits.limits()->OnResponse(At(0), "a", 1, At(-5), Named(5));
  permits.Want(At(0), "a", kOrdinary, false);
  ASSERT_EQ(permits.TakeNeeds(At(0)).size(), 1u);
  EXPECT_TRUE(permits.TakeNeeds(At(0)).empty()) << "asked twice";
  permits.OnIssued(At(3), "a", kOrdinary, At(0), 2, milliseconds(100));
  const std::optional<Time> permit = permits.Take(At(4), "a", kOrdinary);
  EXPECT_EQ(permit, At(500));
  EXPECT_TRUE(permits.Take(At(4), "a", kOrdinary));
  EXPECT_FALSE(permits.Take(At(4), "a", kOrdinary));
  permits.Return(At(5), "a", kOrdinary, *permit);
  EXPECT_TRUE(permits.MayBegin(At(499), "a", kOrdinary));
  EXPECT_FALSE(permits.MayBegin(At(500), "a", kOrdinary));
  EXPECT_FALSE(permits.Take(At(500), "a", kOrdinary));
  EXPECT_EQ(permits.unused(), 1);
}

TEST(RatePermits, AreAskedForWhileRequestsWaitAndNotTooEarly) {
  RatePermits permits{RatePermits::Options()};
  int wanted = 0;
  permits.set_on_wanted([&wanted] { wanted++; });
  permits.limits()->OnResponse(At(0), "a", 1, At(-5), Named(5));
  permits.Want(At(0), "a", kOrdinary, false);
  EXPECT_EQ(wanted, 1);
  EXPECT_TRUE(permits.TakeNeeds(At(21)).empty()) << "nobody waits any more";
  permits.Want(At(30), "a", kOrdinary, false);
  ASSERT_EQ(permits.TakeNeeds(At(30)).size(), 1u);
  EXPECT_EQ(permits.WaitFor(At(31), "a", kOrdinary), Duration(0));
  permits.OnIssued(At(33), "a", kOrdinary, At(30), 0, milliseconds(200));
  EXPECT_EQ(permits.WaitFor(At(33), "a", kOrdinary), milliseconds(200));
  permits.Want(At(100), "a", kOrdinary, false);
  EXPECT_TRUE(permits.TakeNeeds(At(100)).empty());
  EXPECT_EQ(wanted, 2);
  // Other classes have waits of their own.
  permits.Want(At(100), "a", kPriority, false);
  ASSERT_EQ(permits.TakeNeeds(At(100)).size(), 1u);
  permits.OnUnanswered("a", kPriority);
  permits.Want(At(110), "a", kPriority, true);
  EXPECT_EQ(permits.TakeNeeds(At(110)).size(), 1u);
}

TEST(RatePermits, OfPriorityAreKeptFromOrdinaryRequests) {
  RatePermits permits{RatePermits::Options()};
  permits.limits()->OnResponse(At(0), "a", 1, At(-5), Named(5));
  permits.Want(At(0), "a", kPriority, false);
  permits.TakeNeeds(At(0));
  permits.OnIssued(At(1), "a", kPriority, At(0), 1, Duration(0));
  EXPECT_FALSE(permits.Take(At(2), "a", kOrdinary));
  EXPECT_TRUE(permits.Take(At(2), "a", kPriority));
}

TEST(PermitIssuer, IssuesTheRateAndKeepsAReserve) {
  PermitIssuer issuer{PermitIssuer::Options()};
  const auto ask = [&](int ms, PermitClass c, int count) {
    return issuer.Issue(At(ms), {"a", 1, "box", c, count}, 5);
  };
  const PermitIssuer::Issued first = ask(0, kOrdinary, 1);
  EXPECT_EQ(first.count, 0) << "a bucket begins empty";
  EXPECT_EQ(first.wait, milliseconds(300));
  EXPECT_EQ(ask(200, kOrdinary, 1).count, 0);
  EXPECT_EQ(ask(200, kPriority, 1).count, 1);
  EXPECT_EQ(ask(500, kOrdinary, 1).count, 1);
  // It holds 1 + 0.4 * 5 permits.
  EXPECT_EQ(ask(60000, kPriority, 9).count, 3);
  int issued = 0;
  for (int ms = 60000; ms <= 100000; ms += 10)
    issued += ask(ms, kOrdinary, 3).count;
  EXPECT_NEAR(issued, 200, 2);
}

TEST(PermitIssuer, BoundsTheAsksOfManyBoxes) {
  PermitIssuer issuer{PermitIssuer::Options()};
  std::vector<Time> next(500, At(0));
  int asks = 0;
  for (int ms = 0; ms < 60000; ms += 10) {
    for (size_t box = 0; box < next.size(); box++) {
      if (At(ms) < next[box]) continue;
      const PermitIssuer::Issued issued =
          issuer.Issue(At(ms), {"a", 1, std::to_string(box), kOrdinary, 1}, 5);
      next[box] = At(ms) + std::max<Duration>(issued.wait, milliseconds(10));
      asks += ms >= 20000;
    }
  }
  // 20 a second, and those that were issued one ask again at once.
  EXPECT_LE(asks, 40 * (20 + 2 * 5));
}

class FleetOfTwo : public testing::Test {
 protected:
  void Start(Time asker_started, Time issuer_started) {
    asker_ = Make("asker", asker_started, &asker_permits_);
    issuer_ = Make("issuer", issuer_started, &issuer_permits_);
    asker_permits_.limits()->OnResponse(At(0), "a", 1, At(-5), Named(100));
  }

  std::unique_ptr<PermitExchange> Make(const std::string& name, Time started,
                                       RatePermits* permits) {
    PermitExchange::Calls calls;
    calls.issuers = [this](Time, const std::string&, size_t) { return order_; };
    calls.send = [this](const std::string& to, const PermitRequest& r) {
      EXPECT_EQ(to, "issuer");
      sent_.push_back(r);
    };
    calls.share = [] { return 1; };
    calls.boxes = [] { return 2; };
    calls.on_change = [](const std::string&, Change, PermitExchange::Source) {};
    return std::make_unique<PermitExchange>(started, name, permits,
                                            PermitExchange::Options(),
                                            std::move(calls), Random(1));
  }

  void Want(int ms) {
    asker_permits_.Want(At(ms), "a", kOrdinary, false);
    asker_->SendAsks(At(ms));
  }

  // Permits that the asker uses while requests wait all the time.
  int ReceivedUntil(int ms) {
    int received = 0;
    for (; at_ms_ <= ms; at_ms_ += 5) {
      asker_permits_.Want(At(at_ms_), "a", kOrdinary, true);
      asker_->Tick(At(at_ms_));
      while (asker_permits_.Take(At(at_ms_), "a", kOrdinary)) received++;
    }
    return received;
  }

  int at_ms_ = 5;
  RatePermits asker_permits_{RatePermits::Options()};
  RatePermits issuer_permits_{RatePermits::Options()};
  std::unique_ptr<PermitExchange> asker_;
  std::unique_ptr<PermitExchange> issuer_;
  std::vector<std::string> order_ = {"issuer", "asker"};
  std::vector<PermitRequest> sent_;
};

TEST_F(FleetOfTwo, PermitsAreIssuedOnce) {
  Start(At(-10000), At(-10000));
  Want(0);
  ASSERT_EQ(sent_.size(), 1u);
  EXPECT_TRUE(sent_[0].sole);
  asker_->OnGrant(At(2), issuer_->OnRequest(At(1), sent_[0]));
  EXPECT_NE(issuer_permits_.limits()->Find("a"), nullptr)
      << "the issuer learns of the limit";
  Want(500);
  PermitGrant grant = issuer_->OnRequest(At(501), sent_.back());
  EXPECT_TRUE(grant.issues);
  EXPECT_EQ(grant.count, 1);
  asker_->OnGrant(At(502), grant);
  asker_->OnGrant(At(503), grant);
  EXPECT_TRUE(asker_permits_.Take(At(504), "a", kOrdinary));
  EXPECT_FALSE(asker_permits_.Take(At(504), "a", kOrdinary));
}

TEST_F(FleetOfTwo, AGrantOfMoreThanWasAskedForIsCut) {
  Start(At(-10000), At(-10000));
  Want(0);
  PermitGrant grant = issuer_->OnRequest(At(1), sent_[0]);
  grant.count = 200;
  asker_->OnGrant(At(2), grant);
  EXPECT_EQ(asker_->received(), 1);
}

TEST_F(FleetOfTwo, ASilentIssuerIsReplacedByOneThatIssuesLess) {
  Start(At(-10000), At(-10000));
  Want(0);
  const int received = ReceivedUntil(900);
  EXPECT_EQ(sent_.size(), 2u) << "it is asked again once";
  EXPECT_GE(received, 10);
  EXPECT_LE(received, 0.25 * 100 * 0.9 + 11);
}

TEST_F(FleetOfTwo, AnIssuerThatHasJustStartedIsPassedOver) {
  Start(At(-10000), At(-100));
  Want(0);
  const PermitGrant grant = issuer_->OnRequest(At(1), sent_[0]);
  EXPECT_FALSE(grant.issues);
  EXPECT_EQ(grant.count, 0);
  asker_->OnGrant(At(2), grant);
  const int received = ReceivedUntil(1005);
  EXPECT_EQ(sent_.size(), 1u);
  EXPECT_GE(received, 80) << "the next one issues the full rate";
}

TEST_F(FleetOfTwo, WithoutAnIssuerABoxKeepsToAnEvenPart) {
  order_.clear();
  Start(At(-10000), At(-10000));
  // Half of the rate for 2 s, without what is reserved, a tenth of a second.
  EXPECT_NEAR(ReceivedUntil(2005), (2 - 0.1) * 100 / 2, 2);
}

TEST_F(FleetOfTwo, AStoppingBoxIssuesNone) {
  Start(At(-10000), At(-10000));
  issuer_->BeginStop();
  Want(0);
  EXPECT_FALSE(issuer_->OnRequest(At(1), sent_[0]).issues);
}

TEST(LimitedEndpoints, AreNotPickedWithoutAPermit) {
  EndpointTable table("h", EndpointTable::Options(), Random(1));
  for (const char* name : {"a", "b"}) {
    ListedEndpoint e;
    e.name = name;
    e.service = "s";
    e.role = EndpointRole::kService;
    e.hall = "h";
    table.OnListed(e);
    table.OnReport(At(0), name, LoadReport());
  }
  EXPECT_FALSE(table.PermitWait(At(0), "s", kOrdinary));
  table.mutable_permits()->limits()->OnResponse(At(0), "a", 0, At(-5),
                                                Named(5));
  for (int i = 0; i < 20; i++)
    EXPECT_EQ(table.PickService(At(1), "s", {}), "b");
  EXPECT_FALSE(table.PickService(At(1), "s", {"b"}));
  EXPECT_EQ(table.PermitWait(At(1), "s", kOrdinary), Duration(0));
  table.WantPermit(At(1), "s", kOrdinary, false);
  ASSERT_EQ(table.mutable_permits()->TakeNeeds(At(1)).size(), 1u);
  table.mutable_permits()->OnIssued(At(2), "a", kOrdinary, At(1), 1,
                                    Duration(0));
  EXPECT_EQ(table.PickService(At(3), "s", {"b"}), "a");
}

}  // namespace
}  // namespace pinford
