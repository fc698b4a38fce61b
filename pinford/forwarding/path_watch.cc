#include "pinford/forwarding/path_watch.h"

#include <algorithm>
#include <iterator>

namespace pinford {

using Verdict = PathCheck::Verdict;

PathWatch::Service* PathWatch::Find(const std::string& service) {
  const auto it = services_.find(service);
  return it == services_.end() ? nullptr : &it->second;
}

const PathWatch::Service* PathWatch::Find(const std::string& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? nullptr : &it->second;
}

// --- observations

void PathWatch::OnConnected(Time now, const std::string& service,
                            const std::string& endpoint) {
  Service* s = Find(service);
  if (s == nullptr) return;
  s->last_connected = now;
  s->failures.erase(endpoint);
}

void PathWatch::OnFailed(Time now, const std::string& service,
                         const std::string& endpoint, bool for_peer) {
  if (IsLost(service, endpoint)) return;
  Failure& failure = services_[service].failures[endpoint];
  const bool expired = now - failure.last > options_.failure_window;
  if (failure.first == Time{} || expired) failure = {now, now, for_peer};
  failure.last = now;
  if (for_peer || !failure.for_peer) return;
  // It was judged without asking peers.
  failure.for_peer = failure.at_fault = false;
}

void PathWatch::Forget(const std::string& service,
                       const std::string& endpoint) {
  Service* s = Find(service);
  if (s == nullptr) return;
  s->failures.erase(endpoint);
  s->lost.erase(endpoint);
}

// --- checks

std::vector<std::string> PathWatch::Suspects(Time now,
                                             const Service& service) const {
  std::vector<std::string> suspects;
  for (const auto& [endpoint, failure] : service.failures) {
    const bool recent = failure.last > service.last_connected &&
                        now - failure.last <= options_.failure_window;
    if (recent && !failure.at_fault) suspects.push_back(endpoint);
  }
  return suspects;
}

bool PathWatch::NeedsCheck(Time now, const Service& service) const {
  return !service.all_lost && now >= service.next_check &&
         !Suspects(now, service).empty();
}

void PathWatch::StartCheck(Time now, const std::string& name,
                           std::vector<std::string> usable, Service* service,
                           std::vector<Task>* due) {
  std::vector<std::string> chosen = Suspects(now, *service);
  // The last one is another, to compare with.
  if (chosen.size() >= options_.max_checked)
    chosen.resize(options_.max_checked - 1);
  const bool ask_peers = std::any_of(
      chosen.begin(), chosen.end(),
      [service](const auto& e) { return !service->failures.at(e).for_peer; });
  std::shuffle(usable.begin(), usable.end(), random_);
  for (const std::string& endpoint : usable) {
    if (chosen.size() >= options_.max_checked) break;
    const bool known =
        std::find(chosen.begin(), chosen.end(), endpoint) != chosen.end();
    if (!known && !service->lost.contains(endpoint)) chosen.push_back(endpoint);
  }
  // Nothing of its own service to compare with.
  const bool control = chosen.size() == 1;
  service->check.emplace(options_.check, chosen, control, ask_peers);
  service->check_started = now;
  due->push_back({Task::Kind::kDirect, name, chosen, 0});
  if (control) due->push_back({Task::Kind::kControl, name, {}, 0});
}

void PathWatch::AddPeerTask(Time now, const std::string& name, Service* service,
                            std::vector<Task>* due) {
  const std::vector<std::string> endpoints =
      service->check->NextPeerRound(now - service->check_started);
  if (endpoints.empty()) return;
  due->push_back({Task::Kind::kPeers, name, endpoints, options_.peers_asked});
}

void PathWatch::OnDirectResult(Time now, const std::string& service,
                               const std::string& endpoint, bool established) {
  Service* s = Find(service);
  if (s == nullptr) return;
  if (s->retry.endpoint == endpoint) EndRetry(now, service, established, s);
  if (established) OnConnected(now, service, endpoint);
  if (!s->check) return;
  s->check->OnDirect(endpoint, established);
  Judge(now, service, s);
}

void PathWatch::OnControlResult(Time now, const std::string& service,
                                bool established) {
  Service* s = Find(service);
  if (s == nullptr || !s->check) return;
  s->check->OnControl(established);
  Judge(now, service, s);
}

void PathWatch::OnPeerAsked(const std::string& service,
                            const std::string& endpoint) {
  Service* s = Find(service);
  if (s != nullptr && s->check) s->check->OnPeerAsked(endpoint);
}

void PathWatch::OnPeerResult(Time now, const std::string& service,
                             const std::string& endpoint,
                             PathCheck::PeerResult result) {
  Service* s = Find(service);
  if (s == nullptr || !s->check) return;
  s->check->OnPeer(endpoint, result);
  Judge(now, service, s);
}

void PathWatch::Judge(Time now, const std::string& name, Service* service) {
  if (!service->check) return;
  // What has arrived meanwhile may not have been read yet.
  const Duration took =
      now - service->check_started - own_delay_(service->check_started);
  const bool lost_all = service->check->LostAll(took);
  if (!lost_all && !service->check->Done(took)) return;
  service->next_check =
      std::max(now, service->check_started + options_.check_interval);
  if (lost_all) {
    OnAllLost(now, name, service);
  } else {
    ApplyVerdicts(now, name, service);
  }
  service->check.reset();
}

void PathWatch::OnAllLost(Time now, const std::string& name, Service* service) {
  Change change{name, true, {}, now};
  for (const auto& [endpoint, failure] : service->failures) {
    change.since = std::min(change.since, failure.first);
  }
  service->all_lost = true;
  service->lost.clear();
  service->lost_at = now;
  service->failures.clear();
  service->retry = {"", now, now + options_.retry_interval, 0};
  changes_.push_back(std::move(change));
}

void PathWatch::ApplyVerdicts(Time now, const std::string& name,
                              Service* service) {
  Change change{name, true, {}, now};
  for (const std::string& endpoint : service->check->endpoints()) {
    const Verdict verdict = service->check->Of(endpoint);
    const auto failure = service->failures.find(endpoint);
    if (failure == service->failures.end()) continue;
    if (verdict == Verdict::kAtFault) failure->second.at_fault = true;
    if (verdict != Verdict::kPathLost) continue;
    change.since = std::min(change.since, failure->second.first);
    change.endpoints.push_back(endpoint);
    service->failures.erase(failure);
  }
  if (change.endpoints.empty()) return;
  if (!service->any_lost()) {
    service->lost_at = now;
    service->retry.next = now + options_.retry_interval;
  }
  service->retry.successes = 0;
  service->lost.insert(change.endpoints.begin(), change.endpoints.end());
  changes_.push_back(std::move(change));
}

// --- the return to a direct path

bool PathWatch::NeedsRetry(Time now, const Service& service) const {
  if (!service.any_lost()) return false;
  const Retry& retry = service.retry;
  if (!retry.endpoint.empty())
    return now - retry.started >= options_.retry_timeout;
  return now >= retry.next;
}

void PathWatch::StartRetry(Time now, const std::string& name,
                           const std::vector<std::string>& usable,
                           Service* service, std::vector<Task>* due) {
  Retry& retry = service->retry;
  if (!retry.endpoint.empty()) {
    EndRetry(now, name, false, service);
    return;
  }
  std::vector<std::string> candidates = usable;
  if (!service->all_lost)
    candidates.assign(service->lost.begin(), service->lost.end());
  if (candidates.empty()) return;
  std::uniform_int_distribution<size_t> any(0, candidates.size() - 1);
  retry.endpoint = candidates[any(random_)];
  retry.started = now;
  due->push_back({Task::Kind::kDirect, name, {retry.endpoint}, 0});
}

void PathWatch::EndRetry(Time now, const std::string& name, bool established,
                         Service* service) {
  Retry& retry = service->retry;
  retry.endpoint.clear();
  retry.next = std::max(now, retry.started + options_.retry_interval);
  retry.successes = established ? retry.successes + 1 : 0;
  if (retry.successes < options_.successes_to_return) return;
  Change change{name, false, {}, service->lost_at};
  if (!service->all_lost)
    change.endpoints.assign(service->lost.begin(), service->lost.end());
  service->all_lost = false;
  service->lost.clear();
  retry = {};
  changes_.push_back(std::move(change));
}

// --- beliefs

bool PathWatch::IsLost(const std::string& service,
                       const std::string& endpoint) const {
  const Service* s = Find(service);
  return s != nullptr && (s->all_lost || s->lost.contains(endpoint));
}

bool PathWatch::IsServiceLost(const std::string& service) const {
  const Service* s = Find(service);
  return s != nullptr && s->all_lost;
}

bool PathWatch::InDoubt(Time now, const std::string& service) const {
  const Service* s = Find(service);
  if (s == nullptr || s->all_lost) return false;
  return s->check || !Suspects(now, *s).empty();
}

bool PathWatch::IsAtFault(const std::string& service,
                          const std::string& endpoint) const {
  const Service* s = Find(service);
  if (s == nullptr) return false;
  const auto failure = s->failures.find(endpoint);
  return failure != s->failures.end() && failure->second.at_fault;
}

size_t PathWatch::lost() const {
  return std::count_if(services_.begin(), services_.end(),
                       [](const auto& s) { return s.second.any_lost(); });
}

}  // namespace pinford
