// Shares the rate limits of endpoints among the boxes: asks for the permits
// that this box needs, issues permits to peers, and passes on which limits
// began and ended.
//
// Each endpoint has one box that issues its permits, chosen by rendezvous
// hashing among the boxes of the endpoint's hall: where halls cannot reach each
// other, boxes that cannot reach the issuer cannot reach the endpoint either.
// All boxes that see the same members choose the same one, and the limit holds
// exactly. It holds nearly where they do not:
// - A box that is asked issues no more than its share of the rate, which is
//   less than 1 if it sees much fewer boxes than it lately did. Groups of boxes
//   that see only themselves together issue little more than the rate.
// - If the first choice does not answer, the next one issues `backup_share` of
//   the rate, in case the first choice issues permits to others. It issues the
//   full rate once the first choice is no member any more, or says that it does
//   not issue: it has just started, and sees too few members, or it is
//   stopping.
// - A box that no issuer answers permits itself an even part of
//   `backup_share`.
//
// A box asks only while its requests need permits. Its traffic and that of an
// issuer are bounded whatever the number of boxes (PermitIssuer).
//
// The class does no I/O: `Calls` sends messages and knows the members.

#ifndef PINFORD_FORWARDING_PERMIT_EXCHANGE_H_
#define PINFORD_FORWARDING_PERMIT_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "pinford/forwarding/permit_issuer.h"
#include "pinford/peer_messages.h"
#include "pinford/rate_permits.h"
#include "util/hash.h"

namespace pinford {

class PermitExchange {
 public:
  struct Options {
    // An answer takes a few milliseconds, more from a busy box. An ask is
    // repeated once, as either message may be lost.
    Duration ask_timeout = milliseconds(25);
    // An issuer that did not answer is not asked for this long. Others issue
    // less in the meantime.
    Duration silent_time = seconds(1);
    // A box knows the members after this time (Membership::join_period).
    Duration join_time = milliseconds(2500);
    // How long a stopping box is not asked.
    Duration stopping_time = seconds(10);
    // Longer waits that an issuer asks for are cut to this.
    Duration max_wait = seconds(60);
    size_t issuers = 3;  // boxes of an endpoint that are asked
    double backup_share = 0.25;
    // Members of this hall and of others to which news is passed on, each time
    // to other ones. Of n boxes of a hall about
    // n * exp(-news_local * news_repeats) learn of it only when they ask.
    size_t news_local = 5;
    size_t news_remote = 2;
    int news_repeats = 2;
    Duration news_interval = milliseconds(100);
    PermitIssuer::Options issuer;
  };

  // How a box learned of a limit.
  enum class Source { kResponse, kPeer };
  static std::string_view SourceName(Source source) {
    return source == Source::kPeer ? "peer" : "response";
  }

  struct Calls {
    // The addresses of up to `count` boxes that issue the endpoint's permits,
    // the first choice first, this box's own included. None if rates are not
    // shared: each box permits itself an even part.
    std::function<std::vector<std::string>(
        Time now, const std::string& endpoint, size_t count)>
        issuers;
    std::function<void(const std::string& to, const PermitRequest&)> send;
    // The part of a rate that this box issues as the first choice, from 0 to 1.
    std::function<double()> share;
    // Number of boxes, including this one.
    std::function<int()> boxes;
    std::function<void(const std::string& endpoint, RateLimits::Change, Source)>
        on_change;
  };

  // `permits` must outlive the object.
  PermitExchange(Time started, std::string own_address, RatePermits* permits,
                 const Options& options, Calls calls, Random random);

  // A response of the endpoint arrives, to a request that was sent at `sent`.
  void OnResponse(Time now, const std::string& endpoint, uint64_t incarnation,
                  Time sent, const RateLimitNotice& notice);
  // Asks for the permits that are needed.
  void SendAsks(Time now);
  // Gives up asks without an answer. Call it often.
  void Tick(Time now);
  // Answers a peer's ask.
  PermitGrant OnRequest(Time now, const PermitRequest& request);
  void OnGrant(Time now, const PermitGrant& grant);
  void OnNotice(Time now, const LimitNotice& notice);
  // Limits that began or ended, to be passed on. Empty between the intervals.
  LimitNotice TakeNews(Time now);
  // The limits in force, for a box that has just joined.
  LimitNotice InForce(Time now) const;
  // From now on this box issues no permits.
  void BeginStop() { stopping_ = true; }
  void Forget(const std::string& endpoint);

  const Options& options() const { return options_; }
  int64_t asks() const { return asks_sent_; }
  int64_t issued() const { return issued_; }      // to this box and to peers
  int64_t received() const { return received_; }  // by this box

 private:
  struct PendingAsk {
    RatePermits::Need need;
    std::string issuer;
    Time asked{};
    bool sole = false;
    bool repeated = false;
  };
  struct Unavailable {
    Time until{};
    bool silent = false;  // it did not answer; otherwise it does not issue
  };

  bool Issues(Time now) const {
    return !stopping_ && now - started_ >= options_.join_time;
  }
  void Ask(Time now, const RatePermits::Need& need);
  void SendTo(Time now, const std::string& issuer,
              const RatePermits::Need& need, bool sole, bool repeated);
  void OnTimeout(Time now, const PendingAsk& ask);
  // Issues permits to this box.
  void IssueOwn(Time now, const RatePermits::Need& need, double share);
  PermitIssuer::Issued Issue(Time now, const PermitIssuer::Ask& ask,
                             double per_second);
  void OnChange(const std::string& endpoint, RateLimits::Change change,
                Source source);

  Time started_;
  std::string own_address_;
  RatePermits* permits_;
  Options options_;
  Calls calls_;
  Random random_;
  PermitIssuer issuer_;
  std::map<uint64_t, PendingAsk> pending_;          // by nonce
  std::map<std::string, Unavailable> unavailable_;  // by address
  std::map<std::string, int> news_;  // endpoints, and how often to pass on
  Time next_news_{};
  bool stopping_ = false;
  int64_t asks_sent_ = 0;
  int64_t issued_ = 0;
  int64_t received_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_PERMIT_EXCHANGE_H_
