#include "pinford/forwarding/permit_exchange.h"

#include <algorithm>
#include <utility>

namespace pinford {

PermitExchange::PermitExchange(Time started, std::string own_address,
                               RatePermits* permits, const Options& options,
                               Calls calls, Random random)
    : started_(started),
      own_address_(std::move(own_address)),
      permits_(permits),
      options_(options),
      calls_(std::move(calls)),
      random_(random),
      issuer_(options.issuer) {}

// --- limits ----------------------------------------------------------------

void PermitExchange::OnResponse(Time now, const std::string& endpoint,
                                uint64_t incarnation, Time sent,
                                const RateLimitNotice& notice) {
  OnChange(
      endpoint,
      permits_->limits()->OnResponse(now, endpoint, incarnation, sent, notice),
      Source::kResponse);
}

void PermitExchange::OnNotice(Time now, const LimitNotice& notice) {
  for (const NamedLimit& limit : notice.limits) {
    OnChange(limit.endpoint, permits_->limits()->OnPeerLimit(now, limit),
             Source::kPeer);
  }
}

void PermitExchange::OnChange(const std::string& endpoint,
                              RateLimits::Change change, Source source) {
  using Change = RateLimits::Change;
  if (change == Change::kNone) return;
  // A changed rate is told with each ask.
  if (change != Change::kChanged) news_[endpoint] = options_.news_repeats;
  calls_.on_change(endpoint, change, source);
}

LimitNotice PermitExchange::TakeNews(Time now) {
  LimitNotice notice;
  if (news_.empty() || now < next_news_) return notice;
  next_news_ = now + options_.news_interval;
  for (auto& [endpoint, repeats] : news_) {
    if (notice.limits.size() >= kMaxNoticeLimits) break;
    repeats--;
    if (auto limit = permits_->limits()->Describe(now, endpoint))
      notice.limits.push_back(std::move(*limit));
  }
  std::erase_if(news_, [](const auto& news) { return news.second <= 0; });
  return notice;
}

LimitNotice PermitExchange::InForce(Time now) const {
  LimitNotice notice;
  for (const auto& [endpoint, limit] : permits_->limits()->limits()) {
    if (!limit.in_force()) continue;
    if (notice.limits.size() >= kMaxNoticeLimits) break;
    notice.limits.push_back(*permits_->limits()->Describe(now, endpoint));
  }
  return notice;
}

void PermitExchange::Forget(const std::string& endpoint) {
  permits_->Forget(endpoint);
  issuer_.Forget(endpoint);
  news_.erase(endpoint);
}

// --- asking ----------------------------------------------------------------

void PermitExchange::SendAsks(Time now) {
  for (const RatePermits::Need& need : permits_->TakeNeeds(now)) Ask(now, need);
}

void PermitExchange::Ask(Time now, const RatePermits::Need& need) {
  // Whether all choices before this one said that they do not issue.
  bool sole = true;
  const std::vector<std::string> issuers =
      calls_.issuers(now, need.endpoint, options_.issuers);
  for (const std::string& issuer : issuers) {
    if (issuer == own_address_) {
      if (!Issues(now)) continue;
      IssueOwn(now, need, sole ? calls_.share() : options_.backup_share);
      return;
    }
    const auto it = unavailable_.find(issuer);
    const bool available = it == unavailable_.end() || it->second.until <= now;
    if (available) {
      SendTo(now, issuer, need, sole, false);
      return;
    }
    if (it->second.silent) sole = false;
  }
  const double share = issuers.empty() ? 1 : options_.backup_share;
  IssueOwn(now, need, share / std::max(1, calls_.boxes()));
}

void PermitExchange::SendTo(Time now, const std::string& issuer,
                            const RatePermits::Need& need, bool sole,
                            bool repeated) {
  const auto limit = permits_->limits()->Describe(now, need.endpoint);
  if (!limit) return permits_->OnUnanswered(need.endpoint, need.permit_class);
  PermitRequest request;
  request.nonce = random_();
  request.from = own_address_;
  request.limit = *limit;
  request.permit_class = need.permit_class;
  request.count = static_cast<uint8_t>(need.count);
  request.sole = sole;
  pending_[request.nonce] = {need, issuer, now, sole, repeated};
  asks_sent_++;
  calls_.send(issuer, request);
}

void PermitExchange::IssueOwn(Time now, const RatePermits::Need& need,
                              double share) {
  const RateLimits::Limit* limit = permits_->limits()->Find(need.endpoint);
  PermitIssuer::Issued issued;
  if (limit != nullptr) {
    issued = Issue(now,
                   {need.endpoint, limit->incarnation, own_address_,
                    need.permit_class, need.count},
                   limit->per_second * share);
  }
  received_ += issued.count;
  permits_->OnIssued(now, need.endpoint, need.permit_class, now, issued.count,
                     issued.wait);
}

void PermitExchange::OnGrant(Time now, const PermitGrant& grant) {
  const auto it = pending_.find(grant.nonce);
  if (it == pending_.end()) return;
  const PendingAsk ask = std::move(it->second);
  pending_.erase(it);
  const std::string& endpoint = ask.need.endpoint;
  if (grant.limit.endpoint == endpoint)
    OnNotice(now, LimitNotice{{grant.limit}});
  const Duration wait =
      std::min<Duration>(milliseconds(grant.wait_ms), options_.max_wait);
  if (!grant.issues) {
    unavailable_[ask.issuer] = {now + wait, false};
    permits_->OnUnanswered(endpoint, ask.need.permit_class);
    SendAsks(now);
    return;
  }
  const int count = std::min<int>(grant.count, ask.need.count);
  received_ += count;
  permits_->OnIssued(now, endpoint, ask.need.permit_class, ask.asked, count,
                     wait);
}

void PermitExchange::OnTimeout(Time now, const PendingAsk& ask) {
  if (!ask.repeated) {
    SendTo(now, ask.issuer, ask.need, ask.sole, true);
    return;
  }
  unavailable_[ask.issuer] = {now + options_.silent_time, true};
  permits_->OnUnanswered(ask.need.endpoint, ask.need.permit_class);
}

void PermitExchange::Tick(Time now) {
  std::vector<PendingAsk> unanswered;
  std::erase_if(pending_, [&](const auto& entry) {
    const bool timed_out = now - entry.second.asked >= options_.ask_timeout;
    if (timed_out) unanswered.push_back(entry.second);
    return timed_out;
  });
  for (const PendingAsk& ask : unanswered) OnTimeout(now, ask);
  std::erase_if(unavailable_,
                [now](const auto& entry) { return entry.second.until <= now; });
  permits_->Prune(now);
  SendAsks(now);
}

// --- issuing ---------------------------------------------------------------

PermitIssuer::Issued PermitExchange::Issue(Time now,
                                           const PermitIssuer::Ask& ask,
                                           double per_second) {
  const PermitIssuer::Issued issued = issuer_.Issue(now, ask, per_second);
  issued_ += issued.count;
  return issued;
}

PermitGrant PermitExchange::OnRequest(Time now, const PermitRequest& request) {
  OnNotice(now, LimitNotice{{request.limit}});
  const std::string& endpoint = request.limit.endpoint;
  PermitGrant grant;
  grant.nonce = request.nonce;
  grant.limit =
      permits_->limits()->Describe(now, endpoint).value_or(request.limit);
  grant.issues = Issues(now);
  if (!grant.issues) {
    const Duration joining = started_ + options_.join_time - now;
    grant.wait_ms = static_cast<uint32_t>(
        ToMillis(stopping_ ? options_.stopping_time : joining));
    return grant;
  }
  // Where this box believes that the limit has ended and the asker does not, a
  // request of the asker finds out.
  const RateLimits::Limit* limit = permits_->limits()->Find(endpoint);
  const double rate =
      std::max(limit != nullptr ? limit->per_second : request.limit.per_second,
               RateLimits::kMinPerSecond);
  const double share = request.sole ? calls_.share() : options_.backup_share;
  const PermitIssuer::Issued issued =
      Issue(now,
            {endpoint, request.limit.incarnation, request.from,
             request.permit_class, request.count},
            rate * share);
  grant.count = static_cast<uint8_t>(issued.count);
  grant.wait_ms = static_cast<uint32_t>(ToMillis(issued.wait) + 1);
  return grant;
}

}  // namespace pinford
