#include "pinford/forwarding/retry_share.h"

#include <algorithm>
#include <numeric>

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<RetryClass> kRetryClassNames[] = {
    {RetryClass::kStartedStream, "begun_stream"},
    {RetryClass::kUrgent, "urgent"},
    {RetryClass::kOther, "other"},
};
static_assert(std::size(kRetryClassNames) == std::size(kRetryClasses));

std::string_view RetryClassName(RetryClass retry_class) {
  return NameIn(kRetryClassNames, retry_class);
}

// Drops times that are older than `span`.
static void DropOlderThan(Time now, Duration span, std::deque<Time>* times) {
  while (!times->empty() && now - times->front() > span) times->pop_front();
}

static double SizeOf(const std::deque<Time>& times) {
  return static_cast<double>(times.size());
}

void RetryShare::DropExpired(Time now, Window* w) const {
  DropOlderThan(now, options_.window, &w->requests);
  DropOlderThan(now, options_.window, &w->retries);
  DropOlderThan(now, options_.window + options_.loan_validity, &w->lent);
  DropOlderThan(now, options_.min_shortage_span, &w->acquired);
  DropOlderThan(now, ShortageSpan(now), &w->refusals);
  std::erase_if(w->borrowed, [now](Time until) { return now >= until; });
}

Duration RetryShare::ShortageSpan(Time now) const {
  // Requests refused longer than a loan's validity ago could not use a loan
  // that is asked for now.
  return std::clamp(now - shortage_checked_, options_.min_shortage_span,
                    options_.loan_validity);
}

void RetryShare::OnBoxCount(Time now, int n) {
  if (n < boxes_ && now - boxes_updated_at_ < options_.box_count_hold) return;
  boxes_ = std::max(1, n);
  boxes_updated_at_ = now;
}

double RetryShare::FixedPart(Time now) const {
  if (now - started_ < options_.settle_time) return 0;
  return options_.extra / boxes_;
}

double RetryShare::Limit(Time now, const Window& w) const {
  return options_.safety_factor *
         (options_.ratio * SizeOf(w.requests) + FixedPart(now));
}

void RetryShare::OnRequest(Time now, const std::string& service) {
  Window& w = windows_[service];
  DropExpired(now, &w);
  w.requests.push_back(now);
}

bool RetryShare::Acquire(Time now, const std::string& service,
                         RetryClass retry_class) {
  Window& w = windows_[service];
  DropExpired(now, &w);
  const bool preferred = retry_class != RetryClass::kOther;
  if (preferred && !w.borrowed.empty()) {
    w.borrowed.pop_front();
    w.acquired.push_back(now);
    return true;
  }
  const double bound =
      Limit(now, w) * (preferred ? 1 : 1 - options_.reserved_share);
  if (SizeOf(w.retries) + SizeOf(w.lent) + 1 > bound) {
    refused_[static_cast<int>(retry_class)]++;
    if (preferred) w.refusals.push_back(now);
    return false;
  }
  w.retries.push_back(now);
  if (preferred) w.acquired.push_back(now);
  return true;
}

int64_t RetryShare::refused() const {
  return std::accumulate(std::begin(refused_), std::end(refused_), int64_t{0});
}

// --- loans -----------------------------------------------------------------

int RetryShare::ShortageOf(Time now, const Window& w) const {
  const int borrowed = static_cast<int>(w.borrowed.size());
  if (!w.refusals.empty())
    return static_cast<int>(w.refusals.size()) - borrowed;
  const double remaining = Limit(now, w) - SizeOf(w.retries) - SizeOf(w.lent);
  const int available = borrowed + static_cast<int>(std::max(0.0, remaining));
  return static_cast<int>(w.acquired.size()) - available;
}

RetryShare::Shortage RetryShare::FindShortage(Time now) {
  Shortage greatest;
  for (auto& [service, w] : windows_) {
    if (w.acquired.empty() && w.refusals.empty()) continue;
    DropExpired(now, &w);
    const int n = ShortageOf(now, w);
    if (n > greatest.count) greatest = {service, n};
  }
  shortage_checked_ = now;
  return greatest;
}

double RetryShare::EarnedForLoan(Time now, const Window& w) const {
  const Time from = now + options_.loan_validity - options_.window;
  const auto first =
      std::lower_bound(w.requests.begin(), w.requests.end(), from);
  return options_.safety_factor * options_.ratio *
         static_cast<double>(w.requests.end() - first);
}

int RetryShare::Lend(Time now, const std::string& service, int max_count) {
  if (now - started_ < options_.window + options_.loan_validity) return 0;
  auto it = windows_.find(service);
  if (it == windows_.end()) return 0;
  Window& w = it->second;
  DropExpired(now, &w);
  if (ShortageOf(now, w) > 0 || !w.borrowed.empty()) return 0;
  const double used = SizeOf(w.retries) + SizeOf(w.lent);
  const double bound = Limit(now, w);
  // The box may need again what it has used recently.
  const auto recent = std::lower_bound(w.retries.begin(), w.retries.end(),
                                       now - options_.loan_validity);
  const double withheld = options_.reserved_share * bound +
                          static_cast<double>(w.retries.end() - recent);
  const double spare =
      std::min(EarnedForLoan(now, w) - used, bound - used - withheld);
  const int n = std::clamp(static_cast<int>(spare), 0, std::max(0, max_count));
  w.lent.insert(w.lent.end(), n, now);
  return n;
}

void RetryShare::Borrow(const std::string& service, int n, Time until) {
  Window& w = windows_[service];
  w.borrowed.insert(w.borrowed.end(), n, until);
}

}  // namespace pinford
