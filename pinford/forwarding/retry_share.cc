#include "pinford/forwarding/retry_share.h"

#include <algorithm>

namespace pinford {

void RetryShare::Forget(Time now, Window* w) const {
  const auto drop = [this, now](std::deque<Time>* times) {
    while (!times->empty() && now - times->front() > options_.window) {
      times->pop_front();
    }
  };
  drop(&w->requests);
  drop(&w->retries);
}

void RetryShare::OnBoxes(Time now, int n) {
  if (n < boxes_ && now - boxes_seen_ < options_.remember) return;
  boxes_ = std::max(1, n);
  boxes_seen_ = now;
}

double RetryShare::Extra(Time now) const {
  if (now - started_ < options_.settle) return 0;
  return options_.extra / boxes_;
}

void RetryShare::OnRequest(Time now, const std::string& service) {
  Window& w = windows_[service];
  Forget(now, &w);
  w.requests.push_back(now);
}

bool RetryShare::Take(Time now, const std::string& service) {
  Window& w = windows_[service];
  Forget(now, &w);
  const double bound =
      options_.used *
      (options_.ratio * static_cast<double>(w.requests.size()) + Extra(now));
  if (static_cast<double>(w.retries.size()) + 1 > bound) {
    refused_++;
    return false;
  }
  w.retries.push_back(now);
  return true;
}

}  // namespace pinford
