#include "pinford/forwarding/retry_loans.h"

#include <algorithm>

namespace pinford {

// The span of the limits on asks and loans.
static constexpr Duration kSecond = seconds(1);
int RetryLoans::RemainingInSpan(Time now, Duration span, int max_count,
                                Times* times) {
  while (!times->empty() && now - times->front() >= span) times->pop_front();
  return std::max(0, max_count - static_cast<int>(times->size()));
}

std::vector<RetryRequest> RetryLoans::MakeAsks(Time now) {
  // Refusals before the last asks may still be served by these.
  const Duration min_shortage_span = share_->options().min_shortage_span;
  if (!ask_times_.empty() && now - ask_times_.back() < min_shortage_span)
    return {};
  const RetryShare::Shortage shortage = share_->FindShortage(now);
  if (shortage.count == 0 ||
      shortage.service.size() > kMaxRequestedServiceBytes)
    return {};
  std::erase_if(pending_asks_,
                [now](const auto& a) { return now >= a.second.until; });
  // As many peers as are enough if each lends. A peer asked beyond that counts
  // retries that are never used: with one more peer per ask, the test's runs on
  // a fault-free network used 1 in 100 fewer retries.
  const int enough =
      (shortage.count + options_.max_per_ask - 1) / options_.max_per_ask;
  const int each = (shortage.count + enough - 1) / enough;
  const int peers =
      std::min({enough, share_->boxes() - 1,
                RemainingInSpan(now, kSecond, options_.max_asks_per_second,
                                &ask_times_)});
  std::vector<RetryRequest> asks;
  for (int i = 0; i < peers; i++) {
    RetryRequest& ask = asks.emplace_back();
    ask.nonce = random_();
    ask.service = shortage.service;
    ask.count = static_cast<uint8_t>(each);
    pending_asks_[ask.nonce] = {shortage.service, each,
                                now + share_->options().loan_validity};
    ask_times_.push_back(now);
    asks_sent_++;
  }
  return asks;
}

std::optional<RetryLoan> RetryLoans::OnAsk(Time now, const RetryRequest& ask) {
  if (RemainingInSpan(now, kSecond, options_.max_loans_per_second,
                      &loan_times_) == 0) {
    return std::nullopt;
  }
  const int max_count = std::min<int>(ask.count, options_.max_per_ask);
  const int n = share_->Lend(now, ask.service, max_count);
  if (n == 0) return std::nullopt;
  loan_times_.push_back(now);
  lent_ += n;
  RetryLoan loan;
  loan.nonce = ask.nonce;
  loan.count = static_cast<uint8_t>(n);
  return loan;
}

int RetryLoans::OnLoan(Time now, const RetryLoan& loan) {
  auto it = pending_asks_.find(loan.nonce);
  if (it == pending_asks_.end()) return 0;
  const PendingAsk pending = it->second;
  pending_asks_.erase(it);
  if (now >= pending.until) return 0;
  const int n = std::min(
      {static_cast<int>(loan.count), pending.count,
       RemainingInSpan(now, share_->options().window,
                       options_.max_borrowed_per_window, &borrow_times_)});
  borrow_times_.insert(borrow_times_.end(), n, now);
  borrowed_ += n;
  share_->Borrow(pending.service, n, pending.until);
  return n;
}

}  // namespace pinford
