#include "pinford/forwarding/retry_loans.h"

#include <algorithm>

namespace pinford {

// Of the bounds on asks and answers.
static constexpr Duration kSecond = seconds(1);
int RetryLoans::Left(Time now, Duration span, int most, Times* times) {
  while (!times->empty() && now - times->front() >= span) times->pop_front();
  return std::max(0, most - static_cast<int>(times->size()));
}

std::vector<RetryRequest> RetryLoans::MakeAsks(Time now) {
  // Those who were refused before the last asks may be served by them.
  const Duration look = share_->options().look;
  if (!ask_times_.empty() && now - ask_times_.back() < look) return {};
  const RetryShare::Shortage lack = share_->Greatest(now);
  if (lack.count == 0 || lack.service.size() > kMaxRequestedServiceBytes)
    return {};
  std::erase_if(asked_, [now](const auto& a) { return now >= a.second.until; });
  // As many as suffice if each lends. Who is asked beyond that holds back what
  // nobody uses: with one more peer an ask 1 in 100 fewer retries were taken
  // over the tester's runs on a sound network.
  const int suffice =
      (lack.count + options_.most_each - 1) / options_.most_each;
  const int each = (lack.count + suffice - 1) / suffice;
  const int peers =
      std::min({suffice, share_->boxes() - 1,
                Left(now, kSecond, options_.asks_a_second, &ask_times_)});
  std::vector<RetryRequest> asks;
  for (int i = 0; i < peers; i++) {
    RetryRequest& ask = asks.emplace_back();
    ask.nonce = random_();
    ask.service = lack.service;
    ask.count = static_cast<uint8_t>(each);
    asked_[ask.nonce] = {lack.service, each, now + share_->options().loan};
    ask_times_.push_back(now);
    asks_sent_++;
  }
  return asks;
}

std::optional<RetryLoan> RetryLoans::OnAsk(Time now, const RetryRequest& ask) {
  if (Left(now, kSecond, options_.answers_a_second, &answer_times_) == 0) {
    return std::nullopt;
  }
  const int most = std::min<int>(ask.count, options_.most_each);
  const int n = share_->Lend(now, ask.service, most);
  if (n == 0) return std::nullopt;
  answer_times_.push_back(now);
  lent_ += n;
  RetryLoan loan;
  loan.nonce = ask.nonce;
  loan.count = static_cast<uint8_t>(n);
  return loan;
}

int RetryLoans::OnLoan(Time now, const RetryLoan& loan) {
  auto it = asked_.find(loan.nonce);
  if (it == asked_.end()) return 0;
  const Asked asked = it->second;
  asked_.erase(it);
  if (now >= asked.until) return 0;
  const int n = std::min({static_cast<int>(loan.count), asked.count,
                          Left(now, share_->options().window,
                               options_.most_borrowed, &borrow_times_)});
  borrow_times_.insert(borrow_times_.end(), n, now);
  borrowed_ += n;
  share_->Borrow(asked.service, n, asked.until);
  return n;
}

}  // namespace pinford
