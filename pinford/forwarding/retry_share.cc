#include "pinford/forwarding/retry_share.h"

#include <algorithm>
#include <numeric>

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<RetryClass> kRetryNeedNames[] = {
    {RetryClass::kBegunStream, "begun_stream"},
    {RetryClass::kUrgent, "urgent"},
    {RetryClass::kOther, "other"},
};
static_assert(std::size(kRetryNeedNames) == std::size(kRetryClasses));

std::string_view RetryClassName(RetryClass need) {
  return NameIn(kRetryNeedNames, need);
}

// Drops what lies further back than `span`.
static void DropOld(Time now, Duration span, std::deque<Time>* times) {
  while (!times->empty() && now - times->front() > span) times->pop_front();
}

static double Number(const std::deque<Time>& times) {
  return static_cast<double>(times.size());
}

void RetryShare::Forget(Time now, Window* w) const {
  DropOld(now, options_.window, &w->requests);
  DropOld(now, options_.window, &w->retries);
  DropOld(now, options_.window + options_.loan, &w->lent);
  DropOld(now, options_.look, &w->taken);
  DropOld(now, LackSpan(now), &w->lacked);
  std::erase_if(w->borrowed, [now](Time until) { return now >= until; });
}

Duration RetryShare::LackSpan(Time now) const {
  // Who was refused longer than a loan ago could not use one that is asked for
  // now.
  return std::clamp(now - looked_, options_.look, options_.loan);
}

void RetryShare::OnBoxCount(Time now, int n) {
  if (n < boxes_ && now - boxes_seen_ < options_.remember) return;
  boxes_ = std::max(1, n);
  boxes_seen_ = now;
}

double RetryShare::Extra(Time now) const {
  if (now - started_ < options_.settle_time) return 0;
  return options_.extra / boxes_;
}

double RetryShare::Bound(Time now, const Window& w) const {
  return options_.used * (options_.ratio * Number(w.requests) + Extra(now));
}

void RetryShare::OnRequest(Time now, const std::string& service) {
  Window& w = windows_[service];
  Forget(now, &w);
  w.requests.push_back(now);
}

bool RetryShare::Take(Time now, const std::string& service, RetryClass need) {
  Window& w = windows_[service];
  Forget(now, &w);
  const bool first = need != RetryClass::kOther;
  if (first && !w.borrowed.empty()) {
    w.borrowed.pop_front();
    w.taken.push_back(now);
    return true;
  }
  const double bound =
      Bound(now, w) * (first ? 1 : 1 - options_.reserved_share);
  if (Number(w.retries) + Number(w.lent) + 1 > bound) {
    refused_[static_cast<int>(need)]++;
    if (first) w.lacked.push_back(now);
    return false;
  }
  w.retries.push_back(now);
  if (first) w.taken.push_back(now);
  return true;
}

int64_t RetryShare::refused() const {
  return std::accumulate(std::begin(refused_), std::end(refused_), int64_t{0});
}

// --- loans -----------------------------------------------------------------

int RetryShare::Lacks(Time now, const Window& w) const {
  const int borrowed = static_cast<int>(w.borrowed.size());
  if (!w.lacked.empty()) return static_cast<int>(w.lacked.size()) - borrowed;
  const double own = Bound(now, w) - Number(w.retries) - Number(w.lent);
  const int left = borrowed + static_cast<int>(std::max(0.0, own));
  return static_cast<int>(w.taken.size()) - left;
}

RetryShare::Shortage RetryShare::Greatest(Time now) {
  Shortage greatest;
  for (auto& [service, w] : windows_) {
    if (w.taken.empty() && w.lacked.empty()) continue;
    Forget(now, &w);
    const int n = Lacks(now, w);
    if (n > greatest.count) greatest = {service, n};
  }
  looked_ = now;
  return greatest;
}

double RetryShare::EarnedForLoan(Time now, const Window& w) const {
  const Time from = now + options_.loan - options_.window;
  const auto first =
      std::lower_bound(w.requests.begin(), w.requests.end(), from);
  return options_.used * options_.ratio *
         static_cast<double>(w.requests.end() - first);
}

int RetryShare::Lend(Time now, const std::string& service, int most) {
  if (now - started_ < options_.window + options_.loan) return 0;
  auto it = windows_.find(service);
  if (it == windows_.end()) return 0;
  Window& w = it->second;
  Forget(now, &w);
  if (Lacks(now, w) > 0 || !w.borrowed.empty()) return 0;
  const double used = Number(w.retries) + Number(w.lent);
  const double bound = Bound(now, w);
  // What it needed a moment ago it may need again.
  const auto lately =
      std::lower_bound(w.retries.begin(), w.retries.end(), now - options_.loan);
  const double need = options_.reserved_share * bound +
                      static_cast<double>(w.retries.end() - lately);
  const double over =
      std::min(EarnedForLoan(now, w) - used, bound - used - need);
  const int n = std::clamp(static_cast<int>(over), 0, std::max(0, most));
  w.lent.insert(w.lent.end(), n, now);
  return n;
}

void RetryShare::Borrow(const std::string& service, int n, Time until) {
  Window& w = windows_[service];
  w.borrowed.insert(w.borrowed.end(), n, until);
}

}  // namespace pinford
